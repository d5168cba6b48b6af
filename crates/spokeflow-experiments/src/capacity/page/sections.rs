//! Sections that are not made of rows: opening, sizes without a mechanism, control machines, lease bounds, services and
//! routers, evidence, measured lines.

use super::super::evidence::{self, StageEvidence};
use super::super::fit::Form;
use super::super::lease::LeaseBounds;
use super::super::placement::assign_machines;
use super::super::row::{format_number, Unit};
use super::super::service_assignment::ServiceAssignment;
use super::super::slopes::{Line, Point, MAX_EXTRAPOLATION_FACTOR, MIN_POINTS};
use super::{table, Page};

/// Smaller expected numbers of routers are printed as "under" this value.
const MIN_PRINTED_ROUTERS: f64 = 0.01;

impl Page<'_> {
    pub(super) fn opening(&self) -> String {
        format!(
            "# Capacity: what \"{}\" costs today\n\n\
             What each role of the deployment has to carry at the target, against its budget, computed from measured lines and \
             from nothing else. A row without a measured line says \"not measured\". Printed by\n\n    {}\n\n\
             so that another target is a changed file (`docs/operate/capacity.md`). Measured on one small machine over \
             loopback: ratios between sizes carry over, times do not.\n",
            self.target.name, self.command
        )
    }

    /// Returns the section on sizes of the target that no setting of the current programs represents.
    pub(super) fn sizes_without_mechanism(&self) -> String {
        let fleet = &self.target.fleet;
        let row = |size: &str, count: f64, why: &str| {
            [size.to_string(), format_number(count), why.to_string()]
        };
        let rows = vec![
            row(
                "services",
                fleet.services,
                "missing: one `ServiceConfig`, one host list and one release for a router process; several services need several \
                 routers and several sets of voters",
            ),
            row("routes", fleet.routes, "missing: no setting of `spokeflow-router` or `spokeflow-settings` names a route"),
        ];
        format!(
            "## Sizes that nothing carries\n\nThese have no ratio: there is no mechanism to hold them against.\n\n{}",
            table(["size", "target", "today"], rows)
        )
    }

    pub(super) fn control_machines(&self) -> String {
        let placed = assign_machines(self.target);
        let rows = placed.iter().map(|group| {
            let duty = group.duty.name().to_string();
            [
                group.region.to_string(),
                duty,
                group.machines.to_string(),
                group.duty.mechanism().to_string(),
            ]
        });
        let mut text = String::from("## The control machines\n\n");
        text += &table(
            ["region", "what it does", "machines", "carried by"],
            rows.collect(),
        );
        text += "\nWhat a loss costs:\n\n";
        text + &table(["lost", "cost", "mechanism"], self.losses())
    }

    pub(super) fn lease_bounds(&self) -> String {
        let bounds = LeaseBounds::from_target(self.target);
        let allowed = self.target.load.change_bound_seconds;
        let row = |what: &str, how: &str, seconds: f64| {
            [
                what.to_string(),
                how.to_string(),
                format!("{} s", format_number(seconds)),
                format_number(seconds / allowed),
            ]
        };
        let rows = vec![
            row("lease T", "`--lease`", bounds.lease_duration),
            row(
                "a router holds a grant",
                "T x (1 - drift), by its clock, from the request",
                bounds.holder_duration,
            ),
            row(
                "it asks again after",
                "a third of that",
                bounds.renewal_interval,
            ),
            row(
                "the leader waits",
                "T x (1 + drift), by its clock, from its answer",
                bounds.granter_duration,
            ),
            row(
                "two contradicting acts last at most",
                "T: `LeaseTerms::longest_contradiction`",
                bounds.longest_contradiction,
            ),
            row(
                "offer to in force, nothing fails",
                "the leader's wait, messages aside",
                bounds.in_force_after,
            ),
            row(
                "offer to in force, the leader lost",
                "wait + two silences + the new leader's wait",
                bounds.in_force_after_with_election,
            ),
        ];
        format!(
            "## How long two routers may contradict each other\n\nThe argument is in `docs/agreement.md`, \"The bound\". A region \
             that is apart acts on no lease after one lease, so that the bound holds in it too; but no change reaches it before \
             it is back, {} h at the longest. What an act needs to reach a host comes on top.\n\n{}",
            format_number(self.target.faults.region_apart_hours),
            table(["what", "how", "time", &format!("of {} s allowed", format_number(allowed))], rows)
        )
    }

    pub(super) fn services_and_routers(&self) -> String {
        let mean = self.target.mean_requests();
        let peak = self.target.load.peak_requests_per_second;
        let rows = ServiceAssignment::all(self.target)
            .into_iter()
            .map(|assignment| {
                [
                    assignment.name.to_string(),
                    format_number(assignment.services_per_router),
                    format_number(assignment.routers_per_service),
                    format_number(assignment.hosts_per_router),
                    Unit::PerSecond.text(assignment.service_requests_per_second(mean)),
                    Unit::PerSecond.text(assignment.service_requests_per_second(peak)),
                    Unit::PerSecond.text(assignment.router_requests_per_second(peak)),
                ]
            });
        let head = [
            "assumption",
            "services at a router",
            "routers of a service",
            "hosts in its tables",
            "requests of a service at a router, mean",
            "at the peak",
            "all requests at a router, peak",
        ];
        format!(
            "## How services meet routers\n\nThe target does not say it. Both ends are worked out; sizes of services are skewed, so \
             that the largest is taken as well. Services are alike in the first two rows.\n\n{}",
            table(head, rows.collect())
        )
    }

    pub(super) fn evidence(&self) -> String {
        let mut text = format!(
            "## What routers can know of a build\n\nA router votes a build back by {} answers of its own at the least \
             (`ENOUGH_ANSWERS`), and by {} where it is late at every one (`CONVICTS`). A stage lasts as long as \
             `Router::verdict` waits where one vote is enough: the bake time and a second ({} s), up to three times that where \
             a mean router has too few answers. Mean traffic; routers by a Poisson count. Counts of the release controller, \
             where it tells them, add to this (`docs/design.md`).\n",
            format_number(evidence::ENOUGH_ANSWERS),
            format_number(evidence::CONVICTS),
            format_number(self.target.terms.stage_bake_seconds + evidence::SECONDS_AFTER_BAKE)
        );
        for assignment in ServiceAssignment::all(self.target) {
            let stages = evidence::stages(self.target, &assignment, self.target.mean_requests());
            text += &format!(
                "\n{} ({} routers):\n\n",
                assignment.name,
                format_number(assignment.routers_per_service)
            );
            let head = [
                "stage",
                "part of the traffic",
                "answers/s, one router",
                "all routers",
                "one router in the stage",
                "stage lasts",
                "enough after",
                "convicts after",
                "routers with enough",
                "that convict",
                "verdict by own answers",
            ];
            text += &table(head, stages.iter().map(stage_row).collect());
        }
        text
    }

    pub(super) fn measured_lines(&self) -> String {
        let mut text = format!(
            "## Measured lines\n\nPoints from runs; the fit is computed here, its residual is the largest share by which it misses \
             a point. A measured size is read as measured, any other by the fit. Fewer than {MIN_POINTS} sizes and uses beyond \
             {} times the largest are marked where they are used.\n\n",
            format_number(MAX_EXTRAPOLATION_FACTOR)
        );
        if self.slopes.lines.is_empty() {
            return text + "None yet.\n";
        }
        let (listed, others): (Vec<&Line>, Vec<&Line>) = self
            .slopes
            .lines
            .iter()
            .partition(|line| self.is_listed(line));
        text += &format!(
            "Named here: the {} lines that a row rests on, and what was measured of the same before a change. The other {} are \
             in the file of lines only.\n\n",
            listed.len(),
            others.len()
        );
        let head = [
            "line",
            "unit",
            "points (size: value, least-most)",
            "fit",
            "residual",
            "held",
            "command",
            "run",
            "date",
        ];
        text += &table(head, listed.into_iter().map(line_row).collect());
        text
    }

    /// Returns whether the page lists the line: a row uses it, or it was measured before a change of the program (file
    /// name with `before`) and a row uses another line of the same quantity.
    fn is_listed(&self, line: &Line) -> bool {
        let mut used_line_ids = self
            .rows
            .iter()
            .flat_map(|row| &row.cells)
            .flat_map(|cell| &cell.estimate.lines);
        let replaces_line = |other: &&Line| {
            let key = |l: &Line| (l.role, l.quantity.clone(), l.phase.clone(), l.per.clone());
            key(other) == key(line) && line.run.contains("before")
        };
        used_line_ids.any(|id| {
            *id == line.id
                || self
                    .slopes
                    .lines
                    .iter()
                    .filter(|l| l.id == *id)
                    .any(|l| replaces_line(&l))
        })
    }
}

/// Formats numbers as a list separated by commas.
pub(super) fn join_numbers<const N: usize>(values: [f64; N]) -> String {
    values.map(format_number).join(", ")
}

/// Formats an expected number of routers.
fn format_router_count(routers: f64) -> String {
    if routers < MIN_PRINTED_ROUTERS {
        return format!("under {MIN_PRINTED_ROUTERS}");
    }
    format_number(routers)
}

fn stage_row(stage: &StageEvidence) -> [String; 11] {
    [
        stage.stage.to_string(),
        format_number(stage.canary_traffic),
        format_number(stage.answers_per_second),
        format_number(stage.fleet_answers_per_second),
        format_number(stage.answers),
        Unit::Seconds.text(stage.duration),
        Unit::Seconds.text(stage.enough_answers_after),
        Unit::Seconds.text(stage.rollback_evidence_after),
        format_router_count(stage.routers_with_enough_answers),
        format_router_count(stage.routers_with_rollback_evidence),
        stage.verdict().to_string(),
    ]
}

fn line_row(line: &Line) -> [String; 9] {
    let fit = line.fit();
    let form = fit.map_or("none".into(), |fit| form_text(fit.form, &line.per));
    let caution = line
        .caution()
        .map_or(String::new(), |caution| format!("; {caution}"));
    let fixed: Vec<String> = line
        .fixed
        .iter()
        .map(|(name, value)| format!("{name} {value}"))
        .collect();
    [
        line.id.clone(),
        line.unit.clone(),
        line.points
            .iter()
            .map(point_text)
            .collect::<Vec<_>>()
            .join("; "),
        form + &caution,
        fit.map_or("-".into(), |fit| {
            format!("{}%", format_number(fit.residual * 100.0))
        }),
        fixed.join(", "),
        format!("`{}`", line.command),
        format!("`runs/{}`", line.run),
        line.date.clone(),
    ]
}

fn point_text(point: &Point) -> String {
    let spread = match (point.min, point.max) {
        (Some(min), Some(max)) if min < max => {
            format!(" ({}-{})", format_number(min), format_number(max))
        }
        _ => String::new(),
    };
    format!(
        "{}: {}{spread}",
        format_number(point.size),
        format_number(point.value)
    )
}

fn form_text(form: Form, per: &str) -> String {
    match form {
        Form::Linear { intercept, slope } => {
            format!(
                "{} + {} x {per}",
                format_number(intercept),
                format_number(slope)
            )
        }
        Form::Power { factor, exponent } => {
            format!(
                "{} x {per}^{}",
                format_number(factor),
                format_number(exponent)
            )
        }
    }
}
