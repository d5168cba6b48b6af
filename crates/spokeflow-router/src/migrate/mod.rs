//! Migrates a router's file of environment variables to a deployment where the hosts of the new build run beside the
//! earlier ones (`--beside`).
//!
//! The rules by which settings are kept, dropped or added are in `mapping.rs`. Nothing here takes part in routing.

mod check;
mod error;
mod mapping;
mod output;
mod setting;

use std::path::PathBuf;

use clap::Parser;

pub use check::check_settings;
pub use error::{MigrationError, MigrationErrors, SettingError};
pub use setting::{parse_settings, Setting, SettingOrigin};

/// Reads a router's file of environment variables, writes its counterpart for a deployment where the hosts of the new
/// build run beside the earlier ones, and lists what it could not carry over.
#[derive(Debug, Parser)]
#[command(name = "spokeflow-migrate", version)]
pub struct MigrateProgram {
    /// The file of the earlier deployment; it is not changed
    #[arg(long)]
    pub from: PathBuf,
    /// The file to write the counterpart to
    #[arg(long, required_unless_present = "check")]
    pub to: Option<PathBuf>,
    /// A setting that replaces the earlier deployment's: NAME=VALUE, such as SPOKEFLOW_GATE=majority; may be repeated
    #[arg(long = "set", value_name = "NAME=VALUE")]
    pub set: Vec<String>,
    /// Prints the counterpart instead of writing it to a file
    #[arg(long)]
    pub check: bool,
    /// Overwrites the file at --to if it exists
    #[arg(long)]
    pub replace: bool,
}

/// A migrated file.
#[derive(Debug)]
pub struct Migration {
    /// The counterpart, as it was or would be written.
    pub text: String,
    /// Settings that were not carried over or should be reviewed, one line each.
    pub notes: Vec<String>,
}

/// Migrates a file.
///
/// # Errors
///
/// All faults that are found in the file or in the migrated settings, or the error of a file that cannot be read or
/// written. The file of `--to` has not been written.
pub fn migrate(program: &MigrateProgram) -> Result<Migration, MigrationErrors> {
    let text = std::fs::read_to_string(&program.from).map_err(|source| MigrationError::File {
        path: program.from.clone(),
        source,
    })?;
    let old = parse_settings(&text)?;
    check_settings(&old)?;
    let given = given_settings(&program.set)?;
    let mapped = mapping::map_settings(&old, &given);
    check_settings(&mapped.settings)?;
    let text = setting::write_settings(&mapped.settings);
    if let Some(to) = program.to.as_ref().filter(|_| !program.check) {
        output::write(&program.from, to, &text, program.replace)?;
    }
    Ok(Migration {
        text,
        notes: mapped.notes,
    })
}

/// Parses the settings that the command line gives.
fn given_settings(set: &[String]) -> Result<Vec<Setting>, MigrationError> {
    let mut given: Vec<Setting> = Vec::new();
    for text in set {
        let setting = Setting::parse(None, text).map_err(MigrationError::GivenSyntax)?;
        if given.iter().any(|other| other.name == setting.name) {
            return Err(MigrationError::GivenTwice(setting.origin()));
        }
        given.push(setting);
    }
    Ok(given)
}
