//! Which settings are kept, dropped or added, and why.

use super::setting::Setting;

/// A setting that no earlier file has.
struct Added {
    name: &'static str,
    value: &'static str,
}

/// A setting without a counterpart.
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
        reason: "the earlier hosts stay until the release, keys may go back to them",
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
        reason: "the cached list names hosts of the old fleet; name a new file with --set",
    },
    Dropped {
        name: "SPOKEFLOW_RECORD",
        reason: "the recording is of the old fleet; name a new file with --set",
    },
];

/// Settings that are kept though a new fleet often has other values.
const FLEET_SPECIFIC: [&str; 6] = [
    "SPOKEFLOW_FLEET_SIZE",
    "SPOKEFLOW_GATE",
    "SPOKEFLOW_BACK_VOTES",
    "SPOKEFLOW_STAGE_SHARE",
    "SPOKEFLOW_STAGE_CAP",
    "SPOKEFLOW_GUARDED_STAGES",
];

/// Settings of the new deployment.
pub(super) struct Mapped {
    pub(super) settings: Vec<Setting>,
    /// What was not carried over or should be looked at, one line each.
    pub(super) notes: Vec<String>,
}

/// Maps the settings of the earlier deployment; those `given` replace them.
pub(super) fn map(old: &[Setting], given: &[Setting]) -> Mapped {
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
    Mapped { settings, notes }
}

fn contains(settings: &[Setting], name: &str) -> bool {
    settings.iter().any(|setting| setting.name == name)
}
