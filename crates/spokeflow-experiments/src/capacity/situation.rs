//! The situations that the page looks at, and what each asks of the deployment.

use std::fmt;

use serde::Serialize;

use super::target::{Target, DAY};

const HOUR: f64 = 3600.0;
const MINUTE: f64 = 60.0;

/// An ordinary time, or one of the target's faults.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "kebab-case")]
pub(super) enum Situation {
    /// The mean of a day.
    Mean,
    /// The busiest minute.
    Peak,
    /// The hours in which the day's machines are restarted or replaced.
    Restarts,
    /// A rack or its switch is lost and comes back.
    Rack,
    /// A zone is lost and comes back.
    Zone,
    /// A region that was apart from the others is back.
    Region,
    /// All power was lost: everything starts at once.
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

/// What happens within one window, which is as long as a change may take to be in force.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct WindowLoad {
    pub situation: Situation,
    /// Requests a second of the whole fleet.
    pub requests_per_second: f64,
    /// Part of the routers that carry them.
    pub routers_up: f64,
    pub changes: f64,
    /// Lines of the host list that change.
    pub host_lines: f64,
    /// Routers that start and need everything.
    pub starting_routers: f64,
    /// Routers that come back and need what they missed.
    pub rejoining_routers: f64,
    pub missed_changes: f64,
    pub missed_host_lines: f64,
}

impl WindowLoad {
    /// What this situation asks for at this target.
    pub(super) fn of(target: &Target, situation: Situation) -> WindowLoad {
        let day = Day::of(target);
        let mean = day.mean(target);
        let fleet = &target.fleet;
        let faults = &target.faults;
        match situation {
            Situation::Mean => mean,
            Situation::Peak => day.peak(target),
            Situation::Restarts => day.restarts(target),
            Situation::Rack => {
                let machines = target.assumptions.machines_per_rack;
                let lost = machines / target.machines();
                let host_lines = mean.host_lines
                    + lost * fleet.hosts * target.assumptions.list_lines_per_failure;
                let starting_routers = mean.starting_routers + (lost * fleet.routers).ceil();
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
                let windows = faults.region_apart_hours * HOUR / target.load.change_bound_seconds;
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

/// What a day brings, by the second.
struct Day {
    window: f64,
    host_lines_by_failures: f64,
    host_lines_by_restarts: f64,
    host_lines_by_releases: f64,
    routers_failed: f64,
    routers_restarted: f64,
}

impl Day {
    fn of(target: &Target) -> Day {
        let fleet = &target.fleet;
        let faults = &target.faults;
        let assumed = &target.assumptions;
        let hosts = fleet.hosts / target.machines();
        let routers = fleet.routers / target.machines();
        let failed = faults.machines_failed_per_day / DAY;
        let restarted = faults.machines_restarted_per_day / DAY;
        let released = fleet.hosts * assumed.releases_per_host_per_day / DAY;
        Day {
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
            changes: target.load.changes_per_day / DAY * self.window,
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
            changes: assumed.changes_in_busiest_minute / MINUTE * self.window,
            host_lines: restarts / MINUTE * self.window,
            ..self.mean(target)
        }
    }

    /// The day's restarts fall into a few hours.
    fn restarts(&self, target: &Target) -> WindowLoad {
        let denser = DAY / (target.assumptions.restart_hours * HOUR);
        let lines = self.host_lines_by_failures + self.host_lines_by_releases;
        WindowLoad {
            situation: Situation::Restarts,
            host_lines: (lines + self.host_lines_by_restarts * denser) * self.window,
            starting_routers: (self.routers_failed + self.routers_restarted * denser) * self.window,
            ..self.mean(target)
        }
    }
}
