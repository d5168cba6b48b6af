//! The least and the most that each entry of a target may be.

use super::target::{Assumptions, Budget, Faults, Fleet, Load, Target, Terms};

/// An entry, its value and the least and most that it may be.
#[derive(Clone)]
pub(super) struct Bound {
    pub(super) entry: &'static str,
    value: f64,
    least: f64,
    most: f64,
    whole: bool,
}

impl Bound {
    fn count(entry: &'static str, value: f64, least: f64, most: f64) -> Self {
        Bound {
            entry,
            value,
            least,
            most,
            whole: true,
        }
    }

    fn number(entry: &'static str, value: f64, least: f64, most: f64) -> Self {
        Bound {
            entry,
            value,
            least,
            most,
            whole: false,
        }
    }

    /// What is wrong with the value, if anything.
    pub(super) fn problem(&self) -> Option<String> {
        let within = (self.least..=self.most).contains(&self.value);
        if within && (!self.whole || self.value.fract() == 0.0) {
            return None;
        }
        let kind = if self.whole {
            "a whole number"
        } else {
            "a number"
        };
        Some(format!(
            "{} found, {kind} from {} to {} wanted",
            self.value, self.least, self.most
        ))
    }
}

/// The bounds of all numbers of a target, in the order in which they are checked.
pub(super) fn bounds(target: &Target) -> Vec<Bound> {
    [
        fleet_bounds(&target.fleet),
        load_bounds(&target.load),
        budget_bounds(&target.budget),
        fault_bounds(&target.faults),
        assumed_load_bounds(&target.assumptions),
        assumed_machine_bounds(&target.assumptions),
        term_bounds(&target.terms),
    ]
    .concat()
}

/// Sizes of the deployment.
fn fleet_bounds(fleet: &Fleet) -> Vec<Bound> {
    vec![
        Bound::count("fleet.routers", fleet.routers, 1.0, 1e5),
        Bound::count("fleet.hosts", fleet.hosts, 1.0, 1e6),
        Bound::count("fleet.services", fleet.services, 1.0, 1e5),
        Bound::count("fleet.routes", fleet.routes, 1.0, 1e6),
        Bound::count("fleet.tenants", fleet.tenants, 1.0, 1e7),
        Bound::count("fleet.regions", fleet.regions, 1.0, 100.0),
        Bound::count("fleet.zones", fleet.zones, 1.0, 1000.0),
        Bound::count(
            "fleet.control_machines",
            fleet.control_machines,
            3.0,
            1000.0,
        ),
    ]
}

/// What is asked of it.
fn load_bounds(load: &Load) -> Vec<Bound> {
    vec![
        Bound::number(
            "load.peak_requests_per_second",
            load.peak_requests_per_second,
            1.0,
            1e9,
        ),
        Bound::number("load.changes_per_day", load.changes_per_day, 0.0, 1e6),
        Bound::number(
            "load.change_bound_seconds",
            load.change_bound_seconds,
            0.1,
            3600.0,
        ),
    ]
}

/// What a router may cost.
fn budget_bounds(budget: &Budget) -> Vec<Bound> {
    vec![
        Bound::number(
            "budget.added_milliseconds",
            budget.added_milliseconds,
            0.01,
            1e4,
        ),
        Bound::number(
            "budget.control_core_share",
            budget.control_core_share,
            1e-5,
            1.0,
        ),
        Bound::number(
            "budget.control_memory_mb",
            budget.control_memory_mb,
            1.0,
            1e6,
        ),
        Bound::number(
            "budget.control_kb_per_second",
            budget.control_kb_per_second,
            0.01,
            1e6,
        ),
    ]
}

/// What fails.
fn fault_bounds(faults: &Faults) -> Vec<Bound> {
    vec![
        Bound::number(
            "faults.machines_failed_per_day",
            faults.machines_failed_per_day,
            0.0,
            1e6,
        ),
        Bound::number(
            "faults.machines_restarted_per_day",
            faults.machines_restarted_per_day,
            0.0,
            1e6,
        ),
        Bound::number(
            "faults.racks_lost_per_year",
            faults.racks_lost_per_year,
            0.0,
            1e4,
        ),
        Bound::number(
            "faults.zones_lost_per_year",
            faults.zones_lost_per_year,
            0.0,
            1e3,
        ),
        Bound::number(
            "faults.region_apart_hours",
            faults.region_apart_hours,
            0.0,
            1e3,
        ),
    ]
}

/// Assumptions on load and changes.
fn assumed_load_bounds(assumed: &Assumptions) -> Vec<Bound> {
    vec![
        Bound::number(
            "assumptions.mean_share_of_peak",
            assumed.mean_share_of_peak,
            0.01,
            1.0,
        ),
        Bound::number(
            "assumptions.changes_in_busiest_minute",
            assumed.changes_in_busiest_minute,
            0.0,
            1e4,
        ),
        Bound::number(
            "assumptions.restart_hours",
            assumed.restart_hours,
            0.1,
            24.0,
        ),
        Bound::count(
            "assumptions.machines_per_rack",
            assumed.machines_per_rack,
            1.0,
            1000.0,
        ),
        Bound::number(
            "assumptions.releases_per_host_per_day",
            assumed.releases_per_host_per_day,
            0.0,
            100.0,
        ),
        Bound::number(
            "assumptions.host_restarts_in_busiest_minute",
            assumed.host_restarts_in_busiest_minute,
            0.0,
            1e6,
        ),
        Bound::number(
            "assumptions.list_lines_per_restart",
            assumed.list_lines_per_restart,
            1.0,
            10.0,
        ),
        Bound::number(
            "assumptions.list_lines_per_failure",
            assumed.list_lines_per_failure,
            1.0,
            10.0,
        ),
    ]
}

/// Assumptions on answers, services and machines.
fn assumed_machine_bounds(assumed: &Assumptions) -> Vec<Bound> {
    vec![
        Bound::number(
            "assumptions.answer_milliseconds",
            assumed.answer_milliseconds,
            0.1,
            1e5,
        ),
        Bound::count(
            "assumptions.largest_service_hosts",
            assumed.largest_service_hosts,
            1.0,
            1e6,
        ),
        Bound::number(
            "assumptions.router_cores",
            assumed.router_cores,
            0.1,
            1000.0,
        ),
        Bound::number(
            "assumptions.control_machine_mb",
            assumed.control_machine_mb,
            64.0,
            1e8,
        ),
        Bound::number(
            "assumptions.control_machine_mb_per_second",
            assumed.control_machine_mb_per_second,
            0.1,
            1e5,
        ),
        Bound::number("assumptions.voter_cores", assumed.voter_cores, 0.1, 1000.0),
    ]
}

/// Terms of the programs.
fn term_bounds(terms: &Terms) -> Vec<Bound> {
    vec![
        Bound::count("terms.voters", terms.voters, 3.0, 7.0),
        Bound::number("terms.lease_seconds", terms.lease_seconds, 0.1, 600.0),
        Bound::number("terms.silence_seconds", terms.silence_seconds, 0.01, 60.0),
        Bound::number("terms.clock_drift", terms.clock_drift, 0.0, 0.5),
        Bound::count("terms.callers_at_most", terms.callers_at_most, 1.0, 1e6),
        Bound::number(
            "terms.stage_bake_seconds",
            terms.stage_bake_seconds,
            0.1,
            1e5,
        ),
    ]
}
