//! The outcome of a run of the fleet rig. Scripts read the JSON form, so its field names must not change.

use serde::Serialize;

use crate::Micros;

/// Greatest number of violations that the text lists; the others are only counted.
const VIOLATIONS_IN_TEXT: usize = 20;

/// Counts, durations and rule violations of a run. Durations are in microseconds, and 0 where nothing was measured.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Report {
    /// Violations of rules and failures of the rig, one line each.
    #[serde(rename = "broken")]
    pub violations: Vec<String>,
    /// Faults injected.
    pub faults: usize,
    /// Frames that the switchboard recorded.
    pub frames: usize,
    /// Revisions that came into force.
    pub revisions: usize,
    /// Terms in which a leader sent messages.
    pub leaders: usize,
    /// Commands sent by clients.
    pub commands: usize,
    /// Commands whose first answer was an ack.
    pub acked: usize,
    /// Commands whose first answer was a nack.
    pub nacked: usize,
    /// Commands whose first answer said that they failed.
    pub failed: usize,
    /// Deliveries to the canary build.
    #[serde(rename = "trial_deliveries")]
    pub canary_deliveries: usize,
    /// Leases that nodes granted.
    pub grants: usize,
    /// How often a node was started on a swapped disk: a stale, truncated or empty store in place of its own.
    pub refused_disks: usize,
    /// Longest time between the announcement of a revision that closes the canary build and a later delivery to that
    /// build, as long as no newer revision was in force.
    pub longest_contradiction_us: Micros,
    /// Longest time between the first listing of a host as not ready and a later delivery to it, before it was listed
    /// as ready again.
    pub longest_stale_list_us: Micros,
    /// Incarnations of hosts that nodes listed as not ready.
    pub drains: usize,
    /// Bound of `longest_contradiction_us` and `longest_stale_list_us`: the lease.
    pub bound_us: Micros,
    /// Longest delay of the rig's own tasks.
    pub lag_us: Micros,
    /// Time from the announcement of a revision until it is in force: the median.
    pub in_force_p50_us: Micros,
    /// Time from the announcement of a revision until it is in force: the 99th percentile.
    pub in_force_p99_us: Micros,
    /// Time from the announcement of a revision until it is in force: the maximum.
    pub in_force_max_us: Micros,
    /// Time from the kill of a leader to the first message of the next leader: the median.
    pub leaderless_p50_us: Micros,
    /// Time from the kill of a leader to the first message of the next leader: the maximum.
    pub leaderless_max_us: Micros,
    /// Bytes per second between a router and the nodes in both directions, as the mean over all routers.
    pub router_bytes_per_s: f64,
}

impl Report {
    /// Returns whether the run showed no violation.
    pub fn passed(&self) -> bool {
        self.violations.is_empty()
    }

    /// Formats the report as text.
    pub fn text(&self) -> String {
        let violations = self.violations.iter().take(VIOLATIONS_IN_TEXT);
        let mut lines: Vec<String> = violations.map(|line| format!("BROKEN {line}")).collect();
        lines.push(format!(
            "{} faults, {} frames, {} leaders, {} revisions, {} grants, {} disks refused",
            self.faults, self.frames, self.leaders, self.revisions, self.grants, self.refused_disks
        ));
        lines.push(format!(
            "{} commands: {} acked, {} nacked, {} failed; {} deliveries to the canary build",
            self.commands, self.acked, self.nacked, self.failed, self.canary_deliveries
        ));
        lines.push(format!(
            "longest contradiction {} ms, longest use of a drained host {} ms ({} drains), bound {} ms; announced to in force {} ms (median), {} ms (longest); own lag {} ms",
            self.longest_contradiction_us / 1000,
            self.longest_stale_list_us / 1000,
            self.drains,
            self.bound_us / 1000,
            self.in_force_p50_us / 1000,
            self.in_force_max_us / 1000,
            self.lag_us / 1000
        ));
        lines.push(match self.passed() {
            true => "kept".into(),
            false => format!("{} BROKEN", self.violations.len()),
        });
        lines.join("\n")
    }
}
