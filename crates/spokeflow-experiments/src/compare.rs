//! Two ways to play the same scenarios: paired differences, with the interval that holds their mean 95 times in 100.

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use thiserror::Error;

use crate::store::Stored;

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

/// Resamples of an interval, of which a hundred lie beyond each end.
const RESAMPLES: usize = 4000;

/// Of the resampled means, one in so many lies below the interval, and one above.
const ONE_OUTSIDE_IN: usize = 40;

/// Any fixed seed: the same differences give the same interval.
const RESAMPLING_SEED: u64 = 7;

/// Why two sides cannot be compared.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum CompareError {
    /// They have not played the same scenarios.
    #[error("{first} and {second} days, {common} of them the same")]
    DifferentRuns {
        /// Runs of the first side.
        first: usize,
        /// Runs of the second side.
        second: usize,
        /// Runs that both have.
        common: usize,
    },
}

/// A figure of both sides, and its mean difference: the second less the first.
#[derive(Clone, Debug, PartialEq)]
pub struct Difference {
    /// Name of the figure.
    pub figure: &'static str,
    /// Pairs of runs.
    pub days: usize,
    /// Mean of the first side.
    pub first: f64,
    /// Mean of the second side.
    pub second: f64,
    /// Mean difference.
    pub mean: f64,
    /// The interval of the mean difference.
    pub interval: Interval,
}

/// Bounds that hold a mean 95 times in 100.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Interval {
    /// Lower bound.
    pub low: f64,
    /// Upper bound.
    pub high: f64,
}

impl Interval {
    /// Of the mean of the differences, by the percentile bootstrap (Efron, 1979): differences of runs are neither
    /// alike nor normal.
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
            low: means[RESAMPLES / ONE_OUTSIDE_IN],
            high: means[RESAMPLES - 1 - RESAMPLES / ONE_OUTSIDE_IN],
        }
    }
}

/// A figure that is compared.
struct Figure {
    name: &'static str,
    value: fn(&Stored) -> f64,
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

/// The same scenario, played by both sides.
struct Pair<'a> {
    first: &'a Stored,
    second: &'a Stored,
}

/// The second less the first, run by run.
///
/// # Errors
/// They have not played the same scenarios, or none.
pub fn compare(first: &[Stored], second: &[Stored]) -> Result<Vec<Difference>, CompareError> {
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

/// Strategies and overrides are what is compared.
fn is_same_run(first: &Stored, second: &Stored) -> bool {
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
            days: pairs.len(),
            first: pairs.iter().map(|pair| value(pair.first)).sum::<f64>() / count,
            second: pairs.iter().map(|pair| value(pair.second)).sum::<f64>() / count,
            mean: differences.iter().sum::<f64>() / count,
            interval: Interval::of_mean(&differences),
        }
    }
}

/// The differences as rows under [`HEAD`].
pub fn rows(differences: &[Difference]) -> Vec<Vec<String>> {
    let row = |difference: &Difference| {
        let number = |value: f64| format!("{value:.4}");
        vec![
            difference.figure.to_string(),
            difference.days.to_string(),
            number(difference.first),
            number(difference.second),
            number(difference.mean),
            number(difference.interval.low),
            number(difference.interval.high),
        ]
    };
    differences.iter().map(row).collect()
}
