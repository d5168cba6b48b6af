//! The target that the page is computed for, read from a TOML file and checked entry by entry.

use std::path::Path;

use serde::{Deserialize, Serialize};

use super::error::{read_text, CapacityError};

/// Seconds of a day.
pub const DAY: f64 = 86_400.0;

/// Sizes of the deployment.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Fleet {
    pub routers: f64,
    pub hosts: f64,
    pub services: f64,
    pub routes: f64,
    pub tenants: f64,
    pub regions: f64,
    pub zones: f64,
    pub control_machines: f64,
}

/// What is asked of it.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Load {
    pub peak_requests_per_second: f64,
    pub changes_per_day: f64,
    /// Each change is in force at every router within this time.
    pub change_bound_seconds: f64,
}

/// What one router may cost, and what it may add to a request.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Budget {
    /// For 99 of 100 requests.
    pub added_milliseconds: f64,
    /// Share of one core that control may use at a router.
    pub control_core_share: f64,
    pub control_memory_mb: f64,
    pub control_kb_per_second: f64,
}

/// What fails, and how often.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Faults {
    pub machines_failed_per_day: f64,
    pub machines_restarted_per_day: f64,
    pub racks_lost_per_year: f64,
    pub zones_lost_per_year: f64,
    pub region_apart_hours: f64,
}

/// What the target does not say. Each is stated on the page as an assumption.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Assumptions {
    /// Mean requests a second over those at the peak.
    pub mean_share_of_peak: f64,
    pub changes_in_busiest_minute: f64,
    /// Hours of a day in which the machines that are restarted or replaced are done.
    pub restart_hours: f64,
    pub machines_per_rack: f64,
    /// How often a release replaces each host's process.
    pub releases_per_host_per_day: f64,
    pub host_restarts_in_busiest_minute: f64,
    /// Lines of the host list that one planned restart makes: draining, gone, ready.
    pub list_lines_per_restart: f64,
    /// Lines that one failure makes: gone, ready.
    pub list_lines_per_failure: f64,
    /// Time that a host takes for an answer.
    pub answer_milliseconds: f64,
    /// Hosts of the largest service: sizes of services are skewed.
    pub largest_service_hosts: f64,
    /// Cores that a router's one deciding task can use.
    pub router_cores: f64,
    pub control_machine_mb: f64,
    pub control_machine_mb_per_second: f64,
    /// Cores that a voter's one thread can use.
    pub voter_cores: f64,
}

/// Terms that today's programs are started with; the defaults of their flags.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Terms {
    pub voters: f64,
    pub lease_seconds: f64,
    pub silence_seconds: f64,
    pub clock_drift: f64,
    pub callers_at_most: f64,
    /// Part of the hosts in each stage of a release.
    pub stage_shares: Vec<f64>,
    /// Cap on the part of the traffic in each stage.
    pub stage_caps: Vec<f64>,
    pub stage_bake_seconds: f64,
}

/// All that the page is computed from, beside the measured lines.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Target {
    pub name: String,
    pub fleet: Fleet,
    pub load: Load,
    pub budget: Budget,
    pub faults: Faults,
    pub assumptions: Assumptions,
    pub terms: Terms,
}

/// An entry, its value and the least and most that it may be.
struct Bound {
    entry: &'static str,
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

    fn fault(&self) -> Option<String> {
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

impl Target {
    /// Reads and checks a target.
    ///
    /// Errors: the first entry that is missing, unknown, of a wrong type or out of its limits.
    pub fn read(file: &Path) -> Result<Target, CapacityError> {
        let text = read_text(file)?;
        let wrong = |fault: toml::de::Error| CapacityError::new(file, "", fault.message());
        let document = toml::Deserializer::parse(&text).map_err(wrong)?;
        let target: Target = serde_path_to_error::deserialize(document).map_err(|fault| {
            let entry = fault.path().to_string();
            CapacityError::new(file, entry, fault.into_inner().message())
        })?;
        target.check(file)?;
        Ok(target)
    }

    fn check(&self, file: &Path) -> Result<(), CapacityError> {
        let bounds = [
            self.size_bounds(),
            self.assumption_bounds(),
            self.term_bounds(),
        ];
        for bound in bounds.iter().flatten() {
            if let Some(fault) = bound.fault() {
                return Err(CapacityError::new(file, bound.entry, fault));
            }
        }
        self.check_stages(file)?;
        self.check_together(file)
    }

    fn size_bounds(&self) -> Vec<Bound> {
        let (fleet, load) = (&self.fleet, &self.load);
        let (budget, faults) = (&self.budget, &self.faults);
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

    fn assumption_bounds(&self) -> Vec<Bound> {
        let a = &self.assumptions;
        vec![
            Bound::number(
                "assumptions.mean_share_of_peak",
                a.mean_share_of_peak,
                0.01,
                1.0,
            ),
            Bound::number(
                "assumptions.changes_in_busiest_minute",
                a.changes_in_busiest_minute,
                0.0,
                1e4,
            ),
            Bound::number("assumptions.restart_hours", a.restart_hours, 0.1, 24.0),
            Bound::count(
                "assumptions.machines_per_rack",
                a.machines_per_rack,
                1.0,
                1000.0,
            ),
            Bound::number(
                "assumptions.releases_per_host_per_day",
                a.releases_per_host_per_day,
                0.0,
                100.0,
            ),
            Bound::number(
                "assumptions.host_restarts_in_busiest_minute",
                a.host_restarts_in_busiest_minute,
                0.0,
                1e6,
            ),
            Bound::number(
                "assumptions.list_lines_per_restart",
                a.list_lines_per_restart,
                1.0,
                10.0,
            ),
            Bound::number(
                "assumptions.list_lines_per_failure",
                a.list_lines_per_failure,
                1.0,
                10.0,
            ),
            Bound::number(
                "assumptions.answer_milliseconds",
                a.answer_milliseconds,
                0.1,
                1e5,
            ),
            Bound::count(
                "assumptions.largest_service_hosts",
                a.largest_service_hosts,
                1.0,
                1e6,
            ),
            Bound::number("assumptions.router_cores", a.router_cores, 0.1, 1000.0),
            Bound::number(
                "assumptions.control_machine_mb",
                a.control_machine_mb,
                64.0,
                1e8,
            ),
            Bound::number(
                "assumptions.control_machine_mb_per_second",
                a.control_machine_mb_per_second,
                0.1,
                1e5,
            ),
            Bound::number("assumptions.voter_cores", a.voter_cores, 0.1, 1000.0),
        ]
    }

    fn term_bounds(&self) -> Vec<Bound> {
        let terms = &self.terms;
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

    fn check_stages(&self, file: &Path) -> Result<(), CapacityError> {
        let (shares, caps) = (&self.terms.stage_shares, &self.terms.stage_caps);
        for (entry, values) in [("terms.stage_shares", shares), ("terms.stage_caps", caps)] {
            let valid = |value: &f64| value.is_finite() && *value > 0.0 && *value <= 1.0;
            if values.is_empty() || !values.iter().all(valid) || !values.is_sorted() {
                let wanted =
                    "at least one number, each above 0 and at most 1, none below the one before";
                return Err(CapacityError::new(file, entry, wanted));
            }
        }
        if shares.len() != caps.len() {
            let wanted = format!(
                "{} caps found, one for each of {} stages wanted",
                caps.len(),
                shares.len()
            );
            return Err(CapacityError::new(file, "terms.stage_caps", wanted));
        }
        Ok(())
    }

    fn check_together(&self, file: &Path) -> Result<(), CapacityError> {
        let fault = |entry: &str, wanted: String| Err(CapacityError::new(file, entry, wanted));
        let (fleet, largest) = (&self.fleet, self.assumptions.largest_service_hosts);
        if self.terms.voters % 2.0 == 0.0 {
            return fault(
                "terms.voters",
                format!("{} found, 3, 5 or 7 wanted", self.terms.voters),
            );
        }
        if self.terms.voters > fleet.control_machines {
            return fault(
                "terms.voters",
                format!("more than the {} control machines", fleet.control_machines),
            );
        }
        if fleet.zones < fleet.regions {
            return fault(
                "fleet.zones",
                format!("at least one in each of {} regions wanted", fleet.regions),
            );
        }
        if fleet.services > fleet.hosts {
            return fault(
                "fleet.services",
                format!("at most one for each of {} hosts wanted", fleet.hosts),
            );
        }
        if largest > fleet.hosts {
            let wanted = format!("at most all {} hosts wanted", fleet.hosts);
            return fault("assumptions.largest_service_hosts", wanted);
        }
        Ok(())
    }

    /// Requests a second at one router, where all carry alike.
    pub fn requests_per_router(&self, fleet_requests: f64) -> f64 {
        fleet_requests / self.fleet.routers
    }

    /// Requests a second of the whole fleet in the mean.
    pub fn mean_requests(&self) -> f64 {
        self.load.peak_requests_per_second * self.assumptions.mean_share_of_peak
    }

    /// Machines of routers, hosts and control together.
    pub fn machines(&self) -> f64 {
        self.fleet.routers + self.fleet.hosts + self.fleet.control_machines
    }
}
