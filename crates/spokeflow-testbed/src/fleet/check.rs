//! What must hold, from what crossed the switchboard, the hosts and the clients. Nothing that a process logs or reports
//! of itself beside its messages is read.

use std::collections::{HashMap, HashSet};

use spokeflow_coordination::Overrides;

use super::clients::{CommandOutcome, CommandRecord, AT_MOST_ONCE_OPERATION, COMMAND_TIMEOUT};
use super::observations::{leader_term, DiskSwap, Observations};
use super::peers::{DeliveryRecord, Recorded, CANARY_BUILD};
use super::report::Report;
use super::switchboard::{Frame, FramePayload, Participant};
use crate::{Micros, SECOND};

/// A router that was killed or paused.
pub(super) struct RouterAbsence {
    pub(super) router: u32,
    pub(super) from: Micros,
    pub(super) to: Micros,
}

/// What the rig did to the processes, as far as the checker must know it.
#[derive(Default)]
pub(super) struct RunLog {
    pub(super) router_absences: Vec<RouterAbsence>,
    pub(super) disk_swaps: Vec<DiskSwap>,
    pub(super) ended_at: Micros,
    /// Each fault with the time at which it began.
    pub(super) faults: Vec<String>,
    pub(super) leaders_killed_at: Vec<Micros>,
    /// What went against the rig's own expectations, such as a process that did not start.
    pub(super) failures: Vec<String>,
}

/// Whether a revision lets nothing go to the canary build.
pub(super) fn closes_canary(overrides: &Overrides) -> bool {
    overrides
        .get("stage-cap")
        .is_some_and(|caps| caps.split(',').all(|cap| cap.trim() == "0"))
}

/// All that is known of a run.
pub(super) struct Evidence<'a> {
    pub(super) frames: &'a [Frame],
    pub(super) recorded: &'a Recorded,
    pub(super) log: &'a RunLog,
    pub(super) lease: Micros,
    /// What may pass between an act and its being recorded.
    pub(super) slack: Micros,
}

impl Evidence<'_> {
    /// Checks every rule and measures the bounded times.
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

    /// No router sends to a host for longer than a lease after another was told that it drains.
    fn check_drained_hosts(&self, observed: &Observations, report: &mut Report) {
        for delivery in &self.recorded.deliveries {
            // Without a lease a router goes by the last list that it received: it cannot know of a later one. One that
            // has just got a lease again may have sent this before.
            if delivery.at > observed.lease_end(delivery.router, delivery.at - self.slack) {
                continue;
            }
            let draining = observed.draining_since.get(&delivery.host);
            for (incarnation, since) in draining.into_iter().flatten() {
                if *since > delivery.at || is_back(observed, delivery, *incarnation) {
                    continue;
                }
                let age = delivery.at - since;
                report.longest_stale_list_us = report.longest_stale_list_us.max(age);
                if age > self.lease + self.slack {
                    report.violations.push(format!(
                        "router {} sent to host {} at {} ms, {} ms after it was told to drain",
                        delivery.router,
                        delivery.host,
                        delivery.at / 1000,
                        age / 1000
                    ));
                }
            }
        }
    }

    /// No router sends to the canary build without a lease, nor for longer than a lease against a revision.
    fn check_canary(&self, observed: &Observations, report: &mut Report) {
        let deliveries = self.recorded.deliveries.iter();
        for delivery in deliveries.filter(|delivery| delivery.build == CANARY_BUILD) {
            report.canary_deliveries += 1;
            let lease_end = observed.lease_end(delivery.router, delivery.at);
            if delivery.at > lease_end + self.slack {
                report.violations.push(format!(
                    "router {} sent to the canary build at {} ms, its lease was over at {} ms",
                    delivery.router,
                    delivery.at / 1000,
                    lease_end / 1000
                ));
            }
            self.check_contradiction(observed, delivery, report);
        }
    }

    /// Compares a delivery with every revision that somebody may have acted on by then; a later one that opens the
    /// canary build counts only once it is in force.
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

    /// A command has one answer, in time.
    fn check_answers(&self, id: u64, command: &CommandRecord, report: &mut Report) {
        let answers = command.answers.len();
        if answers > 1 {
            report
                .violations
                .push(format!("rule 1: command {id} had {answers} answers"));
        }
        let due_at = command.sent_at + COMMAND_TIMEOUT + self.slack;
        let excused = command.disconnected || self.router_was_absent(command, due_at);
        let due = due_at < self.log.ended_at;
        let first = command.answers.first();
        if !excused && due && first.is_none_or(|answer| answer.at > due_at) {
            report.violations.push(format!(
                "rule 1: command {id} of router {} had no answer in time",
                command.router
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
        let waits = Sorted::new(waits);
        report.in_force_p50_us = waits.percentile(50);
        report.in_force_p99_us = waits.percentile(99);
        report.in_force_max_us = waits.longest();
    }

    fn measure_leaders(&self, report: &mut Report) {
        let killed = self.log.leaders_killed_at.iter();
        let gaps = killed
            .filter_map(|at| Some(self.next_leader(*at)? - at))
            .collect();
        let gaps = Sorted::new(gaps);
        report.leaderless_p50_us = gaps.percentile(50);
        report.leaderless_max_us = gaps.longest();
    }

    /// When the first leader sent whose term is later than any before an instant.
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
struct Sorted(Vec<Micros>);

impl Sorted {
    fn new(mut durations: Vec<Micros>) -> Sorted {
        durations.sort_unstable();
        Sorted(durations)
    }

    /// 0 where there are none.
    fn percentile(&self, percent: usize) -> Micros {
        let index = self.0.len() * percent / 100;
        self.0.get(index).copied().unwrap_or(0)
    }

    /// 0 where there are none.
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

/// Whether a host was listed as ready again, in a later incarnation than one that drained, before a delivery.
fn is_back(observed: &Observations, delivery: &DeliveryRecord, drained: u64) -> bool {
    observed
        .ready_since
        .get(&delivery.host)
        .is_some_and(|ready| {
            ready
                .range(drained + 1..)
                .any(|(_, since)| *since <= delivery.at)
        })
}

/// A command of an at-most-once operation is delivered no more than once, and not at all where it is nacked.
fn check_deliveries(id: u64, command: &CommandRecord, delivered: usize, report: &mut Report) {
    if command.operation != AT_MOST_ONCE_OPERATION {
        return;
    }
    if delivered > 1 {
        report.violations.push(format!(
            "rule 2: command {id} was delivered {delivered} times"
        ));
    }
    if delivered > 0 && command.first_outcome() == Some(CommandOutcome::Nacked) {
        report
            .violations
            .push(format!("rule 2: command {id} was delivered and nacked"));
    }
}
