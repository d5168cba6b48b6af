//! Searches drawn scenarios for those that break a rule or lose the most service against full sight, and shrinks them:
//! removes every part without which the finding still shows.

use std::sync::atomic::{AtomicUsize, Ordering};

use spokeflow_scenario::scenario::{BuildDefect, CancelPolicy, Scenario};
use spokeflow_scenario::{Micros, SECOND};
use spokeflow_simulator::{play, StrategyKind};

/// The fraction of the original loss that a smaller scenario must still show. It is below 1 because removing any part
/// of a scenario reduces the loss a little.
const LOSS_FRACTION: f64 = 0.75;

/// The time that a shortened scenario keeps after the last build is offered and the last fault has ended, so that their
/// effects show; also the least length of a shortened scenario.
const SETTLE_TIME: Micros = 10 * SECOND;

/// The skew of keys that a shrunk scenario falls back to.
const DEFAULT_KEY_SKEW: f64 = 0.7;

/// The problem that the run of a scenario showed. Printed in its `Debug` form.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Finding {
    /// The engine broke the rule of this number.
    Rule(u8),
    /// The service of full sight minus that of the engine.
    Loss(f64),
}

/// A scenario of a search, and what its run showed.
#[derive(Clone, Debug)]
pub struct Candidate {
    /// The scenario as it was drawn.
    pub scenario: Scenario,
    /// The finding of its run.
    pub finding: Finding,
}

/// Plays the scenario with the engine and, if no rule is broken, with full sight as well.
pub fn evaluate(scenario: &Scenario) -> Finding {
    let engine = play(scenario, StrategyKind::Engine, false).report;
    if let Some(broken) = engine.broken.first() {
        return Finding::Rule(broken.rule);
    }
    let full_sight = play(scenario, StrategyKind::FullSight, false).report;
    Finding::Loss(full_sight.service - engine.service)
}

/// Evaluates all scenarios on `jobs` threads. Returns them with the most severe finding first, equal ones by seed.
pub fn search(scenarios: &[Scenario], jobs: usize) -> Vec<Candidate> {
    let next = AtomicUsize::new(0);
    let evaluate_next = || {
        let mut found = Vec::new();
        while let Some(scenario) = scenarios.get(next.fetch_add(1, Ordering::Relaxed)) {
            found.push(Candidate {
                scenario: scenario.clone(),
                finding: evaluate(scenario),
            });
        }
        found
    };
    let mut candidates: Vec<Candidate> = std::thread::scope(|scope| {
        let workers: Vec<_> = (0..jobs.max(1))
            .map(|_| scope.spawn(evaluate_next))
            .collect();
        workers
            .into_iter()
            .flat_map(|worker| worker.join().unwrap_or_default())
            .collect()
    });
    candidates.sort_by(|left, right| {
        let worst_first = right.finding.severity().total_cmp(&left.finding.severity());
        worst_first.then(left.scenario.seed.cmp(&right.scenario.seed))
    });
    candidates
}

impl Finding {
    /// Returns whether a smaller scenario shows the same finding.
    fn is_shown_by(self, scenario: &Scenario) -> bool {
        match self {
            Finding::Rule(rule) => play(scenario, StrategyKind::Engine, false)
                .report
                .broken
                .iter()
                .any(|broken| broken.rule == rule),
            Finding::Loss(loss) => {
                matches!(evaluate(scenario), Finding::Loss(remaining) if remaining >= LOSS_FRACTION * loss)
            }
        }
    }

    /// Returns the rank of the finding: a broken rule is more severe than any loss, which is at most 1, and a rule with
    /// a smaller number is more severe than one with a larger number.
    pub fn severity(self) -> f64 {
        match self {
            Finding::Rule(rule) => 10.0 - f64::from(rule),
            Finding::Loss(loss) => loss,
        }
    }
}

/// The state of a shrinking: the smallest scenario so far, and the number of smaller scenarios tried.
struct Shrinking {
    best: Scenario,
    finding: Finding,
    tried: usize,
    max_tries: usize,
}

/// Returns a smaller scenario that still shows the finding. Tries at most `max_tries` smaller scenarios.
pub fn shrink(scenario: &Scenario, finding: Finding, max_tries: usize) -> Scenario {
    let mut shrinking = Shrinking {
        best: scenario.clone(),
        finding,
        tried: 0,
        max_tries,
    };
    loop {
        let mut smaller = shrinking.drop_faults();
        smaller |= shrinking.drop_builds();
        smaller |= shrinking.drop_load_features();
        smaller |= shrinking.shorten();
        if !smaller || shrinking.tried >= max_tries {
            return shrinking.best;
        }
    }
}

/// Each step returns whether it made the scenario smaller.
impl Shrinking {
    /// Applies the change if the finding still shows and the limit of tries is not exceeded.
    fn attempt(&mut self, change: impl FnOnce(&mut Scenario)) -> bool {
        let mut smaller = self.best.clone();
        change(&mut smaller);
        self.tried += 1;
        let is_shown = self.tried <= self.max_tries && self.finding.is_shown_by(&smaller);
        if is_shown {
            self.best = smaller;
        }
        is_shown
    }

    fn drop_faults(&mut self) -> bool {
        let mut any = false;
        for index in (0..self.best.faults.len()).rev() {
            any |= self.attempt(|scenario| {
                scenario.faults.remove(index);
            });
        }
        any
    }

    /// Drops builds except the first, which runs at the beginning.
    fn drop_builds(&mut self) -> bool {
        let mut any = false;
        for index in (1..self.best.builds.len()).rev() {
            any |= self.attempt(|scenario| {
                scenario.builds.remove(index);
            });
        }
        any
    }

    fn drop_load_features(&mut self) -> bool {
        const DROPS: [fn(&mut Scenario); 6] = [
            |scenario| scenario.burst = 0.0,
            |scenario| scenario.cache_keys = 0,
            |scenario| scenario.thrash = 0.0,
            |scenario| {
                scenario.neighbours = 0;
                scenario.steal = 0.0;
            },
            |scenario| scenario.cancel = CancelPolicy::Stops,
            |scenario| scenario.key_skew = DEFAULT_KEY_SKEW,
        ];
        let mut any = false;
        for drop_feature in DROPS {
            let mut smaller = self.best.clone();
            drop_feature(&mut smaller);
            if serialized(&smaller) != serialized(&self.best) {
                any |= self.attempt(drop_feature);
            }
        }
        any
    }

    /// Shortens the scenario to two thirds, but not below [`SETTLE_TIME`] after the last fault or build.
    fn shorten(&mut self) -> bool {
        let faults_end = self.best.faults.iter().map(|fault| fault.at + fault.lasts);
        let builds_offered = self.best.builds.iter().map(|build| build.offered);
        let last_event = faults_end.chain(builds_offered).max().unwrap_or(0);
        let shorter = (last_event + SETTLE_TIME)
            .max(self.best.length * 2 / 3)
            .max(SETTLE_TIME);
        let rounded = shorter / SECOND * SECOND;
        rounded < self.best.length && self.attempt(|scenario| scenario.length = rounded)
    }
}

fn serialized(scenario: &Scenario) -> String {
    serde_json::to_string(scenario).unwrap_or_default()
}

/// Formats the scenario as flags of the subcommand `run`.
pub fn run_flags(scenario: &Scenario) -> String {
    let mut flags = vec![
        "--scenario plain --bare".to_string(),
        format!(
            "--seed {} --seconds {}",
            scenario.seed,
            scenario.length / SECOND
        ),
        format!(
            "--routers {} --hosts {} --rate {}",
            scenario.routers, scenario.hosts, scenario.rate
        ),
    ];
    if scenario.may_gossip {
        flags.push("--majority".into());
    }
    let builds = scenario.builds.iter().skip(1);
    flags.extend(builds.map(|build| format!("--build {build}")));
    let faults = scenario.faults.iter();
    flags.extend(faults.map(|fault| format!("--script {fault}")));
    flags.extend(load_flags(scenario));
    flags.push(format!("--key-skew {}", scenario.key_skew));
    if scenario.cancel != CancelPolicy::Stops {
        let policy = serde_json::to_value(scenario.cancel).ok();
        let name = policy
            .as_ref()
            .and_then(serde_json::Value::as_str)
            .unwrap_or_default();
        flags.push(format!("--cancel {name}"));
    }
    flags.join(" ")
}

/// Formats the load features that the scenario has as flags.
fn load_flags(scenario: &Scenario) -> Vec<String> {
    let miss_cost = if scenario.cache_keys > 0 {
        scenario.miss_cost
    } else {
        0.0
    };
    let features = [
        ("burst", scenario.burst),
        ("cache-keys", f64::from(scenario.cache_keys)),
        ("miss-cost", miss_cost),
        ("thrash", scenario.thrash),
        ("neighbours", f64::from(scenario.neighbours)),
        ("steal", scenario.steal),
    ];
    features
        .into_iter()
        .filter(|(_, value)| *value > 0.0)
        .map(|(flag, value)| format!("--{flag} {value}"))
        .collect()
}

/// Lists the defects of builds and the faults of the scenario.
pub fn summary(scenario: &Scenario) -> String {
    let defects = scenario
        .builds
        .iter()
        .skip(1)
        .filter(|build| build.defect != BuildDefect::None)
        .map(|build| format!("{:?}", build.defect));
    let faults = scenario.faults.iter().map(|fault| fault.kind.name());
    let all: Vec<String> = defects.chain(faults).collect();
    if all.is_empty() {
        "nothing".into()
    } else {
        all.join(" + ")
    }
}
