//! Compares two sets of results over the same scenarios: paired differences, with the 95% confidence interval of the
//! mean.

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use thiserror::Error;

use crate::store::StoredResult;

/// Column heads of [`rows`].
pub const HEAD: [&str; 7] = [
    "figure",
    "days",
    "first",
    "second",
    "difference",
    "from",
    "to",
];

/// Bootstrap resamples for an interval, of which 100 lie beyond each end.
const RESAMPLES: usize = 4000;

/// The reciprocal of the fraction of resampled means below the interval, and of that above it: 2.5% each.
const INVERSE_TAIL_FRACTION: usize = 40;

/// The seed of the resampling, fixed so that the same differences give the same interval.
const RESAMPLING_SEED: u64 = 7;

/// Two sides cannot be compared.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum CompareError {
    /// The sides have not played the same scenarios, or have played none.
    #[error(
        "the sides must have played the same runs: the first has {first}, the second {second}, {common} in common"
    )]
    DifferentRuns {
        /// The number of runs of the first side.
        first: usize,
        /// The number of runs of the second side.
        second: usize,
        /// The number of runs that both sides have.
        common: usize,
    },
}

/// A figure of both sides and its mean difference: the second side minus the first.
#[derive(Clone, Debug, PartialEq)]
pub struct Difference {
    /// The name of the figure.
    pub figure: &'static str,
    /// The number of pairs of runs.
    pub runs: usize,
    /// The mean of the first side.
    pub first: f64,
    /// The mean of the second side.
    pub second: f64,
    /// The mean difference.
    pub mean: f64,
    /// The 95% confidence interval of the mean difference.
    pub interval: Interval,
}

/// A 95% confidence interval of a mean.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Interval {
    /// The lower bound.
    pub low: f64,
    /// The upper bound.
    pub high: f64,
}

impl Interval {
    /// Computes the interval of the mean of the differences by the percentile bootstrap (Efron, 1979). The differences
    /// are taken as independent draws from one distribution over the compared scenarios, which is not normal.
    pub fn of_mean(differences: &[f64]) -> Self {
        let mut rng = StdRng::seed_from_u64(RESAMPLING_SEED);
        let count = differences.len();
        let mut means: Vec<f64> = (0..RESAMPLES)
            .map(|_| {
                let resample = (0..count).map(|_| differences[rng.random_range(0..count)]);
                resample.sum::<f64>() / count as f64
            })
            .collect();
        means.sort_by(f64::total_cmp);
        Interval {
            low: means[RESAMPLES / INVERSE_TAIL_FRACTION],
            high: means[RESAMPLES - 1 - RESAMPLES / INVERSE_TAIL_FRACTION],
        }
    }
}

/// A figure to compare.
struct Figure {
    name: &'static str,
    value: fn(&StoredResult) -> f64,
}

const FIGURES: [Figure; 6] = [
    Figure {
        name: "service",
        value: |stored| stored.report.service,
    },
    Figure {
        name: "worst 10 s",
        value: |stored| stored.report.worst_ten_seconds,
    },
    Figure {
        name: "p99 ms",
        value: |stored| stored.report.p99_ms,
    },
    Figure {
        name: "good builds sent back",
        value: |stored| f64::from(stored.report.false_backs),
    },
    Figure {
        name: "bad builds missed",
        value: |stored| f64::from(stored.report.misses),
    },
    Figure {
        name: "rules broken",
        value: |stored| stored.report.broken.len() as f64,
    },
];

/// The results of both sides for the same scenario.
struct Pair<'a> {
    first: &'a StoredResult,
    second: &'a StoredResult,
}

/// Computes the differences of all figures, the second side minus the first, over pairs of the same run.
///
/// # Errors
/// The sides have not played the same scenarios, or have played none.
pub fn compare(
    first: &[StoredResult],
    second: &[StoredResult],
) -> Result<Vec<Difference>, CompareError> {
    let pairs: Vec<Pair> = first
        .iter()
        .filter_map(|first| {
            let second = second.iter().find(|second| is_same_run(first, second))?;
            Some(Pair { first, second })
        })
        .collect();
    if pairs.len() != first.len() || pairs.len() != second.len() || pairs.is_empty() {
        return Err(CompareError::DifferentRuns {
            first: first.len(),
            second: second.len(),
            common: pairs.len(),
        });
    }
    let difference = |figure: &Figure| figure.difference(&pairs);
    Ok(FIGURES.iter().map(difference).collect())
}

/// Returns whether two results are of the same run. Strategy and overrides may differ: they are what is compared.
fn is_same_run(first: &StoredResult, second: &StoredResult) -> bool {
    first.scenario == second.scenario && first.size == second.size && first.seed == second.seed
}

impl Figure {
    fn difference(&self, pairs: &[Pair]) -> Difference {
        let count = pairs.len() as f64;
        let value = self.value;
        let differences: Vec<f64> = pairs
            .iter()
            .map(|pair| value(pair.second) - value(pair.first))
            .collect();
        Difference {
            figure: self.name,
            runs: pairs.len(),
            first: pairs.iter().map(|pair| value(pair.first)).sum::<f64>() / count,
            second: pairs.iter().map(|pair| value(pair.second)).sum::<f64>() / count,
            mean: differences.iter().sum::<f64>() / count,
            interval: Interval::of_mean(&differences),
        }
    }
}

/// Formats the differences as rows under [`HEAD`].
pub fn rows(differences: &[Difference]) -> Vec<Vec<String>> {
    let row = |difference: &Difference| {
        let number = |value: f64| format!("{value:.4}");
        vec![
            difference.figure.to_string(),
            difference.runs.to_string(),
            number(difference.first),
            number(difference.second),
            number(difference.mean),
            number(difference.interval.low),
            number(difference.interval.high),
        ]
    };
    differences.iter().map(row).collect()
}
