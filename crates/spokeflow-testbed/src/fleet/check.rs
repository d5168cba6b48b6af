//! Checks the rules of a run from the frames at the switchboard and the records of hosts and clients. Logs of the
//! processes, and what they report of themselves outside their messages, are not read.

use std::collections::{HashMap, HashSet};

use spokeflow_coordination::Overrides;

use super::clients::{CommandOutcome, CommandRecord, AT_MOST_ONCE_OPERATION, COMMAND_TIMEOUT};
use super::observations::{leader_term, DiskSwap, Observations};
use super::peers::{DeliveryRecord, Recorded, CANARY_BUILD};
use super::report::Report;
use super::switchboard::{Frame, FramePayload, Participant};
use crate::{Micros, SECOND};

/// A time during which a router was killed or paused, including its settling after it.
pub(super) struct RouterAbsence {
    pub(super) router: u32,
    pub(super) from: Micros,
    pub(super) to: Micros,
}

/// What the rig did to the processes and the checker must know.
#[derive(Default)]
pub(super) struct RunLog {
    pub(super) router_absences: Vec<RouterAbsence>,
    pub(super) disk_swaps: Vec<DiskSwap>,
    pub(super) ended_at: Micros,
    /// The faults of the run, one line each with the time at which the fault began.
    pub(super) faults: Vec<String>,
    pub(super) leaders_killed_at: Vec<Micros>,
    /// Failures of the rig, such as a process that did not start.
    pub(super) failures: Vec<String>,
}

/// Returns whether the values of a revision allow no deliveries to the canary build.
pub(super) fn closes_canary(overrides: &Overrides) -> bool {
    overrides
        .get("stage-cap")
        .is_some_and(|caps| caps.split(',').all(|cap| cap.trim() == "0"))
}

/// All records of a run.
pub(super) struct Evidence<'a> {
    pub(super) frames: &'a [Frame],
    pub(super) recorded: &'a Recorded,
    pub(super) log: &'a RunLog,
    pub(super) lease: Micros,
    /// Time that may pass between an event and its record.
    pub(super) slack: Micros,
}

impl Evidence<'_> {
    /// Checks every rule, and measures the durations of the report.
    pub(super) fn check(&self) -> Report {
        let mut report = Report {
            violations: self.log.failures.clone(),
            bound_us: self.lease,
            faults: self.log.faults.len(),
            frames: self.frames.len(),
            refused_disks: self.log.disk_swaps.len(),
            ..Report::default()
        };
        let observed = Observations::read(
            self.frames,
            &self.log.disk_swaps,
            self.lease,
            &mut report.violations,
        );
        self.check_drained_hosts(&observed, &mut report);
        self.check_canary(&observed, &mut report);
        self.check_commands(&mut report);
        self.measure_revisions(&observed, &mut report);
        self.measure_leaders(&mut report);
        report.router_bytes_per_s = self.router_bytes_per_s();
        report.revisions = observed.in_force_at.len();
        report.grants = observed.grants;
        report.leaders = observed.leaders;
        let draining = observed.draining_since.values();
        report.drains = draining.map(|incarnations| incarnations.len()).sum();
        report
    }

    /// Checks that no router with a lease sends to a host for longer than a lease after nodes first listed the host as
    /// not ready.
    fn check_drained_hosts(&self, observed: &Observations, report: &mut Report) {
        for delivery in &self.recorded.deliveries {
            // A router without a lease uses the last list that it received, since it cannot learn of a newer one. A
            // router that has just received a lease again may have sent the delivery before that, hence the slack.
            if delivery.at > observed.lease_end(delivery.router, delivery.at - self.slack) {
                continue;
            }
            let draining = observed.draining_since.get(&delivery.host);
            for (incarnation, since) in draining.into_iter().flatten() {
                if *since > delivery.at || has_returned(observed, delivery, *incarnation) {
                    continue;
                }
                let age = delivery.at - since;
                report.longest_stale_list_us = report.longest_stale_list_us.max(age);
                if age > self.lease + self.slack {
                    report.violations.push(format!(
                        "router {} sent to host {} at {} ms, {} ms after the host was first listed as not ready",
                        delivery.router,
                        delivery.host,
                        delivery.at / 1000,
                        age / 1000
                    ));
                }
            }
        }
    }

    /// Checks that no router sends to the canary build without a lease, nor for longer than a lease after the
    /// announcement of a revision that closes that build.
    fn check_canary(&self, observed: &Observations, report: &mut Report) {
        let deliveries = self.recorded.deliveries.iter();
        for delivery in deliveries.filter(|delivery| delivery.build == CANARY_BUILD) {
            report.canary_deliveries += 1;
            let lease_end = observed.lease_end(delivery.router, delivery.at);
            if delivery.at > lease_end + self.slack {
                report.violations.push(format!(
                    "router {} sent to the canary build at {} ms, its lease had expired at {} ms",
                    delivery.router,
                    delivery.at / 1000,
                    lease_end / 1000
                ));
            }
            self.check_contradiction(observed, delivery, report);
        }
    }

    /// Checks a delivery to the canary build against every announced revision that closes the build, since others may
    /// act on a revision as soon as it is announced. A newer revision supersedes it only once that is in force.
    fn check_contradiction(
        &self,
        observed: &Observations,
        delivery: &DeliveryRecord,
        report: &mut Report,
    ) {
        for (number, announced_at) in &observed.announced_at {
            let announced = *announced_at <= delivery.at;
            if !announced || !closes_canary(&observed.overrides[number]) {
                continue;
            }
            let mut later = observed.in_force_at.range(number + 1..);
            if later.any(|(_, in_force_at)| *in_force_at <= delivery.at) {
                continue;
            }
            let age = delivery.at - announced_at;
            report.longest_contradiction_us = report.longest_contradiction_us.max(age);
            if age > self.lease + self.slack {
                report.violations.push(format!(
                    "router {} sent to the canary build at {} ms, {} ms after revision {number} had closed it",
                    delivery.router,
                    delivery.at / 1000,
                    age / 1000
                ));
            }
        }
    }

    fn check_commands(&self, report: &mut Report) {
        let mut deliveries: HashMap<u64, usize> = HashMap::new();
        for delivery in &self.recorded.deliveries {
            *deliveries.entry(delivery.command).or_default() += 1;
        }
        for (id, command) in &self.recorded.commands {
            report.commands += 1;
            match command.first_outcome() {
                Some(CommandOutcome::Acked) => report.acked += 1,
                Some(CommandOutcome::Nacked) => report.nacked += 1,
                Some(CommandOutcome::Failed) => report.failed += 1,
                None => {}
            }
            self.check_answers(*id, command, report);
            let delivered = deliveries.get(id).copied().unwrap_or(0);
            check_deliveries(*id, command, delivered, report);
        }
    }

    /// Checks that a command has exactly one answer, before its timeout. No answer is needed if the connection ended or
    /// the router was absent.
    fn check_answers(&self, id: u64, command: &CommandRecord, report: &mut Report) {
        let answers = command.answers.len();
        if answers > 1 {
            report.violations.push(format!(
                "rule 1: command {id} had {answers} answers, expected 1"
            ));
        }
        let due_at = command.sent_at + COMMAND_TIMEOUT + self.slack;
        let excused = command.disconnected || self.router_was_absent(command, due_at);
        let due = due_at < self.log.ended_at;
        let first = command.answers.first();
        if !excused && due && first.is_none_or(|answer| answer.at > due_at) {
            report.violations.push(format!(
                "rule 1: command {id} of router {} had no answer by {} ms",
                command.router,
                due_at / 1000
            ));
        }
    }

    fn router_was_absent(&self, command: &CommandRecord, due_at: Micros) -> bool {
        self.log.router_absences.iter().any(|absence| {
            absence.router == command.router
                && absence.from <= due_at
                && absence.to >= command.sent_at
        })
    }

    fn measure_revisions(&self, observed: &Observations, report: &mut Report) {
        let in_force = observed.in_force_at.iter();
        let waits = in_force
            .filter_map(|(number, at)| Some(at - observed.announced_at.get(number)?))
            .collect();
        let waits = SortedDurations::new(waits);
        report.in_force_p50_us = waits.percentile(50);
        report.in_force_p99_us = waits.percentile(99);
        report.in_force_max_us = waits.longest();
    }

    fn measure_leaders(&self, report: &mut Report) {
        let killed = self.log.leaders_killed_at.iter();
        let gaps = killed
            .filter_map(|at| Some(self.next_leader(*at)? - at))
            .collect();
        let gaps = SortedDurations::new(gaps);
        report.leaderless_p50_us = gaps.percentile(50);
        report.leaderless_max_us = gaps.longest();
    }

    /// Returns when a leader first sent a message in a later term than any leader had until `at`; `None` if that never
    /// happened, or no leader had sent before.
    fn next_leader(&self, at: Micros) -> Option<Micros> {
        let before = self.frames.iter().filter(|frame| frame.at <= at);
        let last_term = before.filter_map(frame_leader_term).max()?;
        self.frames
            .iter()
            .filter(|frame| frame.at > at)
            .filter(|frame| frame_leader_term(frame).is_some_and(|term| term > last_term))
            .map(|frame| frame.at)
            .min()
    }

    fn router_bytes_per_s(&self) -> f64 {
        let is_router = |process: &Participant| matches!(process, Participant::Router(_));
        let routers: HashSet<Participant> = self
            .frames
            .iter()
            .flat_map(|frame| [frame.link.from, frame.link.to])
            .filter(is_router)
            .collect();
        let bytes: usize = self
            .frames
            .iter()
            .filter(|frame| is_router(&frame.link.from) || is_router(&frame.link.to))
            .map(|frame| frame.bytes)
            .sum();
        let seconds = self.log.ended_at.max(1) as f64 / SECOND as f64;
        bytes as f64 / routers.len().max(1) as f64 / seconds
    }
}

/// Durations in ascending order.
struct SortedDurations(Vec<Micros>);

impl SortedDurations {
    fn new(mut durations: Vec<Micros>) -> SortedDurations {
        durations.sort_unstable();
        SortedDurations(durations)
    }

    /// Returns a percentile; 0 if there are no durations.
    fn percentile(&self, percent: usize) -> Micros {
        let index = self.0.len() * percent / 100;
        self.0.get(index).copied().unwrap_or(0)
    }

    /// Returns the longest duration; 0 if there are none.
    fn longest(&self) -> Micros {
        self.0.last().copied().unwrap_or(0)
    }
}

fn frame_leader_term(frame: &Frame) -> Option<u64> {
    match &frame.payload {
        FramePayload::ToNode(spokeflow_coordination::wire::ToNode::Raft(message)) => {
            leader_term(message)
        }
        _ => None,
    }
}

/// Returns whether the host of a delivery was listed as ready before the delivery in a later incarnation than the
/// drained one.
fn has_returned(
    observed: &Observations,
    delivery: &DeliveryRecord,
    drained_incarnation: u64,
) -> bool {
    observed
        .ready_since
        .get(&delivery.host)
        .is_some_and(|ready| {
            ready
                .range(drained_incarnation + 1..)
                .any(|(_, since)| *since <= delivery.at)
        })
}

/// Checks that an at-most-once command is delivered no more than once, and never if it is nacked.
fn check_deliveries(id: u64, command: &CommandRecord, delivered: usize, report: &mut Report) {
    if command.operation != AT_MOST_ONCE_OPERATION {
        return;
    }
    if delivered > 1 {
        report.violations.push(format!(
            "rule 2: at-most-once command {id} was delivered {delivered} times"
        ));
    }
    if delivered > 0 && command.first_outcome() == Some(CommandOutcome::Nacked) {
        report.violations.push(format!(
            "rule 2: at-most-once command {id} was delivered and nacked"
        ));
    }
}
