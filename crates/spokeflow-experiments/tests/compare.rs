//! The confidence interval of paired differences.

use spokeflow_experiments::compare::Interval;

#[test]
fn interval_contains_the_mean_and_narrows_with_more_runs() {
    let few: Vec<f64> = (0..8).map(|index| f64::from(index) - 3.0).collect();
    let many: Vec<f64> = (0..200).map(|index| f64::from(index % 8) - 3.0).collect();
    let (few, many) = (Interval::of_mean(&few), Interval::of_mean(&many));
    assert!(few.low < 0.5 && few.high > 0.5 && many.low < 0.5 && many.high > 0.5);
    assert!(many.high - many.low < 0.5 * (few.high - few.low));
    let of_equal = Interval::of_mean(&[0.25; 5]);
    assert_eq!((of_equal.low, of_equal.high), (0.25, 0.25));
}
