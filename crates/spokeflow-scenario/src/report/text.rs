//! The text form of a report.

use std::fmt::{self, Display, Formatter};

use super::{BuildSummary, Report, ReportedViolation};

/// Rules are numbered from 1 to this.
const RULES: u8 = 5;

impl Report {
    /// Returns the report as several lines of text.
    pub fn text(&self) -> String {
        ReportText(self).to_string()
    }
}

/// Displays a report as text.
struct ReportText<'a>(&'a Report);

impl Display for ReportText<'_> {
    fn fmt(&self, f: &mut Formatter) -> fmt::Result {
        let report = self.0;
        write_head(f, report)?;
        for build in &report.builds {
            write_build(f, build)?;
        }
        write_counts(f, report)?;
        write_service(f, report)?;
        for fault in &report.faults {
            writeln!(f, "  fault     {fault}")?;
        }
        for rule in 1..=RULES {
            write_rule(f, rule, &report.broken)?;
        }
        Ok(())
    }
}

fn write_head(f: &mut Formatter, report: &Report) -> fmt::Result {
    writeln!(
        f,
        "{}, seed {}, {:.0} s, {} routers, {} hosts",
        report.scenario, report.seed, report.seconds, report.routers, report.hosts
    )?;
    for fault in &report.troubles {
        writeln!(f, "  trouble   {fault}")?;
    }
    Ok(())
}

fn write_build(f: &mut Formatter, summary: &BuildSummary) -> fmt::Result {
    let BuildSummary {
        build,
        flaw,
        offered_s,
        end,
        after_s,
    } = summary;
    write!(
        f,
        "  build {build}   {flaw}, offered at {offered_s:.1} s: {end}"
    )?;
    if let Some(after) = after_s {
        write!(f, " {after:.1} s after its offer")?;
    }
    writeln!(f)
}

fn write_counts(f: &mut Formatter, report: &Report) -> fmt::Result {
    writeln!(
        f,
        "  commands  {}: {} acked, {} wrong, {} nacked, {} failed, {} given up, {} unreachable",
        report.commands,
        report.acked,
        report.wrong,
        report.nacked,
        report.failed,
        report.given_up,
        report.unreachable
    )?;
    writeln!(
        f,
        "  messages  {} tries, {} deliveries",
        report.attempts, report.deliveries
    )?;
    writeln!(
        f,
        "  times     p50 {:.0} ms, p99 {:.0} ms",
        report.p50_ms, report.p99_ms
    )
}

fn write_service(f: &mut Formatter, report: &Report) -> fmt::Result {
    writeln!(
        f,
        "  service   {} in time, worst 10 s {} ({})",
        percent(report.service),
        percent(report.worst_ten_seconds),
        named_percents(&report.by_op)
    )?;
    writeln!(f, "            {}", named_percents(&report.by_tenant))
}

fn write_rule(f: &mut Formatter, rule: u8, violations: &[ReportedViolation]) -> fmt::Result {
    let of_rule: Vec<_> = violations
        .iter()
        .filter(|violation| violation.rule == rule)
        .collect();
    let Some(first) = of_rule.first() else {
        return writeln!(f, "  rule {rule}    kept");
    };
    writeln!(f, "  rule {rule}    BROKEN {} times", of_rule.len())?;
    writeln!(
        f,
        "            first at {:.3} s: {}",
        first.at_s, first.what
    )?;
    for message in &first.messages {
        writeln!(f, "              {message}")?;
    }
    Ok(())
}

fn percent(fraction: f64) -> String {
    format!("{:.1}%", 100.0 * fraction)
}

fn named_percents(parts: &[(String, f64)]) -> String {
    let parts: Vec<String> = parts
        .iter()
        .map(|(name, fraction)| format!("{name} {}", percent(*fraction)))
        .collect();
    parts.join(", ")
}
