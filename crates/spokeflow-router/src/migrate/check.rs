//! Checks settings with the router's own parser, which ignores the environment of this process here.

use std::collections::BTreeMap;

use clap::builder::Resettable;
use clap::error::ErrorKind;
use clap::{ArgAction, Command, CommandFactory, FromArgMatches};

use super::error::{MigrationError, MigrationErrors};
use super::setting::Setting;
use crate::{RouterFlags, RouterProgram};

/// Name of the program in the command lines that are parsed.
const PROGRAM: &str = "spokeflow-router";

/// A flag of the router.
struct Flag {
    /// Name without the dashes.
    name: String,
    is_switch: bool,
    is_required: bool,
}

/// The router's flags, by the names of the environment variables that set them.
struct FlagTable(BTreeMap<String, Flag>);

impl FlagTable {
    fn of_router() -> Self {
        let command = RouterProgram::command();
        let flag = |arg: &clap::Arg| {
            let variable = arg.get_env()?.to_string_lossy().into_owned();
            let flag = Flag {
                name: arg.get_long()?.to_string(),
                is_switch: matches!(arg.get_action(), ArgAction::SetTrue),
                is_required: arg.is_required_set(),
            };
            Some((variable, flag))
        };
        FlagTable(command.get_arguments().filter_map(flag).collect())
    }

    /// Converts a setting to a command-line argument; `None` for a switch that is off.
    fn argument(&self, setting: &Setting) -> Result<Option<String>, MigrationError> {
        let flag = self
            .0
            .get(&setting.name)
            .ok_or_else(|| MigrationError::Unknown(setting.origin()))?;
        let name = &flag.name;
        match (flag.is_switch, setting.value.as_str()) {
            (false, value) => Ok(Some(format!("--{name}={value}"))),
            (true, "true") => Ok(Some(format!("--{name}"))),
            (true, "false") => Ok(None),
            (true, other) => Err(MigrationError::NotBoolean {
                setting: setting.origin(),
                value: other.into(),
            }),
        }
    }

    /// Returns an error for each required setting that is missing.
    fn missing<'a>(&'a self, settings: &'a [Setting]) -> impl Iterator<Item = MigrationError> + 'a {
        let required = self.0.iter().filter(|(_, flag)| flag.is_required);
        let is_given = |name: &str| settings.iter().any(|setting| setting.name == name);
        required
            .filter(move |(name, _)| !is_given(name))
            .map(|(name, _)| MigrationError::Missing(name.clone()))
    }

    /// Converts a fault that the router's check found to an error with the setting whose flag the fault names.
    fn inconsistent(&self, settings: &[Setting], message: &str) -> MigrationError {
        let is_named = |setting: &&Setting| {
            let flag = self.0.get(&setting.name);
            flag.is_some_and(|flag| message.starts_with(&format!("--{}:", flag.name)))
        };
        MigrationError::Inconsistent {
            setting: settings.iter().find(is_named).map(Setting::origin),
            message: message.into(),
        }
    }
}

/// Checks settings as the router does at its start.
///
/// # Errors
///
/// All settings that are unknown, missing or rejected by the parser. If there are none, the faults that the router's
/// check finds in the settings as a whole.
pub fn check_settings(settings: &[Setting]) -> Result<RouterFlags, MigrationErrors> {
    let command = RouterProgram::command().mut_args(|arg| arg.env(Resettable::Reset));
    let table = FlagTable::of_router();
    let mut errors = MigrationErrors::default();
    let mut arguments = vec![PROGRAM.to_string()];
    for setting in settings {
        match table.argument(setting) {
            Ok(None) => {}
            Ok(Some(argument)) => {
                if let Err(message) = check_argument(&command, &argument) {
                    let setting = setting.origin();
                    errors.0.push(MigrationError::Rejected { setting, message });
                }
                arguments.push(argument);
            }
            Err(error) => errors.0.push(error),
        }
    }
    errors.0.extend(table.missing(settings));
    errors.or_value(())?;
    let flags = command
        .try_get_matches_from(arguments)
        .and_then(|matches| RouterProgram::from_arg_matches(&matches))
        .map_err(|error| MigrationError::RejectedTogether(first_line(&error)))?
        .flags;
    flags.check().map_err(|errors| {
        let lines = errors.lines().iter();
        MigrationErrors(
            lines
                .map(|line| table.inconsistent(settings, line))
                .collect(),
        )
    })?;
    Ok(flags)
}

/// Parses one argument by itself; required flags may be missing.
///
/// # Errors
///
/// The first line of the parser's error.
fn check_argument(command: &Command, argument: &str) -> Result<(), String> {
    let matches = command.clone().try_get_matches_from([PROGRAM, argument]);
    match matches {
        Err(error) if error.kind() != ErrorKind::MissingRequiredArgument => Err(first_line(&error)),
        _ => Ok(()),
    }
}

fn first_line(error: &clap::Error) -> String {
    let text = error.to_string();
    let line = text.lines().next().unwrap_or_default();
    line.trim_start_matches("error: ").to_string()
}
