//! `NAME=VALUE` parts of faults and builds in flags.

use crate::{Micros, SECOND};

/// One `NAME=VALUE` part of a fault or build.
pub(super) struct Setting<'a> {
    word: &'a str,
    pub(super) name: &'a str,
    pub(super) value: &'a str,
}

impl<'a> Setting<'a> {
    pub(super) fn parse(word: &'a str) -> Result<Setting<'a>, String> {
        let (name, value) = word
            .split_once('=')
            .ok_or_else(|| format!("'{word}' is not NAME=VALUE"))?;
        Ok(Setting { word, name, value })
    }

    /// Parses the value as a number.
    pub(super) fn number(&self) -> Result<f64, String> {
        self.parse_number(self.value)
    }

    /// Parses the value as a time in seconds with the unit, as in `6.5s`.
    pub(super) fn time(&self) -> Result<Micros, String> {
        let seconds = self
            .value
            .strip_suffix('s')
            .ok_or_else(|| format!("'{}': not a time: a time ends in s, as in 6.5s", self.word))?;
        let seconds = self.parse_number(seconds)?;
        Ok((seconds * SECOND as f64).round() as Micros)
    }

    fn parse_number(&self, text: &str) -> Result<f64, String> {
        text.parse()
            .map_err(|_| format!("'{}': not a number", self.word))
    }
}
