//! Charts as SVG and PNG. Text in a bitmap needs a font: the font is taken from a library, so that every machine draws
//! the same image.

mod over_time;
mod service;

use std::error::Error as StdError;
use std::path::{Path, PathBuf};
use std::sync::Once;

use plotters::coord::Shift;
use plotters::prelude::*;
use plotters::style::register_font;
use thiserror::Error;

pub use over_time::draw_over_time;
pub use service::draw_services;

/// Guards the registration of the font.
static FONT: Once = Once::new();

/// The colors of series, repeated if a chart has more series.
const COLORS: [RGBColor; 6] = [
    RGBColor(0, 90, 160),
    RGBColor(190, 60, 30),
    RGBColor(30, 130, 70),
    RGBColor(130, 90, 160),
    RGBColor(160, 120, 0),
    RGBColor(90, 90, 90),
];

/// A chart could not be written.
#[derive(Debug, Error)]
#[error("cannot write the chart {}: {source}", file.display())]
pub struct ChartError {
    /// The file of the chart.
    pub file: PathBuf,
    /// The error of the drawing library.
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

/// The result of painting on an area of a backend.
type PaintResult<B> = Result<(), DrawingAreaErrorKind<<B as DrawingBackend>::ErrorType>>;

/// A chart that any backend can draw.
trait Chart {
    fn paint<B: DrawingBackend>(&self, area: &DrawingArea<B, Shift>) -> PaintResult<B>;
}

/// Returns the color of the series with this index.
fn color(series: usize) -> RGBColor {
    COLORS[series % COLORS.len()]
}

/// Draws the chart into `name.svg` and `name.png` in the folder.
fn write_svg_and_png(
    folder: &Path,
    name: &str,
    size: Size,
    chart: &impl Chart,
) -> Result<(), ChartError> {
    FONT.call_once(|| {
        // If the font cannot be registered, drawing the first text fails with an error.
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
