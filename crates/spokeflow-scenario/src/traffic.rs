//! What clients ask: an open loop with waves and bursts, customers by share, keys by Zipf; and how one client
//! goes on after a try: timeout, retries, back-off.

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use rand_distr::{Distribution, Exp, Zipf};

use crate::active_faults::ActiveFaults;
use crate::report::End;
use crate::scenario::{Repeat, Scenario};
use crate::{Micros, MS, SECOND};

/// A command that a client will ask for.
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
    /// When the client asks first.
    pub due: Micros,
    /// What the client's chance comes from.
    pub seed: u64,
}

/// Draws commands one after the other, whatever becomes of those before: an open loop.
pub struct Traffic {
    rng: StdRng,
    keys: Zipf<f64>,
    at: Micros,
    burst_until: Micros,
    burst_next: Micros,
}

impl Traffic {
    /// `start` is when the first command may be due.
    pub fn new(day: &Scenario, start: Micros) -> Traffic {
        let rng = StdRng::seed_from_u64(day.seed ^ 0xc0de);
        let keys = Zipf::new(day.keys.max(1) as f64, day.key_skew)
            .expect("at least one key, skew not negative");
        Traffic {
            rng,
            keys,
            at: start,
            burst_until: start,
            burst_next: start,
        }
    }

    /// The next command, due after the one before it.
    pub fn next(&mut self, day: &Scenario, faults: &ActiveFaults) -> PlannedCommand {
        // A gentle wave over the day, as the morning's trucks make it.
        let wave =
            1.0 + day.wave * (self.at as f64 / day.wave_span as f64 * std::f64::consts::TAU).sin();
        let mut rate = day.rate * wave * (1.0 + faults.worthless * 0.2);
        if day.burst > 0.0 {
            if self.at >= self.burst_next {
                self.burst_until = self.at + SECOND;
                self.burst_next = self.at + SECOND + self.rng.random_range(4 * SECOND..16 * SECOND);
            }
            rate *= if self.at < self.burst_until {
                1.0 + day.burst
            } else {
                1.0
            };
        }
        let gap = Exp::new(rate).map_or(0.1, |d| d.sample(&mut self.rng));
        self.at += ((gap * SECOND as f64) as Micros).max(1);
        let op = pick(&mut self.rng, day.ops.iter().map(|op| op.share));
        let weights = day.tenants.iter().enumerate().map(|(n, c)| {
            // Worthless traffic is what one customer sends far beyond its share.
            c.allowed * c.usage * if n == 1 { 1.0 + faults.worthless } else { 1.0 }
        });
        let tenant = pick(&mut self.rng, weights);
        let shifted = self.rng.random_bool(faults.shift);
        let site = if shifted {
            0
        } else {
            self.rng.random_range(0..day.sites)
        };
        let hot = self.rng.random_bool(faults.hot_key);
        let key = if hot {
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

fn pick(rng: &mut StdRng, weights: impl Iterator<Item = f64> + Clone) -> usize {
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

/// How an attempt ended for its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptEnd {
    /// Acknowledged.
    Acked {
        /// The build that answered.
        build: u16,
        /// The client found the answer wrong.
        wrong: bool,
    },
    /// Refused, and after how long the client may come back.
    Nacked(Option<Micros>),
    /// The host answered with an error.
    Failed,
    /// Never written to a router.
    Unreachable,
    /// Written, and the connection broke.
    Broken,
    /// The client went before an answer came.
    GivenUp,
}

impl AttemptEnd {
    /// What the command has come to when this attempt is its last, and the build that answered.
    pub fn last(self) -> (End, u16) {
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
    /// What it asks for.
    pub command: PlannedCommand,
    /// Attempts begun.
    pub tries: u32,
    /// The client's chance.
    pub rng: StdRng,
}

/// With less time than this left a client makes no further attempt.
const LEAST_TIMEOUT: Micros = 150 * MS;
/// A client goes so long after its timeout.
pub const LEAVES_AFTER: Micros = 20 * MS;

impl Client {
    /// A client before its first attempt.
    pub fn new(wanted: PlannedCommand) -> Client {
        Client {
            command: wanted,
            tries: 0,
            rng: StdRng::seed_from_u64(wanted.seed),
        }
    }

    /// Begins an attempt: how long the client says that it waits, and how long it does. `None`: no time is left.
    pub fn begin_attempt(
        &mut self,
        day: &Scenario,
        faults: &ActiveFaults,
        now: Micros,
    ) -> Option<(Micros, Micros)> {
        let op = &day.ops[self.command.op];
        self.tries += 1;
        let [least, most] = day.try_part;
        let left = self.command.due + op.timeout - now;
        let timeout =
            ((op.timeout as f64 * self.rng.random_range(least..=most)) as Micros).min(left);
        if timeout < LEAST_TIMEOUT {
            return None;
        }
        let hasty = faults.give_up > 0.0 && self.rng.random_bool(0.5);
        let waits = if hasty {
            (timeout as f64 * faults.give_up) as Micros
        } else {
            timeout + LEAVES_AFTER
        };
        Some((timeout, waits))
    }

    /// After how long the client tries again; `None`: this end is the last.
    pub fn retry_delay(
        &mut self,
        day: &Scenario,
        faults: &ActiveFaults,
        now: Micros,
        end: AttemptEnd,
    ) -> Option<Micros> {
        let (again, pause) = match end {
            AttemptEnd::Acked { .. } => return None,
            AttemptEnd::Nacked(come_back) => (true, come_back.unwrap_or(0)),
            AttemptEnd::Unreachable => (true, 0),
            AttemptEnd::Failed | AttemptEnd::Broken | AttemptEnd::GivenUp => (false, 0),
        };
        let op = &day.ops[self.command.op];
        let harmless = match op.repeat {
            Repeat::Redeliverable => true,
            Repeat::Deduplicated(memory) => now - self.command.due + op.timeout / 2 < memory,
            Repeat::AtMostOnce => false,
        };
        // In a storm clients come back at once and more often.
        let retries = day.retries + faults.repeats as u32;
        if !(again || harmless) || self.tries > retries {
            return None;
        }
        let backoff = if faults.repeats > 0.0 {
            MS
        } else {
            self.rng.random_range(60 * MS..480 * MS)
        };
        Some(if faults.repeats > 0.0 {
            backoff
        } else {
            pause.max(backoff)
        })
    }
}
