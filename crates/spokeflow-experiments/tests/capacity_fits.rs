//! Fits of measured lines, and what they say at other sizes.

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
fn points_on_a_line_are_fitted_by_it() {
    let fit = Fit::of(&[100.0, 1000.0, 10_000.0, 33_000.0].map(|size| (size, 85.0 + 19.0 * size)))
        .unwrap();
    let Form::Linear { intercept, slope } = fit.form else {
        panic!("{fit:?}")
    };
    assert!(
        (slope - 19.0).abs() < 1e-9 && (intercept - 85.0).abs() < 1e-6 && fit.residual < 1e-9,
        "{fit:?}"
    );
}

#[test]
fn points_on_a_power_are_fitted_by_it() {
    let sizes = [20.0, 120.0, 300.0, 1000.0, 4000.0, 12_000.0];
    let fit = Fit::of(&sizes.map(|size: f64| (size, 0.02 * size.powf(1.75)))).unwrap();
    let Form::Power { factor, exponent } = fit.form else {
        panic!("{fit:?}")
    };
    assert!(
        (exponent - 1.75).abs() < 1e-9 && (factor - 0.02).abs() < 1e-9,
        "{fit:?}"
    );
}

#[test]
fn the_residual_is_the_largest_miss() {
    let fit = Fit::of(&[(1.0, 100.0), (2.0, 100.0), (3.0, 100.0), (4.0, 120.0)]).unwrap();
    let misses = [(1.0, 100.0), (2.0, 100.0), (3.0, 100.0), (4.0, 120.0)]
        .map(|(size, value): (f64, f64)| (fit.form.at(size) - value).abs() / value);
    let largest = misses.into_iter().fold(0.0, f64::max);
    assert!(
        fit.residual > 0.01 && (fit.residual - largest).abs() < 1e-12,
        "{fit:?}"
    );
}

#[test]
fn a_measured_size_is_read_as_measured() {
    let line = line(&[(1.0, 10.0), (2.0, 25.0), (3.0, 30.0), (4.0, 40.0)]);
    assert_eq!(line.at(2.0).unwrap().value, 25.0);
}

#[test]
fn one_point_says_nothing_of_another_size() {
    let line = line(&[(10.0, 5.0)]);
    assert!(line.fit().is_none() && line.at(11.0).is_none());
    assert!(line.at(10.0).unwrap().few);
    assert_eq!(line.caution(), Some("one point only"));
}

#[test]
fn uses_beyond_four_times_the_largest_size_and_lines_of_few_sizes_say_so() {
    let three = line(&[(1.0, 1.0), (2.0, 2.0), (3.0, 3.0)]);
    assert!(three.at(5.0).unwrap().few);
    let four = line(&[(1.0, 1.0), (2.0, 2.0), (3.0, 3.0), (4.0, 4.0)]);
    assert!(!four.at(16.0).unwrap().far && four.at(16.1).unwrap().far);
    assert!(!four.at(16.1).unwrap().few && four.caution().is_none());
}

#[test]
fn values_of_nothing_and_falling_lines_are_fitted_without_sense_being_lost() {
    let none = line(&[(1.0, 0.0), (2.0, 0.0), (3.0, 0.0), (4.0, 0.0)]);
    assert_eq!(none.at(100.0).unwrap().value, 0.0);
    let falling = line(&[(1.0, 4.0), (2.0, 3.0), (3.0, 2.0), (4.0, 1.0)]);
    assert!(falling.at(3.5).unwrap().value > 0.0);
    assert!(
        falling.at(50.0).is_none(),
        "no cost is nothing, or below it"
    );
}
