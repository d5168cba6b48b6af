//! Computation of the rows of each role.

mod control;
mod data;
mod others;
mod voter;

use super::encoded;
use super::estimate::{Estimate, Need};
use super::limits;
use super::records::Role;
use super::row::Row;
use super::situation::{Situation, WindowLoad};
use super::slopes::Slopes;
use super::target::Target;

const BYTES_PER_KB: f64 = 1e3;
const BYTES_PER_MB: f64 = 1e6;

/// The inputs that rows are computed from.
pub(super) struct Inputs<'a> {
    pub target: &'a Target,
    pub slopes: &'a Slopes,
}

/// Returns all rows, grouped by role.
pub(super) fn rows(target: &Target, slopes: &Slopes) -> Vec<Row> {
    let inputs = Inputs { target, slopes };
    let mut rows = data::rows(&inputs);
    rows.extend(control::rows(&inputs));
    rows.extend(voter::rows(&inputs));
    rows.extend(others::rows(&inputs));
    rows
}

impl Inputs<'_> {
    fn load(&self, situation: Situation) -> WindowLoad {
        WindowLoad::for_situation(self.target, situation)
    }

    fn measured(&self, need: Need, size: f64) -> Estimate {
        Estimate::measured(self.slopes, need, size)
    }

    fn encoded(
        &self,
        role: Role,
        quantity: &'static str,
        per: &'static str,
        size: f64,
    ) -> Estimate {
        self.measured(
            Need {
                role,
                quantity,
                phase: encoded::PHASE,
                per,
            },
            size,
        )
    }

    fn per_hosts(&self, role: Role, quantity: &'static str) -> Estimate {
        self.encoded(role, quantity, "hosts", self.target.fleet.hosts)
    }

    fn per_tenants(&self, role: Role, quantity: &'static str) -> Estimate {
        self.encoded(role, quantity, "tenants", self.target.fleet.tenants)
    }

    /// Returns the bytes of a grant with a change of one tenant's share.
    fn change_grant(&self) -> Estimate {
        self.per_tenants(Role::Voter, encoded::TENANT_GRANT)
    }

    /// Returns the bytes of a grant with the whole host list.
    fn list_grant(&self) -> Estimate {
        self.per_hosts(Role::Voter, encoded::LIST_GRANT)
    }

    /// Returns the bytes that this number of changed lines of the host list adds to grants.
    fn line_grants(&self, lines: f64) -> Estimate {
        self.list_grant().times(lines / self.target.fleet.hosts)
    }

    fn renewal_request(&self) -> Estimate {
        self.encoded(
            Role::RouterControl,
            encoded::RENEWAL_REQUEST,
            "routers",
            self.target.fleet.routers,
        )
    }

    fn renewal_answer(&self) -> Estimate {
        self.encoded(
            Role::Voter,
            encoded::RENEWAL_ANSWER,
            "routers",
            self.target.fleet.routers,
        )
    }

    /// Returns the lease renewals per second of one router.
    fn renewals_per_second(&self) -> f64 {
        let terms = &self.target.terms;
        limits::RENEWALS_PER_LEASE / (terms.lease_seconds * (1.0 - terms.clock_drift))
    }

    /// Converts an amount in one window to an amount per second.
    fn per_second(&self, in_window: Estimate) -> Estimate {
        in_window.times(1.0 / self.target.load.change_bound_seconds)
    }
}
