//! The target deployment that the page is computed for, read from a TOML file and checked entry by entry.

use std::path::Path;

use serde::{Deserialize, Serialize};

use super::bounds::bounds;
use super::error::{read_text, CapacityError};

pub(super) const SECONDS_PER_DAY: f64 = 86_400.0;

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

/// Load and configuration changes that the deployment must handle.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Load {
    pub peak_requests_per_second: f64,
    pub changes_per_day: f64,
    /// Time within which each change must be in force at every router.
    pub change_bound_seconds: f64,
}

/// Permitted cost of one router, and the time that it may add to a request.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Budget {
    /// Time that a router may add to a request at the 99th percentile.
    pub added_milliseconds: f64,
    /// Fraction of one core that the control side of a router may use.
    pub control_core_share: f64,
    /// Memory that the control side of a router may use.
    pub control_memory_mb: f64,
    /// Bytes per second that the control side of a router may send and receive.
    pub control_kb_per_second: f64,
}

/// Faults and their frequency.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Faults {
    pub machines_failed_per_day: f64,
    pub machines_restarted_per_day: f64,
    pub racks_lost_per_year: f64,
    pub zones_lost_per_year: f64,
    /// Hours for which a region is disconnected from the others.
    pub region_apart_hours: f64,
}

/// Values that the target does not state. The page lists each of them as an assumption.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Assumptions {
    /// Ratio of the mean to the peak requests per second.
    pub mean_share_of_peak: f64,
    pub changes_in_busiest_minute: f64,
    /// Hours of a day over which the restarts and replacements of machines are spread.
    pub restart_hours: f64,
    pub machines_per_rack: f64,
    /// Releases per day that replace the process of each host.
    pub releases_per_host_per_day: f64,
    pub host_restarts_in_busiest_minute: f64,
    /// Lines of the host list that change for one planned restart: draining, gone, ready.
    pub list_lines_per_restart: f64,
    /// Lines of the host list that change for one failure: gone, ready.
    pub list_lines_per_failure: f64,
    /// Response time of a host.
    pub answer_milliseconds: f64,
    /// Hosts of the largest service; stated separately because the sizes of services are skewed.
    pub largest_service_hosts: f64,
    /// Cores that the single decision task of a router can use.
    pub router_cores: f64,
    /// Memory of a control machine.
    pub control_machine_mb: f64,
    /// Network throughput of a control machine.
    pub control_machine_mb_per_second: f64,
    /// Cores that the single thread of a voter can use.
    pub voter_cores: f64,
}

/// Settings of the current programs. A test compares them with the defaults of the flags.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Terms {
    pub voters: f64,
    pub lease_seconds: f64,
    /// Time without a message from the leader after which a voter starts an election.
    pub silence_seconds: f64,
    pub clock_drift: f64,
    /// Largest number of connections that a voter accepts.
    pub callers_at_most: f64,
    /// Fraction of the hosts in each stage of a release.
    #[serde(rename = "stage_shares")]
    pub stage_fractions: Vec<f64>,
    /// Exposure cap of each stage: largest fraction of the traffic for the canary build.
    pub stage_caps: Vec<f64>,
    pub stage_bake_seconds: f64,
}

/// All inputs of the page except the measured lines.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Target {
    /// Name of the target on the page.
    pub name: String,
    /// Sizes of the deployment.
    pub fleet: Fleet,
    /// Load and configuration changes that the deployment must handle.
    pub load: Load,
    /// Permitted cost of one router.
    pub budget: Budget,
    /// Faults and their frequency.
    pub faults: Faults,
    /// Values that the target does not state.
    pub assumptions: Assumptions,
    /// Settings of the current programs.
    pub terms: Terms,
}

impl Target {
    /// Reads and checks a target.
    ///
    /// # Errors
    /// Returns an error if the file cannot be read, or names the first entry that is missing, unknown, of a wrong type
    /// or out of range.
    pub fn read(file: &Path) -> Result<Target, CapacityError> {
        let text = read_text(file)?;
        let to_error = |error: toml::de::Error| CapacityError::new(file, "", error.message());
        let document = toml::Deserializer::parse(&text).map_err(to_error)?;
        let target: Target = serde_path_to_error::deserialize(document).map_err(|error| {
            let entry = error.path().to_string();
            CapacityError::new(file, entry, error.into_inner().message())
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
        self.check_consistency(file)
    }

    fn check_stages(&self, file: &Path) -> Result<(), CapacityError> {
        let fractions = &self.terms.stage_fractions;
        let caps = &self.terms.stage_caps;
        for (entry, values) in [
            ("terms.stage_shares", fractions),
            ("terms.stage_caps", caps),
        ] {
            let is_valid = |value: &f64| value.is_finite() && *value > 0.0 && *value <= 1.0;
            if values.is_empty() || !values.iter().all(is_valid) || !values.is_sorted() {
                let problem = format!("expected at least one number, each above 0 and at most 1, none below the one before, got {values:?}");
                return Err(CapacityError::new(file, entry, problem));
            }
        }
        if fractions.len() != caps.len() {
            let problem = format!(
                "expected one for each of {} stages, got {} caps",
                fractions.len(),
                caps.len()
            );
            return Err(CapacityError::new(file, "terms.stage_caps", problem));
        }
        Ok(())
    }

    fn check_consistency(&self, file: &Path) -> Result<(), CapacityError> {
        let invalid = |entry: &str, problem: String| Err(CapacityError::new(file, entry, problem));
        let fleet = &self.fleet;
        let largest = self.assumptions.largest_service_hosts;
        if self.terms.voters % 2.0 == 0.0 {
            return invalid(
                "terms.voters",
                format!("expected 3, 5 or 7, got {}", self.terms.voters),
            );
        }
        if self.terms.voters > fleet.control_machines {
            return invalid(
                "terms.voters",
                format!(
                    "expected at most the {} control machines, got {}",
                    fleet.control_machines, self.terms.voters
                ),
            );
        }
        if fleet.zones < fleet.regions {
            return invalid(
                "fleet.zones",
                format!(
                    "expected at least one in each of {} regions, got {}",
                    fleet.regions, fleet.zones
                ),
            );
        }
        if fleet.services > fleet.hosts {
            return invalid(
                "fleet.services",
                format!(
                    "expected at most one for each of {} hosts, got {}",
                    fleet.hosts, fleet.services
                ),
            );
        }
        if largest > fleet.hosts {
            let problem = format!("expected at most all {} hosts, got {largest}", fleet.hosts);
            return invalid("assumptions.largest_service_hosts", problem);
        }
        Ok(())
    }

    /// Returns the requests per second at one router if all routers carry the same load.
    pub fn requests_per_router(&self, fleet_requests: f64) -> f64 {
        fleet_requests / self.fleet.routers
    }

    /// Returns the mean requests per second of the whole fleet.
    pub fn mean_requests(&self) -> f64 {
        self.load.peak_requests_per_second * self.assumptions.mean_share_of_peak
    }

    /// Returns the number of machines of routers, hosts and the control plane together.
    pub fn machines(&self) -> f64 {
        self.fleet.routers + self.fleet.hosts + self.fleet.control_machines
    }
}
