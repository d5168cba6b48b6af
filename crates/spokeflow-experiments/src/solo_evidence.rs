//! What routers that each analyse a build alone could know of it at best: the likelihood-ratio test of Neyman and
//! Pearson (1933) on what one has seen, at a bound on how often any router rolls a good build back, and the same test
//! on what all have seen together. A model of answers only; the routers' own rule is not in it.

use clap::Args;
use spokeflow_core::Rng;

/// Answers that fail at healthy hosts, as a fraction.
const NOISE: f64 = 0.002;

/// The test on all answers costs that many times more for each draw, so that it gets fewer.
const DRAWS_PER_JOINT_DRAW: usize = 100;

/// Flags of `alone`.
#[derive(Args, Clone, Debug)]
pub struct SoloEvidenceFlags {
    /// Routers
    #[arg(
        long = "fleet",
        value_name = "FLEET",
        env = "SPOKEFLOW_LAB_FLEET",
        default_value_t = 300
    )]
    pub routers: u32,
    /// Hosts of the build on trial
    #[arg(long, env = "SPOKEFLOW_LAB_TRIAL_HOSTS", default_value_t = 35)]
    pub trial_hosts: usize,
    /// Hosts of the build on trial that one router meets
    #[arg(
        long = "met",
        value_name = "MET",
        env = "SPOKEFLOW_LAB_MET",
        default_value_t = 8
    )]
    pub hosts_per_router: usize,
    /// Fraction of a good build's hosts that begin to fail everything, each at some moment of the time looked at
    #[arg(
        long = "sick",
        value_name = "SICK",
        env = "SPOKEFLOW_LAB_SICK",
        default_value_t = 0.125
    )]
    pub failing_hosts: f64,
    /// Fraction of its answers that a bad build fails, at every host
    #[arg(
        long = "fails",
        value_name = "FAILS",
        env = "SPOKEFLOW_LAB_FAILS",
        default_value_t = 0.25
    )]
    pub bad_build_failures: f64,
    /// Good builds that the routers may roll back, as a fraction
    #[arg(
        long = "false-backs",
        value_name = "FALSE_BACKS",
        env = "SPOKEFLOW_LAB_FALSE_BACKS",
        default_value_t = 0.02
    )]
    pub false_rollbacks: f64,
    /// Mean answers of the build that one router has seen, split by commas
    #[arg(long, env = "SPOKEFLOW_LAB_ANSWERS", value_delimiter = ',', default_values_t = [0.4, 1.4, 4.0, 8.0, 16.0, 32.0])]
    pub answers: Vec<f64>,
    /// Draws for each figure
    #[arg(long, env = "SPOKEFLOW_LAB_DRAWS", default_value_t = 1_000_000)]
    pub draws: usize,
    /// Seed of the draws
    #[arg(long, env = "SPOKEFLOW_LAB_ALONE_SEED", default_value_t = 1)]
    pub seed: u64,
}

/// How many bad builds are found while good ones are rolled back no more often than allowed.
#[derive(Clone, Copy, Debug)]
pub struct Row {
    /// Mean answers of the build that one router has seen.
    pub answers: f64,
    /// Fraction found by any router alone.
    pub alone: f64,
    /// Fraction found by one that has heard all.
    pub together: f64,
}

/// One row for each mean number of answers, in the order of the flags.
pub fn rows(flags: &SoloEvidenceFlags) -> Vec<Row> {
    let routers = f64::from(flags.routers);
    // Each router may err so seldom that any of all errs as often as allowed.
    let allowed_each = 1.0 - (1.0 - flags.false_rollbacks).powf(1.0 / routers);
    let row = |&answers: &f64| {
        let one = Observed {
            flags,
            answers,
            hosts: flags.hosts_per_router,
        };
        let all = Observed {
            flags,
            answers: answers * routers,
            hosts: flags.trial_hosts,
        };
        let found_by_one = one.power(allowed_each, flags.draws);
        Row {
            answers,
            alone: 1.0 - (1.0 - found_by_one).powf(routers),
            together: all.power(flags.false_rollbacks, flags.draws / DRAWS_PER_JOINT_DRAW),
        }
    };
    flags.answers.iter().map(row).collect()
}

/// What a test rests on: so many answers, in the mean, from so many hosts.
#[derive(Clone, Copy, Debug)]
pub struct Observed<'a> {
    /// How good and bad builds behave.
    pub flags: &'a SoloEvidenceFlags,
    /// Mean answers of all these hosts together.
    pub answers: f64,
    /// Hosts of the build.
    pub hosts: usize,
}

/// What a build truly is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BuildQuality {
    /// Fails at failing hosts alone, but for noise.
    Good,
    /// Fails a part of its answers at every host.
    Bad,
}

impl Observed<'_> {
    /// The fraction of bad builds found by the best test that rolls back at most `allowed` of the good ones.
    fn power(&self, allowed: f64, draws: usize) -> f64 {
        let mut rng = Rng::new(self.flags.seed);
        let good = self.sorted_ratios(BuildQuality::Good, draws, &mut rng);
        let bad = self.sorted_ratios(BuildQuality::Bad, draws, &mut rng);
        // The largest ratios of good builds that stay within what is allowed; equal ones are all in or all out.
        let most = ((allowed * draws as f64) as usize).min(draws - 1);
        let threshold = good[most];
        bad.partition_point(|&ratio| ratio > threshold) as f64 / draws as f64
    }

    /// The largest first.
    fn sorted_ratios(&self, quality: BuildQuality, draws: usize, rng: &mut Rng) -> Vec<f64> {
        let mut ratios: Vec<f64> = (0..draws)
            .map(|_| self.draw_log_likelihood_ratio(quality, rng))
            .collect();
        ratios.sort_by(|left, right| right.total_cmp(left));
        ratios
    }

    /// Draws the answers of a build, and answers the logarithm of how much likelier they are under a bad build than
    /// under a good one with failing hosts.
    pub fn draw_log_likelihood_ratio(&self, quality: BuildQuality, rng: &mut Rng) -> f64 {
        let mut sum = 0.0;
        for _ in 0..self.hosts {
            let failures = self.draw_host(quality, rng);
            sum += self.log_likelihood_ratio(&failures);
        }
        sum
    }

    /// The answers of one host in their order, `true` where one fails.
    fn draw_host(&self, quality: BuildQuality, rng: &mut Rng) -> Vec<bool> {
        let is_failing = quality == BuildQuality::Good && rng.fraction() < self.flags.failing_hosts;
        let count = poisson(self.answers / self.hosts as f64, rng) as usize;
        // A failing host acks up to some moment and fails everything from then on.
        let onset = rng.below(count + 1);
        let failure_rate = match quality {
            BuildQuality::Good => NOISE,
            BuildQuality::Bad => self.flags.bad_build_failures,
        };
        (0..count)
            .map(|index| {
                if is_failing {
                    index >= onset
                } else {
                    rng.fraction() < failure_rate
                }
            })
            .collect()
    }

    fn log_likelihood_ratio(&self, failures: &[bool]) -> f64 {
        let flags = self.flags;
        let count = failures.len();
        let failed = failures.iter().filter(|failed| **failed).count();
        let at_rate =
            |rate: f64| rate.powi(failed as i32) * (1.0 - rate).powi((count - failed) as i32);
        // Under a failing host each onset is as likely, and one at most gives these answers.
        let has_onset = failures.windows(2).all(|pair| pair[0] <= pair[1]);
        let by_onset = if has_onset {
            1.0 / (count + 1) as f64
        } else {
            0.0
        };
        let good = flags.failing_hosts * by_onset + (1.0 - flags.failing_hosts) * at_rate(NOISE);
        (at_rate(flags.bad_build_failures) / good).ln()
    }
}

/// Draws from a Poisson distribution by Knuth's product of fractions.
fn poisson(mean: f64, rng: &mut Rng) -> u32 {
    let limit = (-mean).exp();
    let mut count = 0;
    let mut product = rng.fraction();
    while product > limit {
        count += 1;
        product *= rng.fraction();
    }
    count
}

/// The rows as a table, with the assumptions before it.
pub fn text(flags: &SoloEvidenceFlags) -> String {
    let mut text = format!(
        "{} routers, {} of {} trial hosts met by each; good: {} of the hosts begin to fail everything; bad: {} of the answers \
         fail;\ngood builds sent back at most {}\nanswers a router   bad builds found alone   together\n",
        flags.routers,
        flags.hosts_per_router,
        flags.trial_hosts,
        flags.failing_hosts,
        flags.bad_build_failures,
        flags.false_rollbacks
    );
    for row in rows(flags) {
        text += &format!(
            "{:14.1}   {:22.3}   {:8.3}\n",
            row.answers, row.alone, row.together
        );
    }
    text
}
