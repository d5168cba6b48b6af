//! What routers that each judge alone could know of a build at best: the likelihood test of Neyman and Pearson on what
//! one has seen, at a bound on how often any of the fleet sends a good build back, and the same test on what all have
//! seen together. A model of answers only; the routers' own rule is not in it.

use clap::Args;
use spokeflow_core::Rng;

#[derive(Args, Clone, Debug)]
pub struct AloneFlags {
    /// Routers
    #[arg(long, env = "SPOKEFLOW_LAB_FLEET", default_value_t = 300)]
    pub fleet: u32,
    /// Hosts of the build on trial, and how many of them one router meets
    #[arg(long, env = "SPOKEFLOW_LAB_TRIAL_HOSTS", default_value_t = 35)]
    pub trial_hosts: usize,
    #[arg(long, env = "SPOKEFLOW_LAB_MET", default_value_t = 8)]
    pub met: usize,
    /// Share of a good build's hosts that begin to fail everything, each at some moment of the time looked at
    #[arg(long, env = "SPOKEFLOW_LAB_SICK", default_value_t = 0.125)]
    pub sick: f64,
    /// Share of its answers that a bad build fails, at every host
    #[arg(long, env = "SPOKEFLOW_LAB_FAILS", default_value_t = 0.25)]
    pub fails: f64,
    /// Good builds that the fleet may send back, as a share
    #[arg(long, env = "SPOKEFLOW_LAB_FALSE_BACKS", default_value_t = 0.02)]
    pub false_backs: f64,
    /// Mean answers of the build that one router has seen, split by commas
    #[arg(long, env = "SPOKEFLOW_LAB_ANSWERS", value_delimiter = ',', default_values_t = [0.4, 1.4, 4.0, 8.0, 16.0, 32.0])]
    pub answers: Vec<f64>,
    /// Draws for each figure
    #[arg(long, env = "SPOKEFLOW_LAB_DRAWS", default_value_t = 1_000_000)]
    pub draws: usize,
    #[arg(long, env = "SPOKEFLOW_LAB_ALONE_SEED", default_value_t = 1)]
    pub seed: u64,
}

/// Answers that fail at hosts that are well.
const NOISE: f64 = 0.002;

/// One row: mean answers of a router, and the share of bad builds that are found while good ones are sent back no more
/// often than allowed: by any of the fleet alone, and by one that has heard all.
#[derive(Clone, Copy, Debug)]
pub struct Row {
    pub answers: f64,
    pub alone: f64,
    pub together: f64,
}

pub fn rows(flags: &AloneFlags) -> Vec<Row> {
    let fleet = f64::from(flags.fleet);
    let each = 1.0 - (1.0 - flags.false_backs).powf(1.0 / fleet);
    let row = |&answers: &f64| {
        let one = power(flags, answers, flags.met, each, flags.draws);
        let all = power(
            flags,
            answers * fleet,
            flags.trial_hosts,
            flags.false_backs,
            flags.draws / 100,
        );
        Row {
            answers,
            alone: 1.0 - (1.0 - one).powf(fleet),
            together: all,
        }
    };
    flags.answers.iter().map(row).collect()
}

/// The share of bad builds found by the best test that sends at most `allowed` of the good ones back.
fn power(flags: &AloneFlags, answers: f64, hosts: usize, allowed: f64, draws: usize) -> f64 {
    let mut chance = Rng::new(flags.seed);
    let mut proofs = |bad| -> Vec<f64> {
        let mut all: Vec<f64> = (0..draws)
            .map(|_| proof(flags, answers, hosts, bad, &mut chance))
            .collect();
        all.sort_by(|a, b| b.total_cmp(a));
        all
    };
    let (good, bad) = (proofs(false), proofs(true));
    // The largest sums of good builds that stay within what is allowed; equal ones are all in or all out.
    let most = ((allowed * draws as f64) as usize).min(draws - 1);
    let line = good[most];
    bad.partition_point(|&sum| sum > line) as f64 / draws as f64
}

/// The logarithm of how much likelier what is seen is under a bad build than under a good one with sick hosts.
fn proof(flags: &AloneFlags, answers: f64, hosts: usize, bad: bool, chance: &mut Rng) -> f64 {
    let mut sum = 0.0;
    for _ in 0..hosts {
        let sick = !bad && chance.fraction() < flags.sick;
        let n = poisson(answers / hosts as f64, chance) as usize;
        // A sick host acks up to some moment and fails from then on.
        let onset = chance.below(n + 1);
        let part = if bad { flags.fails } else { NOISE };
        let fails: Vec<bool> = (0..n)
            .map(|i| {
                if sick {
                    i >= onset
                } else {
                    chance.fraction() < part
                }
            })
            .collect();
        let failed = fails.iter().filter(|f| **f).count();
        let of = |p: f64| p.powi(failed as i32) * (1.0 - p).powi((n - failed) as i32);
        let turned = fails.windows(2).all(|w| w[0] <= w[1]);
        let began = if turned { 1.0 / (n + 1) as f64 } else { 0.0 };
        sum += (of(flags.fails) / (flags.sick * began + (1.0 - flags.sick) * of(NOISE))).ln();
    }
    sum
}

fn poisson(mean: f64, chance: &mut Rng) -> u32 {
    let (line, mut n, mut product) = ((-mean).exp(), 0, chance.fraction());
    while product > line {
        n += 1;
        product *= chance.fraction();
    }
    n
}

pub fn text(flags: &AloneFlags) -> String {
    let mut text = format!(
        "{} routers, {} of {} trial hosts met by each; good: {} of the hosts begin to fail everything; bad: {} of the answers \
         fail;\ngood builds sent back at most {}\nanswers a router   bad builds found alone   together\n",
        flags.fleet, flags.met, flags.trial_hosts, flags.sick, flags.fails, flags.false_backs
    );
    for row in rows(flags) {
        text += &format!(
            "{:14.1}   {:22.3}   {:8.3}\n",
            row.answers, row.alone, row.together
        );
    }
    text
}

#[cfg(test)]
mod tests {
    use super::*;

    fn flags(answers: f64) -> AloneFlags {
        AloneFlags {
            fleet: 300,
            trial_hosts: 35,
            met: 8,
            sick: 0.125,
            fails: 0.25,
            false_backs: 0.02,
            answers: vec![answers],
            draws: 100_000,
            seed: 3,
        }
    }

    #[test]
    fn one_that_hears_all_knows_what_three_hundred_alone_do_not() {
        let few = rows(&flags(0.4))[0];
        assert!(few.alone < 0.6 && few.together > 0.95, "{few:?}");
        let many = rows(&flags(32.0))[0];
        assert!(many.alone > 0.9 && many.together > 0.99, "{many:?}");
    }

    /// The test keeps what it promises on draws that it was not set by.
    #[test]
    fn no_more_good_builds_are_sent_back_than_allowed() {
        let flags = flags(8.0);
        let draw = |seed| -> Vec<f64> {
            let mut chance = Rng::new(seed);
            (0..50_000)
                .map(|_| proof(&flags, 8.0, 8, false, &mut chance))
                .collect()
        };
        let mut set = draw(1);
        set.sort_by(|a, b| b.total_cmp(a));
        let line = set[500];
        let above = draw(2).iter().filter(|&&sum| sum > line).count();
        assert!(above < 600, "{above} of 50,000 where 500 were allowed");
    }
}
