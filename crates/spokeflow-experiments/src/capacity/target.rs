//! The target that the page is computed for, read from a TOML file and checked entry by entry.

use std::path::Path;

use serde::{Deserialize, Serialize};

use super::bounds::bounds;
use super::error::{read_text, CapacityError};

/// Seconds of a day.
pub(super) const DAY: f64 = 86_400.0;

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
    #[serde(rename = "stage_shares")]
    pub stage_fractions: Vec<f64>,
    /// Cap on the part of the traffic in each stage.
    pub stage_caps: Vec<f64>,
    pub stage_bake_seconds: f64,
}

/// All that the page is computed from, beside the measured lines.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Target {
    /// As the page names it.
    pub name: String,
    /// Sizes of the deployment.
    pub fleet: Fleet,
    /// What is asked of it.
    pub load: Load,
    /// What one router may cost.
    pub budget: Budget,
    /// What fails, and how often.
    pub faults: Faults,
    /// What the target does not say.
    pub assumptions: Assumptions,
    /// Flags of today's programs.
    pub terms: Terms,
}

impl Target {
    /// Reads and checks a target.
    ///
    /// # Errors
    /// The first entry that is missing, unknown, of a wrong type or out of its limits.
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
        for bound in bounds(self) {
            if let Some(problem) = bound.problem() {
                return Err(CapacityError::new(file, bound.entry, problem));
            }
        }
        self.check_stages(file)?;
        self.check_together(file)
    }

    fn check_stages(&self, file: &Path) -> Result<(), CapacityError> {
        let fractions = &self.terms.stage_fractions;
        let caps = &self.terms.stage_caps;
        for (entry, values) in [
            ("terms.stage_shares", fractions),
            ("terms.stage_caps", caps),
        ] {
            let valid = |value: &f64| value.is_finite() && *value > 0.0 && *value <= 1.0;
            if values.is_empty() || !values.iter().all(valid) || !values.is_sorted() {
                let expected =
                    "at least one number, each above 0 and at most 1, none below the one before";
                return Err(CapacityError::new(file, entry, expected));
            }
        }
        if fractions.len() != caps.len() {
            let expected = format!(
                "{} caps found, one for each of {} stages wanted",
                caps.len(),
                fractions.len()
            );
            return Err(CapacityError::new(file, "terms.stage_caps", expected));
        }
        Ok(())
    }

    fn check_together(&self, file: &Path) -> Result<(), CapacityError> {
        let fault = |entry: &str, expected: String| Err(CapacityError::new(file, entry, expected));
        let fleet = &self.fleet;
        let largest = self.assumptions.largest_service_hosts;
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
            let expected = format!("at most all {} hosts wanted", fleet.hosts);
            return fault("assumptions.largest_service_hosts", expected);
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
