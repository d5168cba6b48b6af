//! Fits of measured lines, and the values that lines give at sizes that were not measured.

use spokeflow_experiments::capacity::{Fit, Form, Line, Point, Role};

fn line(points: &[(f64, f64)]) -> Line {
    let point = |&(size, value): &(f64, f64)| Point {
        size,
        value,
        min: None,
        max: None,
    };
    let text = || "x".to_string();
    Line {
        id: text(),
        role: Role::Voter,
        quantity: text(),
        unit: text(),
        per: "hosts".into(),
        phase: text(),
        fixed: Default::default(),
        points: points.iter().map(point).collect(),
        command: text(),
        run: text(),
        date: text(),
    }
}

#[test]
fn points_on_a_line_get_a_linear_fit() {
    let fit = Fit::from_points(
        &[100.0, 1000.0, 10_000.0, 33_000.0].map(|size| (size, 85.0 + 19.0 * size)),
    )
    .unwrap();
    let Form::Linear { intercept, slope } = fit.form else {
        panic!("expected a linear fit, got {fit:?}")
    };
    assert!(
        (slope - 19.0).abs() < 1e-9 && (intercept - 85.0).abs() < 1e-6 && fit.residual < 1e-9,
        "{fit:?}"
    );
}

#[test]
fn points_on_a_power_function_get_a_power_fit() {
    let sizes = [20.0, 120.0, 300.0, 1000.0, 4000.0, 12_000.0];
    let fit = Fit::from_points(&sizes.map(|size: f64| (size, 0.02 * size.powf(1.75)))).unwrap();
    let Form::Power { factor, exponent } = fit.form else {
        panic!("expected a power fit, got {fit:?}")
    };
    assert!(
        (exponent - 1.75).abs() < 1e-9 && (factor - 0.02).abs() < 1e-9,
        "{fit:?}"
    );
}

#[test]
fn residual_is_the_largest_relative_error() {
    let fit = Fit::from_points(&[(1.0, 100.0), (2.0, 100.0), (3.0, 100.0), (4.0, 120.0)]).unwrap();
    let errors = [(1.0, 100.0), (2.0, 100.0), (3.0, 100.0), (4.0, 120.0)]
        .map(|(size, value): (f64, f64)| (fit.form.at(size) - value).abs() / value);
    let largest = errors.into_iter().fold(0.0, f64::max);
    assert!(
        fit.residual > 0.01 && (fit.residual - largest).abs() < 1e-12,
        "{fit:?}"
    );
}

#[test]
fn measured_size_returns_the_measured_value() {
    let line = line(&[(1.0, 10.0), (2.0, 25.0), (3.0, 30.0), (4.0, 40.0)]);
    assert_eq!(line.at(2.0).unwrap().value, 25.0);
}

#[test]
fn single_point_gives_no_value_at_other_sizes() {
    let line = line(&[(10.0, 5.0)]);
    assert!(line.fit().is_none() && line.at(11.0).is_none());
    assert!(line.at(10.0).unwrap().has_few_points);
    assert_eq!(line.caution(), Some("one point only"));
}

#[test]
fn readings_mark_far_extrapolations_and_lines_with_few_sizes() {
    let three = line(&[(1.0, 1.0), (2.0, 2.0), (3.0, 3.0)]);
    assert!(three.at(5.0).unwrap().has_few_points);
    let four = line(&[(1.0, 1.0), (2.0, 2.0), (3.0, 3.0), (4.0, 4.0)]);
    assert!(
        !four.at(16.0).unwrap().is_far_extrapolation && four.at(16.1).unwrap().is_far_extrapolation
    );
    assert!(!four.at(16.1).unwrap().has_few_points && four.caution().is_none());
}

#[test]
fn zero_values_are_fitted_and_falling_lines_give_no_value_below_zero() {
    let zeros = line(&[(1.0, 0.0), (2.0, 0.0), (3.0, 0.0), (4.0, 0.0)]);
    assert_eq!(zeros.at(100.0).unwrap().value, 0.0);
    let falling = line(&[(1.0, 4.0), (2.0, 3.0), (3.0, 2.0), (4.0, 1.0)]);
    assert!(falling.at(3.5).unwrap().value > 0.0);
    assert!(
        falling.at(50.0).is_none(),
        "a cost of 0 or less should not be returned"
    );
}
