//! The permitted range of each numeric entry of a target.

use super::target::{Assumptions, Budget, Faults, Fleet, Load, Target, Terms};

/// A numeric entry of a target with its value and its permitted range.
#[derive(Clone)]
pub(super) struct Bound {
    /// Path of the entry in the TOML file, such as `fleet.routers`.
    pub(super) entry: &'static str,
    value: f64,
    minimum: f64,
    maximum: f64,
    is_whole_number: bool,
}

impl Bound {
    fn count(entry: &'static str, value: f64, minimum: f64, maximum: f64) -> Self {
        Bound {
            entry,
            value,
            minimum,
            maximum,
            is_whole_number: true,
        }
    }

    fn number(entry: &'static str, value: f64, minimum: f64, maximum: f64) -> Self {
        Bound {
            entry,
            value,
            minimum,
            maximum,
            is_whole_number: false,
        }
    }

    /// Describes why the value is not permitted, or returns `None` if it is.
    pub(super) fn problem(&self) -> Option<String> {
        let within = (self.minimum..=self.maximum).contains(&self.value);
        if within && (!self.is_whole_number || self.value.fract() == 0.0) {
            return None;
        }
        let kind = if self.is_whole_number {
            "a whole number"
        } else {
            "a number"
        };
        Some(format!(
            "expected {kind} from {} to {}, got {}",
            self.minimum, self.maximum, self.value
        ))
    }
}

/// Returns the bounds of all numbers of a target, in the order in which they are checked.
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

/// Bounds of the deployment's sizes.
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

/// Bounds of the load and of the configuration changes.
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

/// Bounds of the cost budget of one router.
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

/// Bounds of the fault rates.
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

/// Bounds of the assumptions about load, changes and restarts.
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

/// Bounds of the assumptions about host response times, services and machines.
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

/// Bounds of the settings of the current programs.
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
