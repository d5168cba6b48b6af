//! The situations that the page considers, and the load that each puts on the deployment.

use std::fmt;

use serde::Serialize;

use super::target::{Target, SECONDS_PER_DAY};

const SECONDS_PER_HOUR: f64 = 3600.0;
const SECONDS_PER_MINUTE: f64 = 60.0;

/// A state of the deployment: normal operation, or one of the target's faults.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "kebab-case")]
pub(super) enum Situation {
    /// The mean load of a day.
    Mean,
    /// The busiest minute of a day.
    Peak,
    /// The hours of a day in which machines are restarted or replaced.
    Restarts,
    /// A rack or its switch fails and returns.
    Rack,
    /// A zone fails and returns.
    Zone,
    /// A region that was disconnected from the others is connected again.
    Region,
    /// All power was lost and every process starts at the same time.
    PowerLoss,
}

impl Situation {
    pub(super) const ALL: [Situation; 7] = [
        Situation::Mean,
        Situation::Peak,
        Situation::Restarts,
        Situation::Rack,
        Situation::Zone,
        Situation::Region,
        Situation::PowerLoss,
    ];
}

impl fmt::Display for Situation {
    fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        formatter.write_str(match self {
            Situation::Mean => "mean",
            Situation::Peak => "peak",
            Situation::Restarts => "daily restarts",
            Situation::Rack => "rack lost",
            Situation::Zone => "zone lost",
            Situation::Region => "region apart",
            Situation::PowerLoss => "power loss",
        })
    }
}

/// The load within one time window. The window is as long as a change may take to be in force.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct WindowLoad {
    pub situation: Situation,
    /// Requests per second of the whole fleet.
    pub requests_per_second: f64,
    /// Fraction of the routers that carry the requests.
    pub routers_up: f64,
    /// Configuration changes.
    pub changes: f64,
    /// Lines of the host list that change.
    pub host_lines: f64,
    /// Routers that start and need the whole host list and the newest revision.
    pub starting_routers: f64,
    /// Routers that are connected again and need the changes that they missed.
    pub rejoining_routers: f64,
    /// Configuration changes that a rejoining router missed.
    pub missed_changes: f64,
    /// Changed lines of the host list that a rejoining router missed.
    pub missed_host_lines: f64,
}

impl WindowLoad {
    /// Returns the load of this situation at this target.
    pub(super) fn for_situation(target: &Target, situation: Situation) -> WindowLoad {
        let rates = DailyRates::from_target(target);
        let mean = rates.mean(target);
        let fleet = &target.fleet;
        let faults = &target.faults;
        match situation {
            Situation::Mean => mean,
            Situation::Peak => rates.peak(target),
            Situation::Restarts => rates.restarts(target),
            Situation::Rack => {
                let machines = target.assumptions.machines_per_rack;
                let lost_fraction = machines / target.machines();
                let host_lines = mean.host_lines
                    + lost_fraction * fleet.hosts * target.assumptions.list_lines_per_failure;
                let starting_routers =
                    mean.starting_routers + (lost_fraction * fleet.routers).ceil();
                WindowLoad {
                    situation,
                    host_lines,
                    starting_routers,
                    ..mean
                }
            }
            Situation::Zone => {
                let host_lines = mean.host_lines + fleet.hosts / fleet.zones;
                let starting_routers = mean.starting_routers + fleet.routers / fleet.zones;
                let routers_up = 1.0 - 1.0 / fleet.zones;
                WindowLoad {
                    situation,
                    host_lines,
                    starting_routers,
                    routers_up,
                    ..mean
                }
            }
            Situation::Region => {
                let windows =
                    faults.region_apart_hours * SECONDS_PER_HOUR / target.load.change_bound_seconds;
                WindowLoad {
                    situation,
                    routers_up: 1.0 - 1.0 / fleet.regions.max(2.0),
                    rejoining_routers: fleet.routers / fleet.regions,
                    missed_changes: mean.changes * windows,
                    missed_host_lines: mean.host_lines * windows,
                    ..mean
                }
            }
            Situation::PowerLoss => {
                let host_lines = fleet.hosts;
                let starting_routers = fleet.routers;
                WindowLoad {
                    situation,
                    host_lines,
                    starting_routers,
                    ..mean
                }
            }
        }
    }
}

/// Mean rates of a day, per second.
struct DailyRates {
    /// Length of the window, in seconds.
    window: f64,
    /// Lines of the host list that change because of failures.
    host_lines_by_failures: f64,
    host_lines_by_restarts: f64,
    host_lines_by_releases: f64,
    routers_failed: f64,
    routers_restarted: f64,
}

impl DailyRates {
    fn from_target(target: &Target) -> DailyRates {
        let fleet = &target.fleet;
        let faults = &target.faults;
        let assumed = &target.assumptions;
        let hosts = fleet.hosts / target.machines();
        let routers = fleet.routers / target.machines();
        let failed = faults.machines_failed_per_day / SECONDS_PER_DAY;
        let restarted = faults.machines_restarted_per_day / SECONDS_PER_DAY;
        let released = fleet.hosts * assumed.releases_per_host_per_day / SECONDS_PER_DAY;
        DailyRates {
            window: target.load.change_bound_seconds,
            host_lines_by_failures: hosts * failed * assumed.list_lines_per_failure,
            host_lines_by_restarts: hosts * restarted * assumed.list_lines_per_restart,
            host_lines_by_releases: released * assumed.list_lines_per_restart,
            routers_failed: routers * failed,
            routers_restarted: routers * restarted,
        }
    }

    fn mean(&self, target: &Target) -> WindowLoad {
        let lines =
            self.host_lines_by_failures + self.host_lines_by_restarts + self.host_lines_by_releases;
        WindowLoad {
            situation: Situation::Mean,
            requests_per_second: target.mean_requests(),
            routers_up: 1.0,
            changes: target.load.changes_per_day / SECONDS_PER_DAY * self.window,
            host_lines: lines * self.window,
            starting_routers: (self.routers_failed + self.routers_restarted) * self.window,
            rejoining_routers: 0.0,
            missed_changes: 0.0,
            missed_host_lines: 0.0,
        }
    }

    fn peak(&self, target: &Target) -> WindowLoad {
        let assumed = &target.assumptions;
        let restarts = assumed.host_restarts_in_busiest_minute * assumed.list_lines_per_restart;
        WindowLoad {
            situation: Situation::Peak,
            requests_per_second: target.load.peak_requests_per_second,
            changes: assumed.changes_in_busiest_minute / SECONDS_PER_MINUTE * self.window,
            host_lines: restarts / SECONDS_PER_MINUTE * self.window,
            ..self.mean(target)
        }
    }

    /// Returns the load of the hours in which all restarts of the day take place.
    fn restarts(&self, target: &Target) -> WindowLoad {
        let concentration = SECONDS_PER_DAY / (target.assumptions.restart_hours * SECONDS_PER_HOUR);
        let lines = self.host_lines_by_failures + self.host_lines_by_releases;
        WindowLoad {
            situation: Situation::Restarts,
            host_lines: (lines + self.host_lines_by_restarts * concentration) * self.window,
            starting_routers: (self.routers_failed + self.routers_restarted * concentration)
                * self.window,
            ..self.mean(target)
        }
    }
}
