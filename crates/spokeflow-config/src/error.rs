//! What is wrong with a configuration.

use std::fmt;

/// Every fault found in a configuration, one line each, naming its flag.
#[derive(Clone, Debug, Default, PartialEq, Eq, thiserror::Error)]
pub struct ConfigErrors {
    lines: Vec<String>,
}

impl ConfigErrors {
    /// Notes `fault` of `flag` where `wrong` holds.
    pub fn add_if(&mut self, wrong: bool, flag: &str, fault: impl fmt::Display) {
        if wrong {
            self.lines.push(format!("--{flag}: {fault}"));
        }
    }

    /// The faults, one line each.
    pub fn lines(&self) -> &[String] {
        &self.lines
    }

    /// `value` where there is no fault.
    ///
    /// # Errors
    ///
    /// These faults, where there is one.
    pub fn or_value<T>(self, value: T) -> Result<T, ConfigErrors> {
        if self.lines.is_empty() {
            Ok(value)
        } else {
            Err(self)
        }
    }
}

impl fmt::Display for ConfigErrors {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str(&self.lines.join("\n"))
    }
}
