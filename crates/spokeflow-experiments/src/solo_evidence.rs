//! A model of how well routers can detect a bad build at best, each from its own evidence or all from shared evidence:
//! the likelihood-ratio test of Neyman and Pearson (1933) on the answers that one router has seen, at a bound on how
//! often any router rolls back a good build, and the same test on the answers that all routers have seen together. The
//! model covers answers only; it does not contain the canary analysis of the routers.

use clap::Args;
use spokeflow_core::Rng;

/// The fraction of answers that fail at healthy hosts of a good build.
const BASELINE_FAILURE_RATE: f64 = 0.002;

/// Draws of the test on one router's answers for each draw of the joint test, whose draws cost about that much more.
const DRAWS_PER_JOINT_DRAW: usize = 100;

/// Flags of `alone`.
#[derive(Args, Clone, Debug)]
pub struct SoloEvidenceFlags {
    /// Number of routers
    #[arg(
        long = "fleet",
        value_name = "FLEET",
        env = "SPOKEFLOW_LAB_FLEET",
        default_value_t = 300
    )]
    pub routers: u32,
    /// Hosts of the canary build
    #[arg(long, env = "SPOKEFLOW_LAB_TRIAL_HOSTS", default_value_t = 35)]
    pub trial_hosts: usize,
    /// Hosts of the canary build that one router sends to
    #[arg(
        long = "met",
        value_name = "MET",
        env = "SPOKEFLOW_LAB_MET",
        default_value_t = 8
    )]
    pub hosts_per_router: usize,
    /// Fraction of a good build's hosts that start to fail every command, each at some moment of the observed time
    #[arg(
        long = "sick",
        value_name = "SICK",
        env = "SPOKEFLOW_LAB_SICK",
        default_value_t = 0.125
    )]
    pub failing_hosts: f64,
    /// Fraction of failed answers of a bad build, at every host
    #[arg(
        long = "fails",
        value_name = "FAILS",
        env = "SPOKEFLOW_LAB_FAILS",
        default_value_t = 0.25
    )]
    pub bad_build_failures: f64,
    /// Fraction of good builds that the routers may roll back
    #[arg(
        long = "false-backs",
        value_name = "FALSE_BACKS",
        env = "SPOKEFLOW_LAB_FALSE_BACKS",
        default_value_t = 0.02
    )]
    pub false_rollbacks: f64,
    /// Mean numbers of answers of the build that one router has seen, separated by commas
    #[arg(long, env = "SPOKEFLOW_LAB_ANSWERS", value_delimiter = ',', default_values_t = [0.4, 1.4, 4.0, 8.0, 16.0, 32.0])]
    pub answers: Vec<f64>,
    /// Draws for each figure from one router's answers; shared evidence gets fewer
    #[arg(long, env = "SPOKEFLOW_LAB_DRAWS", default_value_t = 1_000_000)]
    pub draws: usize,
    /// Seed of the draws
    #[arg(long, env = "SPOKEFLOW_LAB_ALONE_SEED", default_value_t = 1)]
    pub seed: u64,
}

/// The fraction of bad builds that are detected while good ones are rolled back no more often than allowed.
#[derive(Clone, Copy, Debug)]
pub struct Row {
    /// The mean number of answers of the build that one router has seen.
    pub answers: f64,
    /// The fraction detected by at least one of the routers, each from its own answers.
    pub found_alone: f64,
    /// The fraction detected from the answers of all routers.
    pub found_together: f64,
}

/// Computes a row for each mean number of answers, in the order of the flag.
pub fn rows(flags: &SoloEvidenceFlags) -> Vec<Row> {
    let routers = f64::from(flags.routers);
    // The rate of false rollbacks of one router at which the rate of any of them is the allowed one.
    let allowed_per_router = 1.0 - (1.0 - flags.false_rollbacks).powf(1.0 / routers);
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
        let found_by_one = one.power(allowed_per_router, flags.draws);
        Row {
            answers,
            found_alone: 1.0 - (1.0 - found_by_one).powf(routers),
            found_together: all.power(flags.false_rollbacks, flags.draws / DRAWS_PER_JOINT_DRAW),
        }
    };
    flags.answers.iter().map(row).collect()
}

/// The evidence of a test: a mean number of answers from a number of hosts.
#[derive(Clone, Copy, Debug)]
pub struct Observed<'a> {
    /// The parameters of the model.
    pub flags: &'a SoloEvidenceFlags,
    /// The mean number of answers of all these hosts together.
    pub answers: f64,
    /// The number of hosts of the build that the answers come from.
    pub hosts: usize,
}

/// The true quality of a build.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BuildQuality {
    /// Fails at the rate of healthy hosts, except at failing hosts.
    Good,
    /// Fails a fraction of its answers at every host.
    Bad,
}

impl Observed<'_> {
    /// Returns the fraction of bad builds detected by the best test that rolls back at most the fraction `allowed` of
    /// the good ones.
    fn power(&self, allowed: f64, draws: usize) -> f64 {
        let mut rng = Rng::new(self.flags.seed);
        let good = self.sorted_ratios(BuildQuality::Good, draws, &mut rng);
        let bad = self.sorted_ratios(BuildQuality::Bad, draws, &mut rng);
        // At most `allowed` of the ratios of good builds are above the threshold, and equal ratios are all on one side.
        let threshold_index = ((allowed * draws as f64) as usize).min(draws - 1);
        let threshold = good[threshold_index];
        bad.partition_point(|&ratio| ratio > threshold) as f64 / draws as f64
    }

    /// Draws log-likelihood ratios, sorted in descending order.
    fn sorted_ratios(&self, quality: BuildQuality, draws: usize, rng: &mut Rng) -> Vec<f64> {
        let mut ratios: Vec<f64> = (0..draws)
            .map(|_| self.draw_log_likelihood_ratio(quality, rng))
            .collect();
        ratios.sort_by(|left, right| right.total_cmp(left));
        ratios
    }

    /// Draws the answers of a build. Returns the logarithm of the ratio of their likelihood under a bad build to that
    /// under a good one with failing hosts.
    pub fn draw_log_likelihood_ratio(&self, quality: BuildQuality, rng: &mut Rng) -> f64 {
        let mut sum = 0.0;
        for _ in 0..self.hosts {
            let failures = self.draw_host(quality, rng);
            sum += self.log_likelihood_ratio(&failures);
        }
        sum
    }

    /// Draws the answers of one host in order, `true` for a failed one.
    fn draw_host(&self, quality: BuildQuality, rng: &mut Rng) -> Vec<bool> {
        let is_failing = quality == BuildQuality::Good && rng.fraction() < self.flags.failing_hosts;
        let count = poisson(self.answers / self.hosts as f64, rng) as usize;
        // A failing host acks every command up to some moment and fails every command from then on.
        let onset = rng.below(count + 1);
        let failure_rate = match quality {
            BuildQuality::Good => BASELINE_FAILURE_RATE,
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
        // At a failing host all `count + 1` onsets are equally likely, and at most one of them gives these answers.
        let has_onset = failures.windows(2).all(|pair| pair[0] <= pair[1]);
        let onset_likelihood = if has_onset {
            1.0 / (count + 1) as f64
        } else {
            0.0
        };
        let good = flags.failing_hosts * onset_likelihood
            + (1.0 - flags.failing_hosts) * at_rate(BASELINE_FAILURE_RATE);
        (at_rate(flags.bad_build_failures) / good).ln()
    }
}

/// Draws from a Poisson distribution by Knuth's method of multiplying uniform fractions.
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

/// Formats the rows as a table, preceded by the assumptions of the model.
pub fn text(flags: &SoloEvidenceFlags) -> String {
    let mut text = format!(
        "{} routers, each sends to {} of {} canary hosts; good build: a fraction {} of the hosts start to fail every \
         command; bad build: a fraction {} of the answers fail;\nfraction of good builds rolled back: at most {}\n\
         answers a router   bad builds found alone   together\n",
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
            row.answers, row.found_alone, row.found_together
        );
    }
    text
}
