//! Two ways to play the same days: paired differences, with the interval that holds their mean 95 times in 100.

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use crate::store::Stored;

#[derive(Clone, Debug, PartialEq)]
pub struct Difference {
    pub what: &'static str,
    pub days: usize,
    pub first: f64,
    pub second: f64,
    pub mean: f64,
    pub low: f64,
    pub high: f64,
}

const DRAWS: usize = 4000;

/// By drawing the pairs anew, from a fixed seed: differences of days are neither alike nor normal.
fn interval(differences: &[f64]) -> (f64, f64) {
    let mut rng = StdRng::seed_from_u64(7);
    let n = differences.len();
    let mut means: Vec<f64> = (0..DRAWS)
        .map(|_| {
            (0..n)
                .map(|_| differences[rng.random_range(0..n)])
                .sum::<f64>()
                / n as f64
        })
        .collect();
    means.sort_by(f64::total_cmp);
    (means[DRAWS / 40], means[DRAWS - 1 - DRAWS / 40])
}

type Figure = (&'static str, fn(&Stored) -> f64);

const FIGURES: [Figure; 6] = [
    ("service", |s| s.report.service),
    ("worst 10 s", |s| s.report.worst_ten_seconds),
    ("p99 ms", |s| s.report.p99_ms),
    ("good builds sent back", |s| f64::from(s.report.false_backs)),
    ("bad builds missed", |s| f64::from(s.report.misses)),
    ("rules broken", |s| s.report.broken.len() as f64),
];

/// The second less the first, day by day. Errors: they have not played the same days.
pub fn compare(first: &[Stored], second: &[Stored]) -> Result<Vec<Difference>, String> {
    let day = |s: &Stored| (s.day.clone(), s.size.clone(), s.seed);
    let pairs: Vec<(&Stored, &Stored)> = first
        .iter()
        .filter_map(|a| Some((a, second.iter().find(|b| day(b) == day(a))?)))
        .collect();
    if pairs.len() != first.len() || pairs.len() != second.len() || pairs.is_empty() {
        return Err(format!(
            "{} and {} days, {} of them the same",
            first.len(),
            second.len(),
            pairs.len()
        ));
    }
    let n = pairs.len() as f64;
    let difference = |(what, of): &Figure| {
        let differences: Vec<f64> = pairs.iter().map(|(a, b)| of(b) - of(a)).collect();
        let (low, high) = interval(&differences);
        Difference {
            what,
            days: pairs.len(),
            first: pairs.iter().map(|p| of(p.0)).sum::<f64>() / n,
            second: pairs.iter().map(|p| of(p.1)).sum::<f64>() / n,
            mean: differences.iter().sum::<f64>() / n,
            low,
            high,
        }
    };
    Ok(FIGURES.iter().map(difference).collect())
}

pub const HEAD: [&str; 7] = [
    "figure",
    "days",
    "first",
    "second",
    "difference",
    "from",
    "to",
];

pub fn rows(all: &[Difference]) -> Vec<Vec<String>> {
    let number = |n: f64| format!("{n:.4}");
    let row = |d: &Difference| {
        let figures = [d.first, d.second, d.mean, d.low, d.high].map(number);
        [
            vec![d.what.to_string(), d.days.to_string()],
            figures.to_vec(),
        ]
        .concat()
    };
    all.iter().map(row).collect()
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn an_interval_holds_the_mean_and_narrows_with_more_days() {
        let few: Vec<f64> = (0..8).map(|n| f64::from(n) - 3.0).collect();
        let many: Vec<f64> = (0..200).map(|n| f64::from(n % 8) - 3.0).collect();
        let (few, many) = (interval(&few), interval(&many));
        assert!(few.0 < 0.5 && few.1 > 0.5 && many.0 < 0.5 && many.1 > 0.5);
        assert!(many.1 - many.0 < 0.5 * (few.1 - few.0));
        assert_eq!(interval(&[0.25; 5]), (0.25, 0.25));
    }
}
