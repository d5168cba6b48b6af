//! A chart of one run over time, in six panels.

use std::path::Path;

use plotters::coord::Shift;
use plotters::prelude::*;
use spokeflow_scenario::report::{Interval, Report};

use super::{color, write_svg_and_png, Chart, ChartError, PaintResult, Size};

/// The size of the chart in pixels.
const SIZE: Size = (1300, 1050);
const PANEL_ROWS: usize = 3;
const PANEL_COLUMNS: usize = 2;

struct OverTime<'a> {
    report: &'a Report,
}

/// A line of a panel. A point is a time in seconds since the start of the scenario, and a value.
struct Line {
    name: String,
    points: Vec<(f64, f64)>,
}

struct Panel {
    title: &'static str,
    unit: &'static str,
    lines: Vec<Line>,
}

/// Priority weights of the commands of an interval.
struct PriorityWeight {
    /// Of the commands due.
    due: f64,
    /// Of the commands answered within the latency objective.
    good: f64,
}

impl OverTime<'_> {
    /// Returns the panels in the order in which they are drawn, row by row.
    fn panels(&self) -> [Panel; PANEL_ROWS * PANEL_COLUMNS] {
        let report = self.report;
        let operations = report.by_op.iter().map(|operation| &operation.0);
        let tenants = report.by_tenant.iter().map(|tenant| &tenant.0);
        [
            Panel {
                title: "Service by op type",
                unit: "fraction answered in time",
                lines: self.service_lines(operations, |interval, index| PriorityWeight {
                    due: interval.asked_by_op[index],
                    good: interval.good_by_op[index],
                }),
            },
            Panel {
                title: "Service by tenant",
                unit: "fraction answered in time",
                lines: self.service_lines(tenants, |interval, index| PriorityWeight {
                    due: interval.asked_by_tenant[index],
                    good: interval.good_by_tenant[index],
                }),
            },
            Panel {
                title: "Commands at hosts",
                unit: "commands, maximum per interval",
                lines: vec![self.line("in flight", |interval| interval.in_flight as f64)],
            },
            Panel {
                title: "Cold hosts",
                unit: "hosts, maximum per interval",
                lines: vec![self.line("cold", |interval| interval.cold_hosts as f64)],
            },
            Panel {
                title: "Deliveries to the canary",
                unit: "fraction of deliveries",
                lines: vec![self.line("trial", |interval| {
                    interval.at_trial as f64 / (interval.deliveries as f64).max(1.0)
                })],
            },
            Panel {
                title: "Votes",
                unit: "votes per interval",
                lines: vec![
                    self.line("on", |interval| interval.votes_on as f64),
                    self.line("back", |interval| interval.votes_back as f64),
                ],
            },
        ]
    }

    fn line(&self, name: &str, value: impl Fn(&Interval) -> f64) -> Line {
        let intervals = self.report.over_time.iter();
        Line {
            name: name.to_string(),
            points: intervals
                .map(|interval| (interval.at_s, value(interval)))
                .collect(),
        }
    }

    /// Returns a line of service for each name. An interval in which no commands were due has no point.
    fn service_lines<'n>(
        &self,
        names: impl Iterator<Item = &'n String>,
        weight: impl Fn(&Interval, usize) -> PriorityWeight,
    ) -> Vec<Line> {
        let line = |(index, name): (usize, &String)| {
            let intervals = self.report.over_time.iter();
            let points = intervals.filter_map(|interval| {
                let PriorityWeight { due, good } = weight(interval, index);
                (due > 0.0).then(|| (interval.at_s, good / due))
            });
            Line {
                name: name.clone(),
                points: points.collect(),
            }
        };
        names.enumerate().map(line).collect()
    }

    fn draw_panel<B: DrawingBackend>(
        &self,
        area: &DrawingArea<B, Shift>,
        panel: &Panel,
    ) -> PaintResult<B> {
        let last = self.report.over_time.last();
        let length = last.map_or(1.0, |interval| interval.at_s).max(1.0);
        let top = panel
            .lines
            .iter()
            .flat_map(|line| &line.points)
            .map(|point| point.1)
            .fold(1e-9, f64::max);
        let mut plot = ChartBuilder::on(area)
            .caption(panel.title, ("sans-serif", 18))
            .margin(8)
            .x_label_area_size(36)
            .y_label_area_size(64)
            .build_cartesian_2d(0.0..length, 0.0..top * 1.08)?;
        plot.configure_mesh()
            .light_line_style(WHITE)
            .x_desc("seconds of the run")
            .y_desc(panel.unit)
            .label_style(("sans-serif", 13))
            .axis_desc_style(("sans-serif", 14))
            .draw()?;
        for (series, line) in panel.lines.iter().enumerate() {
            let style = color(series).stroke_width(2);
            plot.draw_series(LineSeries::new(line.points.iter().copied(), style))?
                .label(&line.name)
                .legend(move |(x, y)| PathElement::new(vec![(x, y), (x + 16, y)], style));
        }
        if panel.lines.len() > 1 {
            plot.configure_series_labels()
                .position(SeriesLabelPosition::LowerRight)
                .background_style(WHITE.mix(0.85))
                .label_font(("sans-serif", 13))
                .draw()?;
        }
        Ok(())
    }
}

impl Chart for OverTime<'_> {
    fn paint<B: DrawingBackend>(&self, area: &DrawingArea<B, Shift>) -> PaintResult<B> {
        area.fill(&WHITE)?;
        let panel_areas = area.split_evenly((PANEL_ROWS, PANEL_COLUMNS));
        for (panel_area, panel) in panel_areas.iter().zip(&self.panels()) {
            self.draw_panel(panel_area, panel)?;
        }
        area.present()
    }
}

/// Draws one run over time into `name.svg` and `name.png` in the folder.
///
/// # Errors
/// A file cannot be written.
pub fn draw_over_time(folder: &Path, name: &str, report: &Report) -> Result<(), ChartError> {
    write_svg_and_png(folder, name, SIZE, &OverTime { report })
}
