//! Updates of the endpoint list from its source, and the uptime of hosts that is sent to routers.

use std::collections::BTreeMap;

use spokeflow_core::Micros;
use spokeflow_raft::Output;

use super::{Coordinator, Effects};
use crate::{EndpointListUpdate, LogCommand, Rejection, SourceUpdate};

/// Maximum number of updates that wait until the one before them is committed. Further ones are dropped, as the source
/// is read again.
const MAX_QUEUED_UPDATES: usize = 64;

/// When the present incarnation of a host was applied to the list.
#[derive(Clone, Copy, Debug)]
pub(super) struct AppliedHost {
    incarnation: u64,
    applied_at: Micros,
}

impl Coordinator {
    /// Handles an update that was read from the source of the list. Only the leader acts on it.
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

    /// Handles the next queued update, unless an update in the log is not committed yet.
    pub(super) fn handle_queued_update(&mut self, now: Micros, effects: &mut Effects) {
        if self.list_update_pending {
            return;
        }
        if let Some(update) = self.queued_list_updates.pop_front() {
            self.on_source_update(now, update, effects);
        }
    }

    /// Records when the hosts of the list were applied; hosts whose incarnation is unchanged keep their earlier time.
    pub(super) fn record_applied_hosts(&mut self, now: Micros) {
        let mut applied_hosts = BTreeMap::new();
        for host in self.config.list.hosts() {
            let incarnation = host.incarnation;
            let known = self.applied_hosts.get(&host.host).copied();
            let known = known.filter(|applied| applied.incarnation == incarnation);
            let applied = known.unwrap_or(AppliedHost {
                incarnation,
                applied_at: now,
            });
            applied_hosts.insert(host.host, applied);
        }
        self.applied_hosts = applied_hosts;
    }

    /// Adds to each host's uptime the time since the host was applied.
    pub(super) fn add_elapsed_uptime(&self, now: Micros, update: &mut EndpointListUpdate) {
        for host in &mut update.hosts {
            let applied = self.applied_hosts.get(&host.host);
            let elapsed = applied.map_or(0, |applied| (now - applied.applied_at).max(0) as u64);
            host.up_us = host.up_us.map(|uptime| uptime.saturating_add(elapsed));
        }
    }
}
