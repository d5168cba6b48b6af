//! Traffic of the clients: an open loop with periodic changes of the rate and bursts, with tenants weighted by their
//! quotas and keys drawn from a Zipf distribution; and the timeout, retries and backoff of a client.

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use rand_distr::{Distribution, Exp, Zipf};

use crate::active_faults::ActiveFaults;
use crate::report::End;
use crate::scenario::{Repeat, Scenario};
use crate::{Micros, MS, SECOND};

/// A command that a client is going to send.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PlannedCommand {
    /// Index of the operation.
    pub op: usize,
    /// Index of the tenant.
    pub tenant: usize,
    /// The client's site.
    pub site: u16,
    /// The sticky key.
    pub key: u64,
    /// Time of the first attempt.
    pub due: Micros,
    /// Seed of the client's random draws.
    pub seed: u64,
}

/// The tenant whose traffic grows in a tenant overload.
const OVERLOADING_TENANT: usize = 1;
/// Relative growth of the total rate per unit of tenant overload.
const OVERLOAD_RATE_GROWTH: f64 = 0.2;
/// Combined with the seed, so that the draws differ from other draws of the run.
const TRAFFIC_SEED: u64 = 0xc0de;

/// Generates commands as an open loop: one is due whether or not earlier ones were answered.
pub struct Traffic {
    rng: StdRng,
    keys: Zipf<f64>,
    at: Micros,
    burst_until: Micros,
    next_burst: Micros,
}

impl Traffic {
    /// Creates the traffic of a scenario. No command is due before `start`.
    pub fn new(scenario: &Scenario, start: Micros) -> Traffic {
        let rng = StdRng::seed_from_u64(scenario.seed ^ TRAFFIC_SEED);
        let keys = Zipf::new(scenario.keys.max(1) as f64, scenario.key_skew)
            .expect("a scenario has at least one key and no negative key skew");
        Traffic {
            rng,
            keys,
            at: start,
            burst_until: start,
            next_burst: start,
        }
    }

    /// Draws the next command, which is due after the previous one.
    pub fn next(&mut self, scenario: &Scenario, faults: &ActiveFaults) -> PlannedCommand {
        // The rate rises and falls over a run, as real traffic does over a day.
        let wave = 1.0
            + scenario.wave
                * (self.at as f64 / scenario.wave_span as f64 * std::f64::consts::TAU).sin();
        let mut rate = scenario.rate * wave * (1.0 + faults.tenant_overload * OVERLOAD_RATE_GROWTH);
        if scenario.burst > 0.0 {
            if self.at >= self.next_burst {
                self.burst_until = self.at + SECOND;
                self.next_burst = self.at + SECOND + self.rng.random_range(4 * SECOND..16 * SECOND);
            }
            rate *= if self.at < self.burst_until {
                1.0 + scenario.burst
            } else {
                1.0
            };
        }
        let gap = Exp::new(rate).map_or(0.1, |d| d.sample(&mut self.rng));
        self.at += ((gap * SECOND as f64) as Micros).max(1);
        let op = draw_index(&mut self.rng, scenario.ops.iter().map(|op| op.share));
        let weights = scenario.tenants.iter().enumerate().map(|(n, tenant)| {
            // In a tenant overload one tenant sends far beyond its quota.
            tenant.allowed
                * tenant.usage
                * if n == OVERLOADING_TENANT {
                    1.0 + faults.tenant_overload
                } else {
                    1.0
                }
        });
        let tenant = draw_index(&mut self.rng, weights);
        let is_shifted = self.rng.random_bool(faults.shift);
        let site = if is_shifted {
            0
        } else {
            self.rng.random_range(0..scenario.sites)
        };
        let is_hot_key = self.rng.random_bool(faults.hot_key);
        let key = if is_hot_key {
            1 << 40 | (self.at / SECOND) as u64
        } else {
            self.keys.sample(&mut self.rng) as u64
        };
        PlannedCommand {
            op,
            tenant,
            site,
            key,
            due: self.at,
            seed: self.rng.random(),
        }
    }
}

/// Draws an index with probabilities proportional to the weights.
fn draw_index(rng: &mut StdRng, weights: impl Iterator<Item = f64> + Clone) -> usize {
    let total: f64 = weights.clone().sum();
    let mut at = rng.random_range(0.0..total.max(1e-9));
    let mut last = 0;
    for (n, weight) in weights.enumerate() {
        if at < weight {
            return n;
        }
        at -= weight;
        last = n;
    }
    last
}

/// The end of an attempt as its client saw it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptEnd {
    /// The attempt was acked.
    Acked {
        /// The build that answered.
        build: u16,
        /// Whether the client found the answer wrong.
        wrong: bool,
    },
    /// The attempt was nacked, with the time after which the client may retry, if the router gave one.
    Nacked(Option<Micros>),
    /// The attempt failed.
    Failed,
    /// No router could be reached, and nothing was sent.
    Unreachable,
    /// The connection was lost after the attempt was sent.
    Broken,
    /// The client stopped waiting before an answer arrived.
    GivenUp,
}

impl AttemptEnd {
    /// Returns the end of the command if this attempt is its last, and the build that answered, 0 for none.
    pub fn command_end(self) -> (End, u16) {
        match self {
            AttemptEnd::Acked { build, wrong } => {
                (if wrong { End::Wrong } else { End::Acked }, build)
            }
            AttemptEnd::Nacked(_) => (End::Nacked, 0),
            AttemptEnd::Unreachable => (End::Unreachable, 0),
            AttemptEnd::Failed | AttemptEnd::Broken => (End::Failed, 0),
            AttemptEnd::GivenUp => (End::GivenUp, 0),
        }
    }
}

/// One client with one command.
pub struct Client {
    /// The command that it sends.
    pub command: PlannedCommand,
    /// Number of attempts begun.
    pub attempts: u32,
    /// Random draws of the client.
    pub rng: StdRng,
}

/// Shortest remaining time with which a client begins an attempt.
const MIN_TIMEOUT: Micros = 150 * MS;
/// Time after its timeout for which a client still waits.
pub const ABANDON_GRACE: Micros = 20 * MS;

impl Client {
    /// Creates a client that has made no attempt.
    pub fn new(command: PlannedCommand) -> Client {
        Client {
            command,
            attempts: 0,
            rng: StdRng::seed_from_u64(command.seed),
        }
    }

    /// Begins an attempt. Returns the timeout that the client sends and the time that it actually waits, or `None` if
    /// too little time is left.
    pub fn begin_attempt(
        &mut self,
        scenario: &Scenario,
        faults: &ActiveFaults,
        now: Micros,
    ) -> Option<(Micros, Micros)> {
        let op = &scenario.ops[self.command.op];
        self.attempts += 1;
        let [least, most] = scenario.try_part;
        let left = self.command.due + op.timeout - now;
        let timeout =
            ((op.timeout as f64 * self.rng.random_range(least..=most)) as Micros).min(left);
        if timeout < MIN_TIMEOUT {
            return None;
        }
        let abandons_early = faults.give_up > 0.0 && self.rng.random_bool(0.5);
        let waits = if abandons_early {
            (timeout as f64 * faults.give_up) as Micros
        } else {
            timeout + ABANDON_GRACE
        };
        Some((timeout, waits))
    }

    /// Returns the delay before the next attempt, or `None` if the command ends with this one.
    pub fn retry_delay(
        &mut self,
        scenario: &Scenario,
        faults: &ActiveFaults,
        now: Micros,
        end: AttemptEnd,
    ) -> Option<Micros> {
        let (is_retryable, requested_delay) = match end {
            AttemptEnd::Acked { .. } => return None,
            AttemptEnd::Nacked(retry_after) => (true, retry_after.unwrap_or(0)),
            AttemptEnd::Unreachable => (true, 0),
            AttemptEnd::Failed | AttemptEnd::Broken | AttemptEnd::GivenUp => (false, 0),
        };
        let op = &scenario.ops[self.command.op];
        let is_repeat_harmless = match op.repeat {
            Repeat::Redeliverable => true,
            Repeat::Deduplicated(memory) => now - self.command.due + op.timeout / 2 < memory,
            Repeat::AtMostOnce => false,
        };
        // In a retry storm clients retry almost at once and more often.
        let retries = scenario.retries + faults.extra_retries as u32;
        if !(is_retryable || is_repeat_harmless) || self.attempts > retries {
            return None;
        }
        let backoff = if faults.extra_retries > 0.0 {
            MS
        } else {
            self.rng.random_range(60 * MS..480 * MS)
        };
        Some(if faults.extra_retries > 0.0 {
            backoff
        } else {
            requested_delay.max(backoff)
        })
    }
}
