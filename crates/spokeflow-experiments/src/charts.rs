//! Charts as SVG and PNG. Text needs a font in the bitmap: one comes with a library, so that any machine draws
//! the same.

use std::path::Path;
use std::sync::Once;

use plotters::coord::Shift;
use plotters::prelude::*;
use plotters::style::register_font;

use crate::tables::Group;
use spokeflow_scenario::report::Report;

static FONT: Once = Once::new();
const SIZE: (u32, u32) = (1100, 620);
const COLORS: [RGBColor; 6] = [
    RGBColor(0, 90, 160),
    RGBColor(190, 60, 30),
    RGBColor(30, 130, 70),
    RGBColor(130, 90, 160),
    RGBColor(160, 120, 0),
    RGBColor(90, 90, 90),
];

fn color(n: usize) -> RGBColor {
    COLORS[n % COLORS.len()]
}

/// Draws the same twice: `name.svg` and `name.png` in the folder. Errors: the file cannot be written.
fn both(
    folder: &Path,
    name: &str,
    size: (u32, u32),
    draw: impl Fn(&mut dyn FnMut(&mut dyn Canvas) -> Result<(), String>) -> Result<(), String>,
) -> Result<(), String> {
    FONT.call_once(|| {
        let _ = register_font(
            "sans-serif",
            FontStyle::Normal,
            epaint_default_fonts::UBUNTU_LIGHT,
        );
    });
    let (svg, png) = (
        folder.join(format!("{name}.svg")),
        folder.join(format!("{name}.png")),
    );
    draw(&mut |canvas: &mut dyn Canvas| canvas.paint_svg(&svg, size))?;
    draw(&mut |canvas: &mut dyn Canvas| canvas.paint_png(&png, size))
}

/// A chart that can be drawn on either kind of area.
trait Canvas {
    fn paint_svg(&mut self, file: &Path, size: (u32, u32)) -> Result<(), String>;
    fn paint_png(&mut self, file: &Path, size: (u32, u32)) -> Result<(), String>;
}

macro_rules! canvas {
    ($chart:ident) => {
        impl Canvas for $chart<'_> {
            fn paint_svg(&mut self, file: &Path, size: (u32, u32)) -> Result<(), String> {
                self.paint(&SVGBackend::new(file, size).into_drawing_area())
            }
            fn paint_png(&mut self, file: &Path, size: (u32, u32)) -> Result<(), String> {
                self.paint(&BitMapBackend::new(file, size).into_drawing_area())
            }
        }
    };
}

struct Services<'a> {
    groups: &'a [Group],
}

canvas!(Services);

/// Service by day, one mark for each who, with its interval.
impl Services<'_> {
    fn paint<B: DrawingBackend>(&self, area: &DrawingArea<B, Shift>) -> Result<(), String> {
        let whole = |e: DrawingAreaErrorKind<B::ErrorType>| e.to_string();
        area.fill(&WHITE).map_err(whole)?;
        // Size and terms are named where there are several.
        let several = |n: usize| {
            self.groups
                .iter()
                .any(|g| g.name[n] != self.groups[0].name[n])
        };
        let shown: Vec<usize> = [0, 1, 2]
            .into_iter()
            .filter(|n| *n == 0 || several(*n))
            .collect();
        let label = |g: &Group| {
            shown
                .iter()
                .map(|n| g.name[*n].as_str())
                .collect::<Vec<_>>()
                .join(" ")
        };
        let mut days: Vec<String> = self.groups.iter().map(label).collect();
        days.dedup();
        let mut who: Vec<&str> = self.groups.iter().map(|g| g.name[3].as_str()).collect();
        who.sort_unstable();
        who.dedup();
        let least = self
            .groups
            .iter()
            .map(|g| g.service - g.service_by)
            .fold(1.0, f64::min);
        let floor = (least * 20.0).floor() / 20.0;
        let mut chart = ChartBuilder::on(area)
            .caption(
                "Service by day (mean and 95% interval, simulated)",
                ("sans-serif", 24),
            )
            .margin(16)
            .x_label_area_size(56)
            .y_label_area_size(70)
            .build_cartesian_2d(-0.6..days.len() as f64 - 0.4, floor.clamp(0.0, 0.95)..1.0)
            .map_err(whole)?;
        chart
            .configure_mesh()
            .disable_x_mesh()
            .x_labels(days.len() * 2 + 1)
            .x_label_formatter(&|x| {
                let near = (x - x.round()).abs() < 0.02 && *x > -0.5;
                days.get(x.round() as usize)
                    .filter(|_| near)
                    .cloned()
                    .unwrap_or_default()
            })
            .y_desc("importance answered in time, part of all asked")
            .x_desc("day")
            .label_style(("sans-serif", 15))
            .axis_desc_style(("sans-serif", 17))
            .draw()
            .map_err(whole)?;
        for (n, name) in who.iter().enumerate() {
            let style = color(n).filled();
            let off = (n as f64 - (who.len() as f64 - 1.0) / 2.0) * 0.7 / who.len().max(1) as f64;
            let at = |g: &Group| {
                days.iter()
                    .position(|d| *d == label(g))
                    .map_or(0.0, |x| x as f64 + off)
            };
            let of: Vec<&Group> = self.groups.iter().filter(|g| g.name[3] == *name).collect();
            let bars = of.iter().map(|g| {
                let (low, high) = (
                    (g.service - g.service_by).max(floor),
                    (g.service + g.service_by).min(1.0),
                );
                PathElement::new(vec![(at(g), low), (at(g), high)], color(n).stroke_width(2))
            });
            chart.draw_series(bars).map_err(whole)?;
            chart
                .draw_series(of.iter().map(|g| Circle::new((at(g), g.service), 5, style)))
                .map_err(whole)?
                .label(*name)
                .legend(move |(x, y)| Circle::new((x + 8, y), 5, color(n).filled()));
        }
        chart
            .configure_series_labels()
            .position(SeriesLabelPosition::LowerRight)
            .background_style(WHITE.mix(0.85))
            .border_style(BLACK.mix(0.3))
            .label_font(("sans-serif", 16))
            .draw()
            .map_err(whole)?;
        area.present().map_err(whole)
    }
}

pub fn services(folder: &Path, name: &str, groups: &[Group]) -> Result<(), String> {
    if groups.is_empty() {
        return Ok(());
    }
    let width = (groups.len() as u32 * 32).clamp(SIZE.0, 2400);
    both(folder, name, (width, SIZE.1), |paint| {
        paint(&mut Services { groups })
    })
}

struct OverTime<'a> {
    report: &'a Report,
}

canvas!(OverTime);

type Line<'a> = (String, Vec<(f64, f64)>);

impl OverTime<'_> {
    fn panel<B: DrawingBackend>(
        &self,
        area: &DrawingArea<B, Shift>,
        title: &str,
        unit: &str,
        lines: &[Line],
    ) -> Result<(), String> {
        let whole = |e: DrawingAreaErrorKind<B::ErrorType>| e.to_string();
        let last = self
            .report
            .over_time
            .last()
            .map_or(1.0, |s| s.at_s)
            .max(1.0);
        let top = lines
            .iter()
            .flat_map(|l| &l.1)
            .map(|p| p.1)
            .fold(1e-9, f64::max);
        let mut chart = ChartBuilder::on(area)
            .caption(title, ("sans-serif", 18))
            .margin(8)
            .x_label_area_size(36)
            .y_label_area_size(64)
            .build_cartesian_2d(0.0..last, 0.0..top * 1.08)
            .map_err(whole)?;
        chart
            .configure_mesh()
            .light_line_style(WHITE)
            .x_desc("seconds of the day")
            .y_desc(unit)
            .label_style(("sans-serif", 13))
            .axis_desc_style(("sans-serif", 14))
            .draw()
            .map_err(whole)?;
        for (n, (name, points)) in lines.iter().enumerate() {
            chart
                .draw_series(LineSeries::new(
                    points.iter().copied(),
                    color(n).stroke_width(2),
                ))
                .map_err(whole)?
                .label(name)
                .legend(move |(x, y)| {
                    PathElement::new(vec![(x, y), (x + 16, y)], color(n).stroke_width(2))
                });
        }
        if lines.len() > 1 {
            chart
                .configure_series_labels()
                .position(SeriesLabelPosition::LowerRight)
                .background_style(WHITE.mix(0.85))
                .label_font(("sans-serif", 13))
                .draw()
                .map_err(whole)?;
        }
        Ok(())
    }

    fn paint<B: DrawingBackend>(&self, area: &DrawingArea<B, Shift>) -> Result<(), String> {
        let whole = |e: DrawingAreaErrorKind<B::ErrorType>| e.to_string();
        area.fill(&WHITE).map_err(whole)?;
        let r = self.report;
        let panels = area.split_evenly((3, 2));
        let by =
            |names: Vec<&String>,
             of: &dyn Fn(&spokeflow_scenario::report::Interval, usize) -> [f64; 2]| {
                let line = |(n, name): (usize, &&String)| {
                    let points = r.over_time.iter().filter_map(|s| {
                        let [asked, good] = of(s, n);
                        (asked > 0.0).then(|| (s.at_s, good / asked))
                    });
                    (name.to_string(), points.collect())
                };
                names.iter().enumerate().map(line).collect::<Vec<Line>>()
            };
        let ops = by(r.by_op.iter().map(|o| &o.0).collect(), &|s, n| {
            [s.asked_by_op[n], s.good_by_op[n]]
        });
        let customers = by(r.by_customer.iter().map(|o| &o.0).collect(), &|s, n| {
            [s.asked_by_customer[n], s.good_by_customer[n]]
        });
        let one = |name: &str, f: &dyn Fn(&spokeflow_scenario::report::Interval) -> f64| -> Line {
            (
                name.to_string(),
                r.over_time.iter().map(|s| (s.at_s, f(s))).collect(),
            )
        };
        self.panel(
            &panels[0],
            "Service by op type",
            "part answered in time",
            &ops,
        )?;
        self.panel(
            &panels[1],
            "Service by customer",
            "part answered in time",
            &customers,
        )?;
        let flight = [one("in flight", &|s| s.in_flight as f64)];
        self.panel(
            &panels[2],
            "Held by hosts",
            "commands, most in the stretch",
            &flight,
        )?;
        let cold = [one("cold", &|s| s.cold_hosts as f64)];
        self.panel(
            &panels[3],
            "Cold hosts",
            "hosts, most in the stretch",
            &cold,
        )?;
        let trial = [one("trial", &|s| {
            s.at_trial as f64 / (s.deliveries as f64).max(1.0)
        })];
        self.panel(
            &panels[4],
            "At the build on trial",
            "part of the deliveries",
            &trial,
        )?;
        let votes = [
            one("on", &|s| s.votes_on as f64),
            one("back", &|s| s.votes_back as f64),
        ];
        self.panel(&panels[5], "Votes", "votes in the stretch", &votes)?;
        area.present().map_err(whole)
    }
}

/// One day over time, six panels.
pub fn over_time(folder: &Path, name: &str, report: &Report) -> Result<(), String> {
    both(folder, name, (1300, 1050), |paint| {
        paint(&mut OverTime { report })
    })
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn both_forms_are_written_and_hold_the_names() {
        let folder = std::env::temp_dir().join(format!("spokeflow-charts-{}", std::process::id()));
        std::fs::create_dir_all(&folder).unwrap();
        let group = |who: &str, service| Group {
            name: ["bad-day", "small", "usual", who].map(ToString::to_string),
            days: 3,
            service,
            service_by: 0.02,
            ..Group::default()
        };
        services(&folder, "s", &[group("engine", 0.9), group("random", 0.7)]).unwrap();
        let svg = std::fs::read_to_string(folder.join("s.svg")).unwrap();
        assert!(
            svg.contains("engine") && svg.contains("bad-day") && svg.contains("part of all asked")
        );
        assert!(std::fs::read(folder.join("s.png"))
            .unwrap()
            .starts_with(b"\x89PNG"));
        std::fs::remove_dir_all(&folder).unwrap();
    }
}
