//! Which processes of a run there are at the moment, for those who measure them.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};

/// What a process is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Kind {
    Voter(u32),
    /// So many hollow routers.
    Hollow(u32),
    /// A real router.
    Real(u32),
    /// This program: the tap and the measuring.
    Harness,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Member {
    pub pid: i32,
    pub kind: Kind,
}

/// Processes by name, shared between the rig that starts them and the sampler that reads them.
#[derive(Clone, Debug, Default)]
pub struct Roster(Arc<Mutex<BTreeMap<String, Member>>>);

impl Roster {
    /// A process is there from now on.
    pub fn add(&self, name: &str, pid: Option<u32>, kind: Kind) {
        let Some(pid) = pid.and_then(|pid| i32::try_from(pid).ok()) else {
            return;
        };
        self.0
            .lock()
            .expect("no holder panics")
            .insert(name.to_string(), Member { pid, kind });
    }

    /// A process is about to be ended: that it is no more is expected.
    pub fn remove(&self, name: &str) {
        self.0.lock().expect("no holder panics").remove(name);
    }

    pub fn members(&self) -> Vec<(String, Member)> {
        let members = self.0.lock().expect("no holder panics");
        members
            .iter()
            .map(|(name, member)| (name.clone(), *member))
            .collect()
    }

    /// Whether this very process is still expected to be there.
    pub fn has(&self, name: &str, pid: i32) -> bool {
        self.0
            .lock()
            .expect("no holder panics")
            .get(name)
            .is_some_and(|member| member.pid == pid)
    }
}
