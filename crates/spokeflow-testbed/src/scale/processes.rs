//! Which processes of a run there are at the moment, for those who measure them.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};

use crate::locked;

/// What a process is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum ProcessKind {
    Voter(u32),
    /// So many hollow routers.
    Hollow(u32),
    /// A real router.
    Real(u32),
    /// This program: the tap and the measuring.
    Harness,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct ProcessEntry {
    pub pid: i32,
    pub kind: ProcessKind,
}

/// Processes by name, shared between the rig that starts them and the sampler that reads them.
#[derive(Clone, Debug, Default)]
pub(super) struct ProcessTable(Arc<Mutex<BTreeMap<String, ProcessEntry>>>);

impl ProcessTable {
    /// A process is there from now on.
    pub(super) fn add(&self, name: &str, pid: Option<u32>, kind: ProcessKind) {
        let Some(pid) = pid.and_then(|pid| i32::try_from(pid).ok()) else {
            return;
        };
        locked(&self.0).insert(name.to_string(), ProcessEntry { pid, kind });
    }

    /// A process is about to be ended: that it is no more is expected.
    pub(super) fn remove(&self, name: &str) {
        locked(&self.0).remove(name);
    }

    pub(super) fn members(&self) -> Vec<(String, ProcessEntry)> {
        let entries = locked(&self.0);
        entries
            .iter()
            .map(|(name, entry)| (name.clone(), *entry))
            .collect()
    }

    /// Whether this very process is still expected to be there.
    pub(super) fn has(&self, name: &str, pid: i32) -> bool {
        locked(&self.0)
            .get(name)
            .is_some_and(|entry| entry.pid == pid)
    }
}
