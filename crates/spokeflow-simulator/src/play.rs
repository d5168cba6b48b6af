//! Runs a scenario and returns its report.

use spokeflow_scenario::check::{check, RuleConfig};
use spokeflow_scenario::observation::Observation;
use spokeflow_scenario::report::Report;
use spokeflow_scenario::scenario::Scenario;
use spokeflow_scenario::Micros;

use crate::strategy::StrategyKind;
use crate::world::World;

/// Receives progress and observations of a run while it is simulated.
pub trait Watch {
    /// Called about once per simulated second; `at` counts from the first command, and is negative before it.
    fn on_second(&mut self, _at: Micros) {}
    /// Called for each observation, in order; `at` counts from the start of the simulation.
    fn on_observation(&mut self, _at: Micros, _observation: &Observation) {}
}

impl Watch for () {}

/// Collects the trace, from which the messages around a violation are taken.
impl Watch for Vec<(Micros, Observation)> {
    fn on_observation(&mut self, at: Micros, observation: &Observation) {
        self.push((at, observation.clone()));
    }
}

/// The result of a run.
pub struct ScenarioRun {
    /// The report.
    pub report: Report,
    /// Events handled.
    pub events: u64,
    /// Simulated microseconds, including the warm-up before the first command and the wait for the last answers.
    pub span: Micros,
    /// The largest numbers of scheduled events, open attempts and host slots at any time, in this order.
    pub most_kept: [usize; 3],
}

/// Runs a scenario to its end. With `explain`, the first 20 violations, counted over all rules, carry the messages
/// around them: if a rule was broken, the scenario is run a second time with its trace collected, which gives the same
/// result.
pub fn play(scenario: &Scenario, kind: StrategyKind, explain: bool) -> ScenarioRun {
    let mut run = play_with(scenario, kind, &mut ());
    if explain && !run.report.broken.is_empty() {
        let mut trace: Vec<(Micros, Observation)> = Vec::new();
        play_with(scenario, kind, &mut trace);
        let mut broken = check(&RuleConfig::of(scenario), &trace);
        for (to, from) in run.report.broken.iter_mut().zip(broken.iter_mut()) {
            to.messages = std::mem::take(&mut from.messages);
        }
    }
    run
}

/// Runs a scenario once and passes its progress and observations to `watch`.
pub fn play_with(scenario: &Scenario, kind: StrategyKind, watch: &mut dyn Watch) -> ScenarioRun {
    World::new(scenario.clone(), kind).run(watch)
}
