//! Updates of the endpoint list: what its source says, and the uptime of hosts that is sent with it.

use std::collections::BTreeMap;

use spokeflow_core::Micros;
use spokeflow_raft::Output;

use super::{Coordinator, Effects};
use crate::{EndpointListUpdate, LogCommand, Rejection, SourceUpdate};

/// Updates that wait for the one before them to be committed; what finds no room is read again.
const MAX_QUEUED_UPDATES: usize = 64;

/// When a host was applied in its present incarnation.
#[derive(Clone, Copy, Debug)]
pub(super) struct AppliedHost {
    incarnation: u64,
    applied_at: Micros,
}

impl Coordinator {
    /// Handles what the source of the list said to a node that reads it. Only the leader does anything with it.
    pub fn on_source_update(&mut self, now: Micros, update: SourceUpdate, effects: &mut Effects) {
        if !self.raft.has_leader_lease(now) {
            return;
        }
        if self.list_update_pending {
            self.queued_list_updates.push_back(update);
            self.queued_list_updates.truncate(MAX_QUEUED_UPDATES);
            return;
        }
        let rejected = self.rejected_update.as_ref();
        let confirmed = rejected.is_some_and(|rejected| update.confirms(rejected));
        let evaluated = self.config.list.evaluate(&update, confirmed);
        let rejection = evaluated.as_ref().err().copied();
        if rejection.is_some() && self.rejection != rejection {
            effects.rejection = rejection;
        }
        self.rejection = rejection;
        let may_be_confirmed = matches!(rejection, Some(Rejection::Halved { .. }));
        self.rejected_update = may_be_confirmed.then_some(update);
        if let Ok(Some(changes)) = evaluated {
            let command = LogCommand::UpdateList(changes);
            let mut out = Output::default();
            let proposed = self.raft.propose(now, command.encode(), &mut out);
            self.list_update_pending = proposed.is_ok();
            self.apply_output(now, out, effects);
        }
    }

    /// Handles the next update that waits, where none is in the log any more.
    pub(super) fn take_queued_update(&mut self, now: Micros, effects: &mut Effects) {
        if self.list_update_pending {
            return;
        }
        if let Some(update) = self.queued_list_updates.pop_front() {
            self.on_source_update(now, update, effects);
        }
    }

    /// Notes the hosts that the list has now; those that it had before in the same incarnation keep their time.
    pub(super) fn note_applied_hosts(&mut self, now: Micros) {
        let mut noted = BTreeMap::new();
        for host in self.config.list.hosts() {
            let incarnation = host.incarnation;
            let known = self.applied_hosts.get(&host.host).copied();
            let known = known.filter(|applied| applied.incarnation == incarnation);
            let applied = known.unwrap_or(AppliedHost {
                incarnation,
                applied_at: now,
            });
            noted.insert(host.host, applied);
        }
        self.applied_hosts = noted;
    }

    /// Adds to the hosts' uptime what has passed since they were applied.
    pub(super) fn add_elapsed_uptime(&self, now: Micros, update: &mut EndpointListUpdate) {
        for host in &mut update.hosts {
            let applied = self.applied_hosts.get(&host.host);
            let elapsed = applied.map_or(0, |applied| (now - applied.applied_at).max(0) as u64);
            host.up_us = host.up_us.map(|uptime| uptime.saturating_add(elapsed));
        }
    }
}
