//! Table of the running processes of a run, for the sampler that measures them.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};

use crate::locked;

/// Kind of a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum ProcessKind {
    /// The voter of this id.
    Voter(u32),
    /// A process of this many hollow routers.
    Hollow(u32),
    /// The real router of this number.
    Real(u32),
    /// This process, with the tap and the sampler.
    Harness,
}

/// A running process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct ProcessEntry {
    pub pid: i32,
    pub kind: ProcessKind,
}

/// Running processes by name, shared between the rig that starts them and the sampler that reads them.
#[derive(Clone, Debug, Default)]
pub(super) struct ProcessTable(Arc<Mutex<BTreeMap<String, ProcessEntry>>>);

impl ProcessTable {
    /// Adds a process that was started. Does nothing if it has no process id, as it has ended already.
    pub(super) fn add(&self, name: &str, pid: Option<u32>, kind: ProcessKind) {
        let Some(pid) = pid.and_then(|pid| i32::try_from(pid).ok()) else {
            return;
        };
        locked(&self.0).insert(name.to_string(), ProcessEntry { pid, kind });
    }

    /// Removes a process that is about to be stopped, so that its end is expected.
    pub(super) fn remove(&self, name: &str) {
        locked(&self.0).remove(name);
    }

    /// Returns all processes with their names.
    pub(super) fn entries(&self) -> Vec<(String, ProcessEntry)> {
        let entries = locked(&self.0);
        entries
            .iter()
            .map(|(name, entry)| (name.clone(), *entry))
            .collect()
    }

    /// Returns whether the process of this name and id is expected to be running.
    pub(super) fn contains(&self, name: &str, pid: i32) -> bool {
        locked(&self.0)
            .get(name)
            .is_some_and(|entry| entry.pid == pid)
    }
}
