//! What is learned of single hosts from how their deliveries end.

use super::Router;
use super::{MS, SECOND};
use crate::{AttemptOutcome, HostId, Micros};

/// Slowness of a zone, op type or customer against the best one from which it is theirs alone.
const FAR: f64 = 1.2;
/// How long nothing comes back from a host before it may count as mute.
pub(super) const MUTE_FOR: Micros = 600 * MS;

impl Router {
    pub fn on_load_report(&mut self, host: HostId, busy: f64) {
        let Some(&h) = self.index.get(&host) else {
            return;
        };
        self.hosts.set_utilization(h, busy.clamp(0.0, 1.0));
        self.busy += 0.05 * (self.hosts.utilization(h) - self.busy);
    }

    pub(super) fn health(&mut self, h: usize, end: AttemptOutcome) {
        let refused = f64::from(u8::from(end == AttemptOutcome::NotConnected));
        self.refused += 0.05 * (refused - self.refused);
        if matches!(
            end,
            AttemptOutcome::Acked | AttemptOutcome::Error | AttemptOutcome::Rejected
        ) {
            self.hosts.set_connected_at(h, self.now);
        }
        match end {
            AttemptOutcome::Acked => {
                // It answers: a connection broke, or one command erred, and not the host.
                if self.hosts.consecutive_failures(h) > 0 {
                    self.hosts.set_suspicion(h, 0, self.now);
                }
                self.hosts
                    .set_answers(h, self.hosts.answers(h).saturating_add(1));
            }
            // Fast errors draw traffic by fewest in flight: who errs or breaks loses what its answers earned.
            AttemptOutcome::Error | AttemptOutcome::Reset => {
                self.hosts.set_answers(h, self.hosts.answers(h) / 2);
                if self.hosts.answers(h) == 0 {
                    self.strike(h, SECOND / 2);
                }
            }
            AttemptOutcome::Rejected => {
                let until = self.hosts.ejected_until(h).max(self.now + 100 * MS);
                self.hosts
                    .set_suspicion(h, self.hosts.consecutive_failures(h), until);
            }
            AttemptOutcome::NotConnected => {
                self.hosts.set_connected_at(h, Micros::MIN);
                self.learn_way(0, self.hosts.endpoint(h).zone.0.into(), 2.0);
                self.strike(h, SECOND / 2);
            }
            AttemptOutcome::TimedOut if self.mute(h) || self.hosts.consecutive_failures(h) > 0 => {
                self.strike(h, SECOND)
            }
            _ => {}
        }
        if !matches!(
            end,
            AttemptOutcome::TimedOut | AttemptOutcome::Cancelled | AttemptOutcome::NotConnected
        ) {
            self.hosts.response_received(h);
        }
    }

    fn strike(&mut self, h: usize, pause: Micros) {
        if self.now >= self.hosts.ejected_until(h) {
            let strikes = self.hosts.consecutive_failures(h);
            self.hosts
                .set_suspicion(h, strikes + 1, self.now + (pause << strikes.min(3)));
        }
    }

    /// Guards against hosts that take work and answer nothing, long before their first time-out.
    pub(super) fn mute(&self, h: usize) -> bool {
        let quiet = self.now.saturating_sub(self.hosts.quiet_since(h));
        let usual = || {
            self.ops
                .iter()
                .map(|o| o.baseline.exp())
                .fold(0.0, f64::max) as Micros
        };
        self.hosts.in_flight(h) > 0 && quiet > MUTE_FOR && quiet > 6 * usual()
    }

    pub(super) fn learn_way(&mut self, kind: usize, n: usize, late: f64) {
        let ways = &mut self.ways[kind];
        ways.resize(ways.len().max(n + 1), f64::NAN);
        ways[n] = if ways[n].is_nan() {
            0.15 * late
        } else {
            ways[n] + 0.15 * (late - ways[n])
        };
    }

    /// By how much one zone, op type or customer is slower than the best, where that is far: a slow way, or
    /// what waits at every host alike, is neither the host's doing nor the build's.
    pub(super) fn detour(&self, kind: usize, n: usize) -> f64 {
        let best = self.ways[kind]
            .iter()
            .copied()
            .fold(f64::INFINITY, f64::min);
        self.ways[kind]
            .get(n)
            .map(|way| way - best)
            .filter(|&more| more > FAR)
            .unwrap_or(0.0)
    }
}
