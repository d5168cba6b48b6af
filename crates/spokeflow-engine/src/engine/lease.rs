//! The control plane's lease: which configuration is in force, and for how long.

use spokeflow_coordination::EffectiveConfig;
use spokeflow_core::{BuildId, Micros};

use super::Engine;
use crate::in_flight::CanaryLease;
use crate::Transport;

/// The lease granted last.
pub(super) struct LeaseState {
    ends_at: Micros,
    /// The configuration that may be used until then.
    config: EffectiveConfig,
    /// Whether `config` is in force.
    is_in_force: bool,
}

impl LeaseState {
    /// Returns when the lease expires, or `None` if it is not in force.
    pub(super) fn expires_at(&self) -> Option<Micros> {
        self.is_in_force.then_some(self.ends_at)
    }
}

impl Engine {
    /// Ends the lease if it has expired. Called before each input and not only by a timer, because this process may
    /// have been stopped in the meantime.
    pub(super) fn check_lease(&mut self, transport: &mut dyn Transport) {
        let expires_at = self.lease.as_ref().and_then(LeaseState::expires_at);
        if expires_at.is_some_and(|at| self.in_flight.now >= at) {
            self.apply_lease(transport);
        }
    }

    pub(super) fn on_lease(
        &mut self,
        ends_at: Micros,
        config: EffectiveConfig,
        transport: &mut dyn Transport,
    ) {
        if !self.renew_lease(ends_at, &config) {
            self.lease = Some(LeaseState {
                ends_at,
                config,
                is_in_force: false,
            });
            self.apply_lease(transport);
        }
    }

    /// Extends the lease in force if the new one differs only in its end; returns whether it did.
    fn renew_lease(&mut self, ends_at: Micros, config: &EffectiveConfig) -> bool {
        let now = self.in_flight.now;
        let Some(lease) = &mut self.lease else {
            return false;
        };
        if !lease.is_in_force || ends_at <= now || lease.config != *config {
            return false;
        }
        lease.ends_at = ends_at;
        if let Some(canary) = &mut self.in_flight.canary_lease {
            canary.ends_at = ends_at;
        }
        true
    }

    /// Puts the lease's configuration in force in one step between two inputs, so that no command sees parts of two
    /// revisions. If the lease has expired, the router falls back to the released build alone, with limits that no
    /// later revision can contradict.
    fn apply_lease(&mut self, transport: &mut dyn Transport) {
        let Some(lease) = &mut self.lease else {
            return;
        };
        lease.is_in_force = self.in_flight.now < lease.ends_at;
        let config = if lease.is_in_force {
            lease.config.clone()
        } else {
            lease.config.released_build_only()
        };
        transport.set_drain_grace(config.drain_grace);
        config.apply_to(&mut self.config.service);
        self.router.reconfigure(&self.config.service);
        self.forward_rollout_status(transport);
    }

    /// Allows deliveries to `first_build` and later builds only until the lease ends, if there is a lease.
    pub(super) fn limit_canary(&mut self, first_build: BuildId) {
        if let Some(lease) = &self.lease {
            self.in_flight.canary_lease = Some(CanaryLease {
                first_build,
                ends_at: lease.ends_at,
            });
        }
    }
}
