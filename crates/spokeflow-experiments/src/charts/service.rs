//! A chart of service by scenario, with a mark and its 95% interval for each strategy.

use std::path::Path;

use plotters::coord::types::RangedCoordf64;
use plotters::coord::Shift;
use plotters::prelude::*;

use super::{color, write_svg_and_png, Chart, ChartError, PaintResult, Size};
use crate::tables::{Group, GroupKey};

/// The least size of the chart in pixels.
const SIZE: Size = (1100, 620);

/// The width for each group in pixels, until the chart has its maximum width.
const GROUP_WIDTH: u32 = 32;

/// The maximum width of the chart in pixels.
const MAX_WIDTH: u32 = 2400;

/// The fraction of the distance between two labels over which the marks of a label are spread.
const MARK_SPREAD: f64 = 0.7;

type ServicePlot<'a, B> = ChartContext<'a, B, Cartesian2d<RangedCoordf64, RangedCoordf64>>;

struct Services<'a> {
    groups: &'a [Group],
    /// The labels of the horizontal axis, in the order of the groups.
    labels: Vec<String>,
    /// The names of the strategies, sorted.
    strategies: Vec<&'a str>,
    /// The lower end of the vertical axis, before it is clamped.
    floor: f64,
}

impl<'a> Services<'a> {
    fn new(groups: &'a [Group]) -> Self {
        let mut labels: Vec<String> = groups.iter().map(|group| label(groups, group)).collect();
        labels.dedup();
        let mut strategies: Vec<&str> = groups
            .iter()
            .map(|group| group.key.strategy.as_str())
            .collect();
        strategies.sort_unstable();
        strategies.dedup();
        let lowest = groups
            .iter()
            .map(|group| group.service - group.service_half_width)
            .fold(1.0, f64::min);
        Services {
            groups,
            labels,
            strategies,
            floor: (lowest * 20.0).floor() / 20.0,
        }
    }

    fn draw_axes<B: DrawingBackend>(&self, plot: &mut ServicePlot<B>) -> PaintResult<B> {
        plot.configure_mesh()
            .disable_x_mesh()
            .x_labels(self.labels.len() * 2 + 1)
            .x_label_formatter(&|x| {
                let is_near = (x - x.round()).abs() < 0.02 && *x > -0.5;
                self.labels
                    .get(x.round() as usize)
                    .filter(|_| is_near)
                    .cloned()
                    .unwrap_or_default()
            })
            .y_desc("priority weight answered in time, fraction of all due")
            .x_desc("day")
            .label_style(("sans-serif", 15))
            .axis_desc_style(("sans-serif", 17))
            .draw()
    }

    /// Returns the horizontal position of a group's mark: beside those of the other strategies, centered on its label.
    fn position(&self, group: &Group, series: usize) -> f64 {
        let count = self.strategies.len();
        let offset =
            (series as f64 - (count as f64 - 1.0) / 2.0) * MARK_SPREAD / count.max(1) as f64;
        let own_label = label(self.groups, group);
        self.labels
            .iter()
            .position(|label| *label == own_label)
            .map_or(0.0, |index| index as f64 + offset)
    }

    fn draw_strategy<B: DrawingBackend>(
        &self,
        plot: &mut ServicePlot<B>,
        series: usize,
        strategy: &str,
    ) -> PaintResult<B> {
        let own: Vec<&Group> = self
            .groups
            .iter()
            .filter(|group| group.key.strategy == strategy)
            .collect();
        let intervals = own.iter().map(|group| {
            let at = self.position(group, series);
            let low = (group.service - group.service_half_width).max(self.floor);
            let high = (group.service + group.service_half_width).min(1.0);
            PathElement::new(vec![(at, low), (at, high)], color(series).stroke_width(2))
        });
        plot.draw_series(intervals)?;
        let means = own.iter().map(|group| {
            let at = self.position(group, series);
            Circle::new((at, group.service), 5, color(series).filled())
        });
        plot.draw_series(means)?
            .label(strategy)
            .legend(move |(x, y)| Circle::new((x + 8, y), 5, color(series).filled()));
        Ok(())
    }
}

impl Chart for Services<'_> {
    fn paint<B: DrawingBackend>(&self, area: &DrawingArea<B, Shift>) -> PaintResult<B> {
        area.fill(&WHITE)?;
        let mut plot = ChartBuilder::on(area)
            .caption(
                "Service by day (mean and 95% interval, simulated)",
                ("sans-serif", 24),
            )
            .margin(16)
            .x_label_area_size(56)
            .y_label_area_size(70)
            .build_cartesian_2d(
                -0.6..self.labels.len() as f64 - 0.4,
                self.floor.clamp(0.0, 0.95)..1.0,
            )?;
        self.draw_axes(&mut plot)?;
        for (series, strategy) in self.strategies.iter().enumerate() {
            self.draw_strategy(&mut plot, series, strategy)?;
        }
        plot.configure_series_labels()
            .position(SeriesLabelPosition::LowerRight)
            .background_style(WHITE.mix(0.85))
            .border_style(BLACK.mix(0.3))
            .label_font(("sans-serif", 16))
            .draw()?;
        area.present()
    }
}

/// Returns the label of a group: the scenario's name, with size and overrides if the groups differ in them.
fn label(groups: &[Group], group: &Group) -> String {
    const OPTIONAL_PARTS: [fn(&GroupKey) -> &String; 2] = [|key| &key.size, |key| &key.overrides];
    let mut label = group.key.scenario.clone();
    for part in OPTIONAL_PARTS {
        let is_distinctive = groups
            .iter()
            .any(|other| part(&other.key) != part(&groups[0].key));
        if is_distinctive {
            label.push(' ');
            label.push_str(part(&group.key));
        }
    }
    label
}

/// Draws the service of the groups into `name.svg` and `name.png` in the folder. Writes nothing if there are no groups.
///
/// # Errors
/// A file cannot be written.
pub fn draw_services(folder: &Path, name: &str, groups: &[Group]) -> Result<(), ChartError> {
    if groups.is_empty() {
        return Ok(());
    }
    let width = (groups.len() as u32 * GROUP_WIDTH).clamp(SIZE.0, MAX_WIDTH);
    write_svg_and_png(folder, name, (width, SIZE.1), &Services::new(groups))
}
