//! Charts as SVG and PNG. Text in a bitmap needs a font: one comes with a library, so that any machine draws
//! the same.

mod over_time;
mod service;

use std::error::Error as StdError;
use std::path::{Path, PathBuf};
use std::sync::Once;

use plotters::coord::Shift;
use plotters::prelude::*;
use plotters::style::register_font;
use thiserror::Error;

pub use over_time::over_time;
pub use service::services;

static FONT: Once = Once::new();

const COLORS: [RGBColor; 6] = [
    RGBColor(0, 90, 160),
    RGBColor(190, 60, 30),
    RGBColor(30, 130, 70),
    RGBColor(130, 90, 160),
    RGBColor(160, 120, 0),
    RGBColor(90, 90, 90),
];

/// A chart that could not be written.
#[derive(Debug, Error)]
#[error("{}: {source}", file.display())]
pub struct ChartError {
    /// The file that was to hold it.
    pub file: PathBuf,
    /// What the drawing library says.
    pub source: Box<dyn StdError + Send + Sync>,
}

impl ChartError {
    fn new(file: &Path, source: impl StdError + Send + Sync + 'static) -> Self {
        ChartError {
            file: file.to_path_buf(),
            source: source.into(),
        }
    }
}

/// Width and height in pixels.
type Size = (u32, u32);

/// What painting on an area of a backend answers.
type Painted<B> = Result<(), DrawingAreaErrorKind<<B as DrawingBackend>::ErrorType>>;

/// A chart that any backend can draw.
trait Chart {
    fn paint<B: DrawingBackend>(&self, area: &DrawingArea<B, Shift>) -> Painted<B>;
}

/// The color of a series, by its place among the others.
fn color(series: usize) -> RGBColor {
    COLORS[series % COLORS.len()]
}

/// Draws the same twice: `name.svg` and `name.png` in the folder.
fn write_both(folder: &Path, name: &str, size: Size, chart: &impl Chart) -> Result<(), ChartError> {
    FONT.call_once(|| {
        // A font that cannot be read is an error of the first text that is drawn.
        let _ = register_font(
            "sans-serif",
            FontStyle::Normal,
            epaint_default_fonts::UBUNTU_LIGHT,
        );
    });
    let svg = folder.join(format!("{name}.svg"));
    let svg_area = SVGBackend::new(&svg, size).into_drawing_area();
    chart
        .paint(&svg_area)
        .map_err(|source| ChartError::new(&svg, source))?;
    let png = folder.join(format!("{name}.png"));
    let png_area = BitMapBackend::new(&png, size).into_drawing_area();
    chart
        .paint(&png_area)
        .map_err(|source| ChartError::new(&png, source))
}
