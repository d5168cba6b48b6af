//! Why a file cannot be migrated.

use std::fmt;
use std::io;
use std::path::PathBuf;

use thiserror::Error;

use super::setting::SettingOrigin;

/// Why a text is no setting.
#[derive(Debug, Error)]
pub enum SettingError {
    /// There is no equals sign.
    #[error("'{0}' is not NAME=VALUE")]
    NotAssignment(String),
    /// The name has other characters than capitals, digits and underscores.
    #[error("'{0}' is no name of a variable")]
    Name(String),
    /// A value that begins with a quote does not end with it.
    #[error("{0}: the quote does not end")]
    UnterminatedQuote(String),
    /// The value has characters that a shell would interpret.
    #[error("{0}: quotes, backslashes and $ within a value are not read")]
    Value(String),
}

/// One reason why a file cannot be migrated.
#[derive(Debug, Error)]
pub enum MigrationError {
    /// A file cannot be read or written.
    #[error("{}: {source}", .path.display())]
    File {
        /// The file.
        path: PathBuf,
        /// What the system said.
        source: io::Error,
    },
    /// The counterpart would replace the file that is migrated.
    #[error("{}: is the file that is read", .0.display())]
    SameFile(PathBuf),
    /// There is a file where the counterpart is to be written.
    #[error("{}: stands already; --replace overwrites it", .0.display())]
    FileExists(PathBuf),
    /// A line of the file is no setting.
    #[error("line {line}: {source}")]
    Syntax {
        /// Number of the line, from 1.
        line: usize,
        /// What is wrong with it.
        source: SettingError,
    },
    /// A setting of the command line is none.
    #[error("--set: {0}")]
    GivenSyntax(#[source] SettingError),
    /// A setting of the file is in it twice.
    #[error("{setting}: given before, on line {first_line}")]
    Repeated {
        /// The second one.
        setting: SettingOrigin,
        /// Line of the first one, from 1.
        first_line: usize,
    },
    /// A setting is on the command line twice.
    #[error("{0}: given twice")]
    GivenTwice(SettingOrigin),
    /// No flag of the router has this variable.
    #[error("{0}: not a setting of the router")]
    Unknown(SettingOrigin),
    /// The value of a switch.
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
        /// The parser's first line.
        message: String,
    },
    /// A setting that the router requires.
    #[error("{0}: missing")]
    Missing(String),
    /// The router's parser rejects all settings together, with the parser's first line.
    #[error("{0}")]
    RejectedTogether(String),
    /// A value does not fit the others.
    #[error("{}{message}", .setting.iter().map(|setting| format!("{setting}: ")).collect::<String>())]
    Unfit {
        /// The setting, where the message names its flag.
        setting: Option<SettingOrigin>,
        /// The line of the router's check.
        message: String,
    },
}

/// Why a file cannot be migrated: one line for each reason, with the setting and its line.
#[derive(Debug, Default)]
pub struct MigrationErrors(pub Vec<MigrationError>);

impl MigrationErrors {
    /// `value` where there is no error.
    pub(super) fn or<T>(self, value: T) -> Result<T, MigrationErrors> {
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
