//! Fits measured points by a line or a power, and says how far off the fit is.

/// Least share by which a power has to be nearer than a line before it is taken.
const NEARER: f64 = 0.5;
/// A line that misses no point by more than this share is kept.
const GOOD_LINE: f64 = 0.05;

/// How a quantity grows with a size.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Form {
    /// `intercept + slope * size`
    Linear {
        /// Value at size 0.
        intercept: f64,
        /// Growth by one.
        slope: f64,
    },
    /// `factor * size ^ exponent`
    Power {
        /// Value at size 1.
        factor: f64,
        /// 1 grows as the size does.
        exponent: f64,
    },
}

impl Form {
    /// The value at a size.
    pub fn at(&self, size: f64) -> f64 {
        match self {
            Form::Linear { intercept, slope } => intercept + slope * size,
            Form::Power { factor, exponent } => factor * size.powf(*exponent),
        }
    }
}

/// A form, and how far it misses a measured point at the most.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Fit {
    /// What was fitted.
    pub form: Form,
    /// The largest relative miss of a measured point.
    pub residual: f64,
}

impl Fit {
    fn new(form: Form, points: &[(f64, f64)]) -> Self {
        let miss = |&(size, value): &(f64, f64)| (form.at(size) - value).abs() / scale(value);
        Fit {
            form,
            residual: points.iter().map(miss).fold(0.0, f64::max),
        }
    }

    /// Fits points of different sizes; `None` where there are fewer than two. Points are weighed by their size, so
    /// that small ones count as much as large ones.
    pub fn of(points: &[(f64, f64)]) -> Option<Fit> {
        if points.len() < 2 {
            return None;
        }
        let line = Fit::new(linear(points), points);
        let positive = points
            .iter()
            .all(|(size, value)| *size > 0.0 && *value > 0.0);
        if !positive || line.residual <= GOOD_LINE {
            return Some(line);
        }
        let power = Fit::new(power(points), points);
        Some(if power.residual < NEARER * line.residual {
            power
        } else {
            line
        })
    }
}

/// What a miss at this value is a share of; a value of 0 is missed by an absolute amount.
fn scale(value: f64) -> f64 {
    if value == 0.0 {
        1.0
    } else {
        value.abs()
    }
}

fn linear(points: &[(f64, f64)]) -> Form {
    let weighed = points
        .iter()
        .map(|(size, value)| (*size, *value, scale(*value).powi(-2)));
    let (intercept, slope) = least_squares(weighed);
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

/// Intercept and slope of the weighed line of least squares. Items: x, y, weight.
fn least_squares(items: impl Iterator<Item = (f64, f64, f64)> + Clone) -> (f64, f64) {
    let total: f64 = items.clone().map(|(_, _, w)| w).sum();
    let mean_x = items.clone().map(|(x, _, w)| w * x).sum::<f64>() / total;
    let mean_y = items.clone().map(|(_, y, w)| w * y).sum::<f64>() / total;
    let spread: f64 = items
        .clone()
        .map(|(x, _, w)| w * (x - mean_x).powi(2))
        .sum();
    let common: f64 = items.map(|(x, y, w)| w * (x - mean_x) * (y - mean_y)).sum();
    let slope = if spread == 0.0 { 0.0 } else { common / spread };
    (mean_y - slope * mean_x, slope)
}
