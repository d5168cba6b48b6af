//! What is learned of single hosts from how their deliveries end, and when they are ejected.

use super::{Router, MILLISECOND, SECOND};
use crate::{AttemptOutcome, Micros};

/// How long nothing comes back from a host before it may count as unresponsive: above common
/// pauses, far below time-outs.
pub(super) const UNRESPONSIVE_AFTER: Micros = 600 * MILLISECOND;
/// The same in multiples of the slowest operation's baseline latency.
const UNRESPONSIVE_BASELINES: Micros = 6;
/// First ejection after an error, a reset or a refused connection, and after a time-out.
const EJECTION: Micros = SECOND / 2;
const EJECTION_AFTER_TIMEOUT: Micros = SECOND;
/// Ejections double with each failure in a row up to this many times.
const MAX_EJECTION_DOUBLINGS: u32 = 3;
/// How long a host that rejects is left alone: it is full, not faulty.
const REJECTION_BACKOFF: Micros = 100 * MILLISECOND;
/// Weight of the newest delivery in the share without a connection.
const REFUSED_LEARN_RATE: f64 = 0.05;
/// Slowdown, as a logarithm, that a refused connection or a time-out counts as.
pub(super) const FAILURE_SLOWDOWN: f64 = 2.0;

impl Router {
    /// Learns from the end of a delivery at a host's present build.
    pub(super) fn note_host_outcome(&mut self, host: usize, outcome: AttemptOutcome) {
        self.note_connection(host, outcome);
        match outcome {
            AttemptOutcome::Acked => self.note_ack(host),
            // Fast errors draw traffic by least load: a host that errs or breaks loses what its
            // answers earned.
            AttemptOutcome::Error | AttemptOutcome::Reset => {
                self.hosts.set_answers(host, self.hosts.answers(host) / 2);
                if self.hosts.answers(host) == 0 {
                    self.eject(host, EJECTION);
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
                self.eject(host, EJECTION);
            }
            AttemptOutcome::TimedOut if self.is_suspect(host) => {
                self.eject(host, EJECTION_AFTER_TIMEOUT);
            }
            AttemptOutcome::TimedOut | AttemptOutcome::Cancelled | AttemptOutcome::NotSent => {}
        }
        let no_response = matches!(
            outcome,
            AttemptOutcome::TimedOut | AttemptOutcome::Cancelled | AttemptOutcome::NotConnected
        );
        if !no_response {
            self.hosts.response_received(host);
        }
    }

    fn note_connection(&mut self, host: usize, outcome: AttemptOutcome) {
        let refused = f64::from(u8::from(outcome == AttemptOutcome::NotConnected));
        self.refused_fraction += REFUSED_LEARN_RATE * (refused - self.refused_fraction);
        let answered = matches!(
            outcome,
            AttemptOutcome::Acked | AttemptOutcome::Error | AttemptOutcome::Rejected
        );
        if answered {
            self.hosts.set_connected_at(host, self.now);
        }
    }

    fn note_ack(&mut self, host: usize) {
        // It answers: a connection broke, or one command erred, and not the host.
        if self.hosts.consecutive_failures(host) > 0 {
            self.hosts.set_suspicion(host, 0, self.now);
        }
        let answers = self.hosts.answers(host).saturating_add(1);
        self.hosts.set_answers(host, answers);
    }

    /// Guards against hosts that take work and answer nothing, long before their first time-out.
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

    /// Whether a time-out is likely the host's own doing.
    pub(super) fn is_suspect(&self, host: usize) -> bool {
        self.is_unresponsive(host) || self.hosts.consecutive_failures(host) > 0
    }

    /// Counts a failure in a row, unless the host is ejected already, and ejects it for longer with
    /// each.
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
