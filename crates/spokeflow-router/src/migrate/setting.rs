//! Reads and writes settings in the format of a file of environment variables.

use std::fmt;

use spokeflow_config::current_variable_name;

use super::error::{MigrationError, MigrationErrors, SettingError};

/// One environment variable.
#[derive(Clone, Debug, PartialEq)]
pub struct Setting {
    /// Line in the file, from 1; `None` for a setting that is not from the file.
    pub line: Option<usize>,
    /// The variable's current name.
    pub name: String,
    /// Its value, without quotes.
    pub value: String,
}

/// Where a setting comes from, as errors and notes name it.
#[derive(Clone, Debug, PartialEq)]
pub struct SettingOrigin {
    /// Line in the file, from 1; `None` for a setting from the command line.
    pub line: Option<usize>,
    /// The variable's current name.
    pub name: String,
}

impl fmt::Display for SettingOrigin {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self.line {
            Some(line) => write!(f, "line {line}: {}", self.name),
            None => write!(f, "--set {}", self.name),
        }
    }
}

impl Setting {
    pub(super) fn origin(&self) -> SettingOrigin {
        SettingOrigin {
            line: self.line,
            name: self.name.clone(),
        }
    }

    /// Parses NAME=VALUE. A variable's former name is replaced by the current one.
    pub(super) fn parse(line: Option<usize>, text: &str) -> Result<Setting, SettingError> {
        let (name, value) = text
            .split_once('=')
            .ok_or_else(|| SettingError::NotAssignment(text.into()))?;
        if name.is_empty() || !name.chars().all(is_name_character) {
            return Err(SettingError::InvalidName(name.into()));
        }
        let value = unquote(value).ok_or_else(|| SettingError::UnterminatedQuote(name.into()))?;
        if value.contains(['"', '\'', '\\', '$', '`']) {
            return Err(SettingError::UnsupportedValue(name.into()));
        }
        Ok(Setting {
            line,
            name: current_variable_name(name).into(),
            value: value.into(),
        })
    }
}

fn is_name_character(character: char) -> bool {
    character.is_ascii_uppercase() || character.is_ascii_digit() || character == '_'
}

/// Removes the quotes around a value; `None` if the closing quote is missing.
fn unquote(value: &str) -> Option<&str> {
    match value.chars().next() {
        Some(quote @ ('"' | '\'')) => value.strip_prefix(quote)?.strip_suffix(quote),
        _ => Some(value),
    }
}

/// Parses NAME=VALUE lines; comments, blank lines, a leading `export` and quotes around a value are allowed.
///
/// # Errors
///
/// Each line that cannot be parsed, and each setting that is given twice.
pub fn parse_settings(text: &str) -> Result<Vec<Setting>, MigrationErrors> {
    let mut settings: Vec<Setting> = Vec::new();
    let mut errors = MigrationErrors::default();
    for (line, text) in (1..).zip(text.lines()) {
        let text = text.trim();
        if text.is_empty() || text.starts_with('#') {
            continue;
        }
        let text = text.strip_prefix("export ").unwrap_or(text);
        let setting = match Setting::parse(Some(line), text) {
            Ok(setting) => setting,
            Err(source) => {
                errors.0.push(MigrationError::Syntax { line, source });
                continue;
            }
        };
        let first = settings.iter().find(|other| other.name == setting.name);
        match first.and_then(|first| first.line) {
            Some(first_line) => errors.0.push(MigrationError::Repeated {
                setting: setting.origin(),
                first_line,
            }),
            None => settings.push(setting),
        }
    }
    errors.or_value(settings)
}

/// Formats settings as the lines of a file.
pub(super) fn write_settings(settings: &[Setting]) -> String {
    let line = |Setting { name, value, .. }: &Setting| match value.contains([' ', '#']) {
        true => format!("{name}=\"{value}\"\n"),
        false => format!("{name}={value}\n"),
    };
    settings.iter().map(line).collect()
}
