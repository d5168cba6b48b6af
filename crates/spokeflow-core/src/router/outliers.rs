//! Outlier detection: per-host state from the outcomes of deliveries, and ejection of failing
//! hosts.

use super::{Router, MILLISECOND, SECOND};
use crate::{AttemptOutcome, Micros};

/// Time without a response after which a host with open deliveries may count as unresponsive: above
/// common pauses, far below time-outs.
pub(super) const UNRESPONSIVE_AFTER: Micros = 600 * MILLISECOND;
/// The same time in multiples of the slowest operation's baseline latency; both must have passed.
const UNRESPONSIVE_BASELINES: Micros = 6;
/// Duration of the first ejection after an error, a reset or a failed connection, and after a
/// time-out.
const EJECTION_DURATION: Micros = SECOND / 2;
const TIMEOUT_EJECTION_DURATION: Micros = SECOND;
/// The ejection duration doubles with each consecutive failure, at most this many times.
const MAX_EJECTION_DOUBLINGS: u32 = 3;
/// Time in which a host that rejected a delivery gets no other: it is full, not faulty.
const REJECTION_BACKOFF: Micros = 100 * MILLISECOND;
/// Weight of the newest delivery in the share of deliveries without a connection.
const REFUSED_LEARN_RATE: f64 = 0.05;
/// Slowdown, as a logarithm, that a failed connection adds to its zone and a time-out to its
/// operation.
pub(super) const FAILURE_SLOWDOWN: f64 = 2.0;

impl Router {
    /// Updates a host's state from the outcome of a delivery that was sent to its present build.
    pub(super) fn record_host_outcome(&mut self, host: usize, outcome: AttemptOutcome) {
        self.record_connection(host, outcome);
        match outcome {
            AttemptOutcome::Acked => self.record_ack(host),
            // A host that fails fast has few deliveries in flight and would attract traffic. So
            // each error or reset halves its acks, and at 0 it is ejected.
            AttemptOutcome::Error | AttemptOutcome::Reset => {
                self.hosts.set_acks(host, self.hosts.acks(host) / 2);
                if self.hosts.acks(host) == 0 {
                    self.eject(host, EJECTION_DURATION);
                }
            }
            AttemptOutcome::Rejected => {
                let failures = self.hosts.consecutive_failures(host);
                let until = self.now + REJECTION_BACKOFF;
                let until = self.hosts.ejected_until(host).max(until);
                self.hosts.set_suspicion(host, failures, until);
            }
            AttemptOutcome::NotConnected => {
                self.hosts.set_connected_at(host, Micros::MIN);
                let zone = self.zone_index(host);
                self.slowdowns.zones.learn(zone, FAILURE_SLOWDOWN);
                self.eject(host, EJECTION_DURATION);
            }
            AttemptOutcome::TimedOut if self.explains_timeout(host) => {
                self.eject(host, TIMEOUT_EJECTION_DURATION);
            }
            AttemptOutcome::TimedOut | AttemptOutcome::Cancelled | AttemptOutcome::NotSent => {}
        }
        // A reset and a delivery that was never sent restart the quiet time as a response does.
        let keeps_quiet_time = matches!(
            outcome,
            AttemptOutcome::TimedOut | AttemptOutcome::Cancelled | AttemptOutcome::NotConnected
        );
        if !keeps_quiet_time {
            self.hosts.restart_quiet_time(host);
        }
    }

    fn record_connection(&mut self, host: usize, outcome: AttemptOutcome) {
        let refused = f64::from(u8::from(outcome == AttemptOutcome::NotConnected));
        self.refused_fraction += REFUSED_LEARN_RATE * (refused - self.refused_fraction);
        let responded = matches!(
            outcome,
            AttemptOutcome::Acked | AttemptOutcome::Error | AttemptOutcome::Rejected
        );
        if responded {
            self.hosts.set_connected_at(host, self.now);
        }
    }

    fn record_ack(&mut self, host: usize) {
        // The host answers, so the failures before were due to a connection or a single command.
        if self.hosts.consecutive_failures(host) > 0 {
            self.hosts.set_suspicion(host, 0, self.now);
        }
        let acks = self.hosts.acks(host).saturating_add(1);
        self.hosts.set_acks(host, acks);
    }

    /// Whether a host has open deliveries and has not responded for too long. Guards against hosts
    /// that accept commands and answer none, long before the first time-out.
    pub(super) fn is_unresponsive(&self, host: usize) -> bool {
        let quiet = self.now.saturating_sub(self.hosts.quiet_since(host));
        let baseline = || {
            self.operations
                .iter()
                .map(|operation| operation.baseline.exp())
                .fold(0.0, f64::max) as Micros
        };
        self.hosts.in_flight(host) > 0
            && quiet > UNRESPONSIVE_AFTER
            && quiet > UNRESPONSIVE_BASELINES * baseline()
    }

    /// Whether a time-out at a host is likely caused by the host itself: it is unresponsive, or has
    /// failed since its last ack.
    pub(super) fn explains_timeout(&self, host: usize) -> bool {
        self.is_unresponsive(host) || self.hosts.consecutive_failures(host) > 0
    }

    /// Counts a consecutive failure and ejects the host, for longer with each. Has no effect while
    /// the host is ejected.
    fn eject(&mut self, host: usize, duration: Micros) {
        if self.now < self.hosts.ejected_until(host) {
            return;
        }
        let failures = self.hosts.consecutive_failures(host);
        let duration = duration << failures.min(MAX_EJECTION_DOUBLINGS);
        self.hosts
            .set_suspicion(host, failures + 1, self.now + duration);
    }
}
