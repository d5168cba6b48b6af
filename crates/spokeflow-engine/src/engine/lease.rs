//! The control plane's lease: which configuration is in force, and for how long.

use spokeflow_coordination::EffectiveConfig;
use spokeflow_core::{BuildId, Micros};

use super::Engine;
use crate::in_flight::CanaryLease;
use crate::Transport;

/// The lease granted last.
pub(super) struct LeaseState {
    pub(super) until: Micros,
    config: EffectiveConfig,
    /// Whether its configuration is in force.
    in_force: bool,
}

impl LeaseState {
    /// When the lease ends, while it is in force.
    pub(super) fn expires_at(&self) -> Option<Micros> {
        self.in_force.then_some(self.until)
    }
}

impl Engine {
    /// Checked before each input, not by a timer: this process may have been stopped meanwhile.
    pub(super) fn check_lease(&mut self, transport: &mut dyn Transport) {
        let expires_at = self.lease.as_ref().and_then(LeaseState::expires_at);
        if expires_at.is_some_and(|at| self.in_flight.now >= at) {
            self.apply_lease(transport);
        }
    }

    pub(super) fn on_lease(
        &mut self,
        until: Micros,
        config: EffectiveConfig,
        transport: &mut dyn Transport,
    ) {
        if !self.renew_lease(until, &config) {
            self.lease = Some(LeaseState {
                until,
                config,
                in_force: false,
            });
            self.apply_lease(transport);
        }
    }

    /// Prolongs the lease that is in force, where this one is the same but for its end.
    fn renew_lease(&mut self, until: Micros, config: &EffectiveConfig) -> bool {
        let now = self.in_flight.now;
        let Some(lease) = &mut self.lease else {
            return false;
        };
        if !lease.in_force || until <= now || lease.config != *config {
            return false;
        }
        lease.until = until;
        if let Some(canary) = &mut self.in_flight.canary_lease {
            canary.until = until;
        }
        true
    }

    /// Puts the lease's configuration in force, in one step between two commands: none sees parts of two revisions.
    /// Without a lease only what contradicts no later revision is done.
    fn apply_lease(&mut self, transport: &mut dyn Transport) {
        let Some(lease) = &mut self.lease else {
            return;
        };
        lease.in_force = self.in_flight.now < lease.until;
        let config = if lease.in_force {
            lease.config.clone()
        } else {
            lease.config.released_build_only()
        };
        transport.drain_grace(config.drain_grace);
        config.apply_to(&mut self.config.service);
        self.router.reconfigure(&self.config.service);
        self.forward_rollout_status(transport);
    }

    /// Restricts deliveries to builds from `first_build` on to the time of the lease, where there is one.
    pub(super) fn limit_canary(&mut self, first_build: BuildId) {
        if let Some(lease) = &self.lease {
            self.in_flight.canary_lease = Some(CanaryLease {
                first_build,
                until: lease.until,
            });
        }
    }
}
