//! The faults of a configuration.

use std::fmt;

/// All faults found in a configuration, one line each that names the flag.
#[derive(Clone, Debug, Default, PartialEq, Eq, thiserror::Error)]
pub struct ConfigErrors {
    lines: Vec<String>,
}

impl ConfigErrors {
    /// Adds `fault`, found in the value of `flag`, if `wrong` is true.
    pub fn add_if(&mut self, wrong: bool, flag: &str, fault: impl fmt::Display) {
        if wrong {
            self.lines.push(format!("--{flag}: {fault}"));
        }
    }

    /// Returns the faults, one line each.
    pub fn lines(&self) -> &[String] {
        &self.lines
    }

    /// Returns `value` if there is no fault.
    ///
    /// # Errors
    ///
    /// The faults, if there are any.
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
