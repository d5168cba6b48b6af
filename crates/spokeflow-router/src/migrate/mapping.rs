//! The rules by which settings are kept, dropped or added.

use super::setting::Setting;

/// A setting that is added to every migrated file, whatever its value in the earlier file, unless the command line
/// gives it.
struct Added {
    name: &'static str,
    value: &'static str,
}

/// A setting that is not carried over.
struct Dropped {
    name: &'static str,
    reason: &'static str,
}

const ADDED: [Added; 4] = [
    Added {
        name: "SPOKEFLOW_BESIDE",
        value: "true",
    },
    Added {
        name: "SPOKEFLOW_HOST_REPORTS",
        value: "true",
    },
    Added {
        name: "SPOKEFLOW_CONTROLLER_STATS",
        value: "true",
    },
    Added {
        name: "SPOKEFLOW_HOST_SIZES",
        value: "true",
    },
];

const NO_GOSSIP: &str =
    "routers exchange no messages; the release controller's statistics replace them";

const DROPPED: [Dropped; 5] = [
    Dropped {
        name: "SPOKEFLOW_FORWARD_ONLY",
        reason: "hosts of the earlier build stay until the new one is released, and keys may return to them",
    },
    Dropped {
        name: "SPOKEFLOW_MAY_TELL",
        reason: NO_GOSSIP,
    },
    Dropped {
        name: "SPOKEFLOW_PEER",
        reason: NO_GOSSIP,
    },
    Dropped {
        name: "SPOKEFLOW_LIST_FILE",
        reason: "the cached list holds hosts of the old fleet; name a new file with --set",
    },
    Dropped {
        name: "SPOKEFLOW_RECORD",
        reason: "the recording is of the old fleet; name a new file with --set",
    },
];

/// Settings that are kept, with a note, because a new fleet often needs other values.
const FLEET_SPECIFIC: [&str; 6] = [
    "SPOKEFLOW_FLEET_SIZE",
    "SPOKEFLOW_GATE",
    "SPOKEFLOW_BACK_VOTES",
    "SPOKEFLOW_STAGE_SHARE",
    "SPOKEFLOW_STAGE_CAP",
    "SPOKEFLOW_GUARDED_STAGES",
];

/// The settings of the new deployment.
pub(super) struct MappedSettings {
    pub(super) settings: Vec<Setting>,
    /// Settings that were not carried over or should be reviewed, one line each.
    pub(super) notes: Vec<String>,
}

/// Maps the settings of the earlier deployment to those of the new one. The settings in `given`, from the command line,
/// take precedence.
pub(super) fn map_settings(old: &[Setting], given: &[Setting]) -> MappedSettings {
    let mut settings = Vec::new();
    let mut notes = Vec::new();
    for setting in old {
        let is_added = ADDED.iter().any(|added| added.name == setting.name);
        if is_added || contains(given, &setting.name) {
            continue;
        }
        let origin = setting.origin();
        let dropped = DROPPED.iter().find(|dropped| dropped.name == setting.name);
        if let Some(Dropped { reason, .. }) = dropped {
            notes.push(format!("{origin}: not carried over: {reason}"));
            continue;
        }
        if FLEET_SPECIFIC.contains(&setting.name.as_str()) {
            let value = &setting.value;
            notes.push(format!(
                "{origin}={value}: carried over unchanged; a new fleet may need another value"
            ));
        }
        settings.push(setting.clone());
    }
    let absent = FLEET_SPECIFIC
        .iter()
        .filter(|name| !contains(given, name) && !contains(old, name));
    notes.extend(absent.map(|name| {
        format!("{name}: not in the file, so its default holds; a new fleet may need another value")
    }));
    let added = ADDED.iter().filter(|added| !contains(given, added.name));
    settings.extend(added.map(|added| Setting {
        line: None,
        name: added.name.into(),
        value: added.value.into(),
    }));
    settings.extend(given.iter().cloned());
    MappedSettings { settings, notes }
}

fn contains(settings: &[Setting], name: &str) -> bool {
    settings.iter().any(|setting| setting.name == name)
}
