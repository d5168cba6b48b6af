//! Carries a router's file of environment variables over to deployments where both builds stand side by side.
//!
//! No decision of traffic stands here: which settings have a counterpart, which have none, and why.

use std::collections::BTreeMap;
use std::fmt;
use std::io::Write;
use std::path::{Path, PathBuf};

use clap::builder::Resettable;
use clap::{ArgAction, Command, CommandFactory, FromArgMatches, Parser};
use spokeflow_config::current_variable_name;

use crate::{RouterFlags, RouterProgram};

/// Reads a router's file of environment variables, writes its counterpart for a deployment where both builds stand
/// side by side, and lists what it could not carry over.
#[derive(Debug, Parser)]
#[command(name = "spokeflow-migrate", version)]
pub struct MigrateProgram {
    /// The file for the old shape; it is never touched
    #[arg(long)]
    pub from: PathBuf,
    /// Where the counterpart goes
    #[arg(long, required_unless_present = "check")]
    pub to: Option<PathBuf>,
    /// A value for the new shape, in place of the old file's: NAME=VALUE, such as SPOKEFLOW_GATE=majority
    #[arg(long = "set", value_name = "NAME=VALUE")]
    pub set: Vec<String>,
    /// Writes nothing: prints the counterpart instead
    #[arg(long)]
    pub check: bool,
    /// Overwrites a file that stands at --to
    #[arg(long)]
    pub replace: bool,
}

/// What the new shape has that no old file says.
const ADDED: [(&str, &str); 4] = [
    ("SPOKEFLOW_BESIDE", "true"),
    ("SPOKEFLOW_HOST_REPORTS", "true"),
    ("SPOKEFLOW_CONTROLLER_STATS", "true"),
    ("SPOKEFLOW_HOST_SIZES", "true"),
];
/// What has no counterpart, and why.
const DROPPED: [(&str, &str); 5] = [
    (
        "SPOKEFLOW_FORWARD_ONLY",
        "the earlier hosts stay until the release, keys may go back to them",
    ),
    (
        "SPOKEFLOW_MAY_TELL",
        "routers tell each other nothing; the desk's counts stand in",
    ),
    (
        "SPOKEFLOW_PEER",
        "routers tell each other nothing; the desk's counts stand in",
    ),
    (
        "SPOKEFLOW_LIST_FILE",
        "the kept list names hosts of the old fleet; name a new file with --set",
    ),
    (
        "SPOKEFLOW_RECORD",
        "the recording is of the old fleet; name a new file with --set",
    ),
];
/// What is carried as it stands though a new fleet has other values.
const OF_THE_FLEET: [&str; 6] = [
    "SPOKEFLOW_FLEET_SIZE",
    "SPOKEFLOW_GATE",
    "SPOKEFLOW_BACK_VOTES",
    "SPOKEFLOW_STAGE_SHARE",
    "SPOKEFLOW_STAGE_CAP",
    "SPOKEFLOW_GUARDED_STAGES",
];

#[derive(Clone, Debug, PartialEq)]
pub struct Setting {
    /// In the file, from 1; 0 for one that the command line gave.
    pub line: usize,
    pub name: String,
    pub value: String,
}

impl Setting {
    fn place(&self) -> String {
        match self.line {
            0 => format!("--set {}", self.name),
            line => format!("line {line}: {}", self.name),
        }
    }
}

/// What does not fit, one line each, naming setting and line.
#[derive(Debug, PartialEq)]
pub struct MigrationErrors(pub Vec<String>);

impl fmt::Display for MigrationErrors {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str(&self.0.join("\n"))
    }
}

/// Reads NAME=VALUE lines; comments, blank lines, a leading `export` and quotes around a value are allowed.
/// Errors: each line that is none of these, and each setting given twice.
pub fn read(text: &str) -> Result<Vec<Setting>, MigrationErrors> {
    let (mut settings, mut faults): (Vec<Setting>, Vec<String>) = (Vec::new(), Vec::new());
    for (n, line) in text.lines().enumerate() {
        let bare = line.trim();
        if bare.is_empty() || bare.starts_with('#') {
            continue;
        }
        let bare = bare.strip_prefix("export ").unwrap_or(bare);
        match setting(n + 1, bare) {
            Err(what) => faults.push(format!("line {}: {what}", n + 1)),
            Ok(new) => match settings.iter().find(|s| s.name == new.name) {
                Some(first) => faults.push(format!(
                    "{}: given before, on line {}",
                    new.place(),
                    first.line
                )),
                None => settings.push(new),
            },
        }
    }
    if faults.is_empty() {
        Ok(settings)
    } else {
        Err(MigrationErrors(faults))
    }
}

fn setting(line: usize, text: &str) -> Result<Setting, String> {
    let (name, value) = text
        .split_once('=')
        .ok_or_else(|| format!("'{text}' is not NAME=VALUE"))?;
    let fits = |c: char| c.is_ascii_uppercase() || c.is_ascii_digit() || c == '_';
    if name.is_empty() || !name.chars().all(fits) {
        return Err(format!("'{name}' is no name of a variable"));
    }
    let value = match value.chars().next() {
        Some(quote @ ('"' | '\'')) => {
            let inner = value
                .strip_prefix(quote)
                .and_then(|v| v.strip_suffix(quote));
            inner.ok_or_else(|| format!("{name}: the quote does not end"))?
        }
        _ => value,
    };
    if value.contains(['"', '\'', '\\', '$', '`']) {
        return Err(format!(
            "{name}: quotes, backslashes and $ within a value are not read"
        ));
    }
    Ok(Setting {
        line,
        name: current_variable_name(name).into(),
        value: value.into(),
    })
}

/// Checks settings by the router's own parser, apart from the environment of this process. Errors: one line each.
pub fn checked(settings: &[Setting]) -> Result<RouterFlags, MigrationErrors> {
    let bare = RouterProgram::command().mut_args(|arg| arg.env(Resettable::Reset));
    let mut flags = BTreeMap::new();
    for arg in RouterProgram::command().get_arguments() {
        if let (Some(env), Some(long)) = (arg.get_env(), arg.get_long()) {
            let switch = matches!(arg.get_action(), ArgAction::SetTrue);
            flags.insert(
                env.to_string_lossy().into_owned(),
                (long.to_string(), switch, arg.is_required_set()),
            );
        }
    }
    let (mut faults, mut line) = (Vec::new(), vec!["spokeflow-router".to_string()]);
    for s in settings {
        let Some((long, switch, _)) = flags.get(&s.name) else {
            faults.push(format!("{}: not a setting of the router", s.place()));
            continue;
        };
        let flag = match (switch, s.value.as_str()) {
            (false, value) => format!("--{long}={value}"),
            (true, "true") => format!("--{long}"),
            (true, "false") => continue,
            (true, other) => {
                faults.push(format!(
                    "{}: '{other}' is neither true nor false",
                    s.place()
                ));
                continue;
            }
        };
        if let Err(what) = alone(&bare, &flag) {
            faults.push(format!("{}: {what}", s.place()));
        }
        line.push(flag);
    }
    let missing = flags
        .iter()
        .filter(|(name, f)| f.2 && !settings.iter().any(|s| s.name == **name));
    faults.extend(missing.map(|(name, _)| format!("{name}: missing")));
    if !faults.is_empty() {
        return Err(MigrationErrors(faults));
    }
    let read = bare
        .try_get_matches_from(line)
        .and_then(|found| RouterProgram::from_arg_matches(&found));
    let terms = read
        .map_err(|e| MigrationErrors(vec![first_line(&e)]))?
        .terms;
    let named = |fault: &String| {
        let of = |s: &&Setting| {
            flags
                .get(&s.name)
                .is_some_and(|f| fault.starts_with(&format!("--{}:", f.0)))
        };
        let place = settings
            .iter()
            .find(of)
            .map(|s| format!("{}: ", s.place()))
            .unwrap_or_default();
        format!("{place}{fault}")
    };
    terms
        .check()
        .map_err(|f| MigrationErrors(f.lines().iter().map(named).collect()))?;
    Ok(terms)
}

/// One flag read by itself: what is required beside it is not its fault.
fn alone(bare: &Command, flag: &str) -> Result<(), String> {
    let read = bare
        .clone()
        .try_get_matches_from(["spokeflow-router", flag]);
    match read {
        Err(e) if e.kind() != clap::error::ErrorKind::MissingRequiredArgument => {
            Err(first_line(&e))
        }
        _ => Ok(()),
    }
}

fn first_line(e: &clap::Error) -> String {
    let text = e.to_string();
    text.lines()
        .next()
        .unwrap_or_default()
        .trim_start_matches("error: ")
        .to_string()
}

/// The counterpart, and what was not carried over or wants a look.
pub fn carried(old: &[Setting], set: &[Setting]) -> (Vec<Setting>, Vec<String>) {
    let (mut new, mut notes) = (Vec::new(), Vec::new());
    let told = |name: &str| set.iter().any(|s| s.name == name);
    for s in old {
        if told(&s.name) || ADDED.iter().any(|(name, _)| *name == s.name) {
            continue;
        }
        if let Some((_, why)) = DROPPED.iter().find(|(name, _)| *name == s.name) {
            notes.push(format!("{}: not carried over: {why}", s.place()));
            continue;
        }
        if OF_THE_FLEET.contains(&s.name.as_str()) {
            notes.push(format!(
                "{}={}: carried as it stands; a new fleet may have another",
                s.place(),
                s.value
            ));
        }
        new.push(s.clone());
    }
    for name in OF_THE_FLEET
        .iter()
        .filter(|name| !told(name) && !old.iter().any(|s| s.name == **name))
    {
        notes.push(format!(
            "{name}: not in the file, so its default holds; a new fleet may have another"
        ));
    }
    let added = ADDED.iter().filter(|(name, _)| !told(name));
    new.extend(added.map(|(name, value)| Setting {
        line: 0,
        name: (*name).into(),
        value: (*value).into(),
    }));
    new.extend(set.iter().cloned());
    (new, notes)
}

fn written(settings: &[Setting]) -> String {
    let line = |s: &Setting| match s.value.contains([' ', '#']) {
        true => format!("{}=\"{}\"\n", s.name, s.value),
        false => format!("{}={}\n", s.name, s.value),
    };
    settings.iter().map(line).collect()
}

/// Carries a file over. Gives what was written or would be, and the notes. Errors: nothing has been written.
pub fn carry(program: &MigrateProgram) -> Result<(String, Vec<String>), MigrationErrors> {
    let fault = |path: &Path, what: &dyn fmt::Display| {
        MigrationErrors(vec![format!("{}: {what}", path.display())])
    };
    let text = std::fs::read_to_string(&program.from).map_err(|e| fault(&program.from, &e))?;
    let old = read(&text)?;
    checked(&old)?;
    let mut set: Vec<Setting> = Vec::new();
    for given in &program.set {
        let new =
            setting(0, given).map_err(|what| MigrationErrors(vec![format!("--set: {what}")]))?;
        if set.iter().any(|s| s.name == new.name) {
            return Err(MigrationErrors(vec![format!(
                "{}: given twice",
                new.place()
            )]));
        }
        set.push(new);
    }
    let (new, notes) = carried(&old, &set);
    checked(&new)?;
    let text = written(&new);
    if let Some(to) = program.to.as_ref().filter(|_| !program.check) {
        put(&program.from, to, &text, program.replace)?;
    }
    Ok((text, notes))
}

/// Whole or not at all: written beside, then moved to its place.
fn put(from: &Path, to: &Path, text: &str, replace: bool) -> Result<(), MigrationErrors> {
    let fault =
        |what: &dyn fmt::Display| MigrationErrors(vec![format!("{}: {what}", to.display())]);
    let same = std::fs::canonicalize(from)
        .ok()
        .zip(std::fs::canonicalize(to).ok());
    if same.is_some_and(|(a, b)| a == b) {
        return Err(fault(&"is the file that is read"));
    }
    let mut beside = to.as_os_str().to_owned();
    beside.push(format!(".{}", std::process::id()));
    let write = || -> std::io::Result<()> {
        let mut file = std::fs::File::create_new(&beside)?;
        file.write_all(text.as_bytes())?;
        file.sync_all()?;
        if replace {
            return std::fs::rename(&beside, to);
        }
        // A link fails where something stands, also what came a moment ago.
        std::fs::hard_link(&beside, to)?;
        std::fs::remove_file(&beside)
    };
    write().map_err(|e| {
        let _ = std::fs::remove_file(&beside);
        match e.kind() {
            std::io::ErrorKind::AlreadyExists => fault(&"stands already; --replace overwrites it"),
            _ => fault(&e),
        }
    })
}
