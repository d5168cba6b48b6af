//! Fits measured points by a straight line or a power function, and computes the error of the fit.

/// A power function replaces the line only if its residual is below this part of the line's residual.
const MAX_POWER_RESIDUAL_RATIO: f64 = 0.5;
/// A line with at most this residual is used without trying a power function.
const ACCEPTED_LINE_RESIDUAL: f64 = 0.05;

/// How a quantity grows with a size.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Form {
    /// `intercept + slope * size`
    Linear {
        /// Value at size 0.
        intercept: f64,
        /// Increase of the value for each unit of size.
        slope: f64,
    },
    /// `factor * size ^ exponent`
    Power {
        /// Value at size 1.
        factor: f64,
        /// Exponent of the size; 1 means proportional growth.
        exponent: f64,
    },
}

impl Form {
    /// Returns the value at a size.
    pub fn at(&self, size: f64) -> f64 {
        match self {
            Form::Linear { intercept, slope } => intercept + slope * size,
            Form::Power { factor, exponent } => factor * size.powf(*exponent),
        }
    }
}

/// A fitted form and its largest error at a measured point.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Fit {
    /// The fitted form.
    pub form: Form,
    /// The largest relative error at a measured point; absolute where the measured value is 0.
    pub residual: f64,
}

impl Fit {
    fn new(form: Form, points: &[(f64, f64)]) -> Self {
        let error = |&(size, value): &(f64, f64)| (form.at(size) - value).abs() / scale(value);
        Fit {
            form,
            residual: points.iter().map(error).fold(0.0, f64::max),
        }
    }

    /// Fits points of different sizes; returns `None` for fewer than two points. Errors are weighted relative to the
    /// measured value, so that small values count as much as large ones.
    pub fn from_points(points: &[(f64, f64)]) -> Option<Fit> {
        if points.len() < 2 {
            return None;
        }
        let line = Fit::new(linear(points), points);
        let all_positive = points
            .iter()
            .all(|(size, value)| *size > 0.0 && *value > 0.0);
        if !all_positive || line.residual <= ACCEPTED_LINE_RESIDUAL {
            return Some(line);
        }
        let power = Fit::new(power(points), points);
        Some(
            if power.residual < MAX_POWER_RESIDUAL_RATIO * line.residual {
                power
            } else {
                line
            },
        )
    }
}

/// Returns the divisor that makes an error at this value relative. It is 1 for a value of 0, whose error stays
/// absolute.
fn scale(value: f64) -> f64 {
    if value == 0.0 {
        1.0
    } else {
        value.abs()
    }
}

fn linear(points: &[(f64, f64)]) -> Form {
    let weighted = points
        .iter()
        .map(|(size, value)| (*size, *value, scale(*value).powi(-2)));
    let (intercept, slope) = least_squares(weighted);
    Form::Linear { intercept, slope }
}

fn power(points: &[(f64, f64)]) -> Form {
    let logarithms = points
        .iter()
        .map(|(size, value)| (size.ln(), value.ln(), 1.0));
    let (intercept, exponent) = least_squares(logarithms);
    Form::Power {
        factor: intercept.exp(),
        exponent,
    }
}

/// Returns the intercept and slope of the weighted least-squares line through items of x, y and weight.
fn least_squares(items: impl Iterator<Item = (f64, f64, f64)> + Clone) -> (f64, f64) {
    let total: f64 = items.clone().map(|(_, _, w)| w).sum();
    let mean_x = items.clone().map(|(x, _, w)| w * x).sum::<f64>() / total;
    let mean_y = items.clone().map(|(_, y, w)| w * y).sum::<f64>() / total;
    let variance: f64 = items
        .clone()
        .map(|(x, _, w)| w * (x - mean_x).powi(2))
        .sum();
    let covariance: f64 = items.map(|(x, y, w)| w * (x - mean_x) * (y - mean_y)).sum();
    let slope = if variance == 0.0 {
        0.0
    } else {
        covariance / variance
    };
    (mean_y - slope * mean_x, slope)
}
