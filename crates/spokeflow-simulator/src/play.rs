//! Runs a scenario, and gives what came of it.

use spokeflow_scenario::check::{check, RuleConfig};
use spokeflow_scenario::observation::Observation;
use spokeflow_scenario::report::Report;
use spokeflow_scenario::scenario::Scenario;
use spokeflow_scenario::Micros;

use crate::strategy::StrategyKind;
use crate::world::World;

/// Event is told of a day while it is played.
pub trait Watch {
    /// A second has passed; `at` counts from the first command.
    fn passed(&mut self, _at: Micros) {}
    /// Something was observed.
    fn seen(&mut self, _at: Micros, _seen: &Observation) {}
}

impl Watch for () {}

/// Keeps the trace, for the messages beside what is broken.
impl Watch for Vec<(Micros, Observation)> {
    fn seen(&mut self, at: Micros, seen: &Observation) {
        self.push((at, seen.clone()));
    }
}

/// What came of a run.
pub struct ScenarioRun {
    /// The report.
    pub report: Report,
    /// Events handled.
    pub events: u64,
    /// Simulated microseconds, lead and last answers among them.
    pub span: Micros,
    /// The most events, attempts and hosts' slots kept at a time.
    pub most_kept: [usize; 3],
}

/// Runs a scenario to its end. Only the first breaks of a rule carry messages, where `explain` says so: the scenario
/// is then run a second time, which gives the same.
pub fn play(day: &Scenario, who: StrategyKind, explain: bool) -> ScenarioRun {
    let mut played = play_with(day, who, &mut ());
    if explain && !played.report.broken.is_empty() {
        let mut trace: Vec<(Micros, Observation)> = Vec::new();
        play_with(day, who, &mut trace);
        let mut broken = check(&RuleConfig::of(day), &trace);
        for (to, from) in played.report.broken.iter_mut().zip(broken.iter_mut()) {
            to.messages = std::mem::take(&mut from.messages);
        }
    }
    played
}

/// Runs a scenario once and tells `watch` of it.
pub fn play_with(day: &Scenario, who: StrategyKind, watch: &mut dyn Watch) -> ScenarioRun {
    World::new(day.clone(), who).run(watch)
}
