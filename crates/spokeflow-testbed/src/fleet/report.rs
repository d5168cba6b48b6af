//! The outcome of a run of the fleet rig. The names of the fields in JSON are read by scripts and do not change.

use serde::Serialize;

use crate::Micros;

/// Violations that the text names; the rest is counted.
const VIOLATIONS_IN_TEXT: usize = 20;

/// What a run did, how long the bounded things took, and what was violated. Times are in microseconds.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Report {
    /// Every violation of a rule, one line each.
    #[serde(rename = "broken")]
    pub violations: Vec<String>,
    /// Faults injected.
    pub faults: usize,
    /// Frames that reached the switchboard.
    pub frames: usize,
    /// Revisions that came into force.
    pub revisions: usize,
    /// Terms with a leader.
    pub leaders: usize,
    /// Commands sent by clients.
    pub commands: usize,
    /// Commands whose first answer was an ack.
    pub acked: usize,
    /// Commands whose first answer was a nack.
    pub nacked: usize,
    /// Commands whose first answer was a failure.
    pub failed: usize,
    /// Deliveries to the canary build.
    #[serde(rename = "trial_deliveries")]
    pub canary_deliveries: usize,
    /// Lease grants.
    pub grants: usize,
    /// Times that a node ran on a disk other than its own.
    pub refused_disks: usize,
    /// Longest time for which a router acted against a revision that another may have acted on.
    pub longest_contradiction_us: Micros,
    /// Longest time for which a router sent to a host after another was told that it drains.
    pub longest_stale_list_us: Micros,
    /// Drains that nodes announced.
    pub drains: usize,
    /// The bound of both longest times: the lease.
    pub bound_us: Micros,
    /// By how much the rig itself was late at most.
    pub lag_us: Micros,
    /// From the announcement of a revision to its coming into force: the median.
    pub in_force_p50_us: Micros,
    /// The same: the 99th percentile.
    pub in_force_p99_us: Micros,
    /// The same: the longest.
    pub in_force_max_us: Micros,
    /// From the kill of a leader to the first message of the next one: the median.
    pub leaderless_p50_us: Micros,
    /// The same: the longest.
    pub leaderless_max_us: Micros,
    /// Bytes a second between a router and the nodes, both ways, in the mean over routers.
    pub router_bytes_per_s: f64,
}

impl Report {
    /// Whether no rule was violated.
    pub fn sound(&self) -> bool {
        self.violations.is_empty()
    }

    /// The report for people.
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
            "longest contradiction {} ms, and with a drained host {} ms ({} drains), of {} ms; announced to in force {} ms (median), {} ms (longest); own lag {} ms",
            self.longest_contradiction_us / 1000,
            self.longest_stale_list_us / 1000,
            self.drains,
            self.bound_us / 1000,
            self.in_force_p50_us / 1000,
            self.in_force_max_us / 1000,
            self.lag_us / 1000
        ));
        lines.push(match self.sound() {
            true => "kept".into(),
            false => format!("{} BROKEN", self.violations.len()),
        });
        lines.join("\n")
    }
}
