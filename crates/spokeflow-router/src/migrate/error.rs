//! The errors of a migration.

use std::fmt;
use std::io;
use std::path::PathBuf;

use thiserror::Error;

use super::setting::SettingOrigin;

/// Why a text is not a setting.
#[derive(Debug, Error)]
pub enum SettingError {
    /// There is no equals sign.
    #[error("'{0}' is not NAME=VALUE")]
    NotAssignment(String),
    /// The name is empty or has other characters than capitals, digits and underscores.
    #[error("'{0}' is not a variable name: must consist of capitals, digits and underscores")]
    InvalidName(String),
    /// The value begins with a quote and does not end with the same one.
    #[error("{0}: the closing quote is missing")]
    UnterminatedQuote(String),
    /// The value has characters that a shell would interpret.
    #[error("{0}: quotes, backslashes, $ and ` are not supported within a value")]
    UnsupportedValue(String),
}

/// One reason why a file cannot be migrated.
#[derive(Debug, Error)]
pub enum MigrationError {
    /// A file cannot be read or written.
    #[error("{}: {source}", .path.display())]
    File {
        /// The file.
        path: PathBuf,
        /// The error of the operating system.
        source: io::Error,
    },
    /// The migrated file would replace the file that it is read from.
    #[error("{}: --to must not name the file that --from names", .0.display())]
    SameFile(PathBuf),
    /// There is a file already where the migrated one would be written.
    #[error("{}: exists already; --replace overwrites it", .0.display())]
    FileExists(PathBuf),
    /// A line of the file is not a setting.
    #[error("line {line}: {source}")]
    Syntax {
        /// Number of the line, from 1.
        line: usize,
        /// Why the line is not a setting.
        source: SettingError,
    },
    /// A value of `--set` is not a setting.
    #[error("--set: {0}")]
    GivenSyntax(#[source] SettingError),
    /// The file has a setting twice.
    #[error("{setting}: already given on line {first_line}")]
    Repeated {
        /// The second occurrence.
        setting: SettingOrigin,
        /// Line of the first occurrence, from 1.
        first_line: usize,
    },
    /// The command line has a setting twice.
    #[error("{0}: given twice")]
    GivenTwice(SettingOrigin),
    /// No flag of the router is set by this variable.
    #[error("{0}: not a setting of the router")]
    Unknown(SettingOrigin),
    /// The value of a switch is neither true nor false.
    #[error("{setting}: '{value}' is neither true nor false")]
    NotBoolean {
        /// The setting.
        setting: SettingOrigin,
        /// Its value.
        value: String,
    },
    /// The router's parser rejects the value.
    #[error("{setting}: {message}")]
    Rejected {
        /// The setting.
        setting: SettingOrigin,
        /// The first line of the parser's error.
        message: String,
    },
    /// A setting that the router requires is missing.
    #[error("{0}: missing")]
    Missing(String),
    /// The router's parser rejects the combination of all settings; holds the first line of the parser's error.
    #[error("{0}")]
    RejectedTogether(String),
    /// The router's check finds a value invalid or inconsistent with others.
    #[error("{}{message}", .setting.iter().map(|setting| format!("{setting}: ")).collect::<String>())]
    Inconsistent {
        /// The setting whose flag the message names, if any.
        setting: Option<SettingOrigin>,
        /// The fault that the router's check found, in one line.
        message: String,
    },
}

/// The reasons why a file cannot be migrated, displayed as one line for each, with the setting and its line.
#[derive(Debug, Default)]
pub struct MigrationErrors(pub Vec<MigrationError>);

impl MigrationErrors {
    /// Returns `value` if there is no error.
    pub(super) fn or_value<T>(self, value: T) -> Result<T, MigrationErrors> {
        if self.0.is_empty() {
            Ok(value)
        } else {
            Err(self)
        }
    }
}

impl From<MigrationError> for MigrationErrors {
    fn from(error: MigrationError) -> Self {
        MigrationErrors(vec![error])
    }
}

impl fmt::Display for MigrationErrors {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        for (index, error) in self.0.iter().enumerate() {
            if index > 0 {
                f.write_str("\n")?;
            }
            write!(f, "{error}")?;
        }
        Ok(())
    }
}

impl std::error::Error for MigrationErrors {}
