//! Searches drawn scenarios for those that break a rule or lose most against full sight, and shrinks them: what
//! can be left out without losing what was found is left out.

use std::sync::atomic::{AtomicUsize, Ordering};

use spokeflow_scenario::scenario::{BuildDefect, CancelPolicy, Scenario};
use spokeflow_scenario::{Micros, SECOND};
use spokeflow_simulator::{play, StrategyKind};

/// A smaller scenario shows the same loss where it has this part of it: leaving anything out costs a little.
const LOSS_FRACTION: f64 = 0.75;

/// Time left after the last fault or build, in which its effects show; also the least length.
const AFTERMATH: Micros = 10 * SECOND;

/// Skew of keys in a scenario without one of its own.
const DEFAULT_KEY_SKEW: f64 = 0.7;

/// What a scenario was found for. Its `Debug` form is printed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Finding {
    /// This rule is broken.
    Rule(u8),
    /// So much service is lost against full sight.
    Loss(f64),
}

/// A scenario that was searched, and what it was found for.
#[derive(Clone, Debug)]
pub struct Candidate {
    /// As it was drawn.
    pub scenario: Scenario,
    /// What its run showed.
    pub finding: Finding,
}

/// Plays the scenario with the engine, and where no rule is broken, with full sight too.
pub fn evaluate(scenario: &Scenario) -> Finding {
    let engine = play(scenario, StrategyKind::Engine, false).report;
    if let Some(broken) = engine.broken.first() {
        return Finding::Rule(broken.rule);
    }
    let full_sight = play(scenario, StrategyKind::FullSight, false).report;
    Finding::Loss(full_sight.service - engine.service)
}

/// Evaluates all scenarios, `jobs` at a time. The worst come first, equals by their seeds.
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
    /// Whether a smaller scenario shows the same.
    fn is_shown_by(self, scenario: &Scenario) -> bool {
        match self {
            Finding::Rule(rule) => play(scenario, StrategyKind::Engine, false)
                .report
                .broken
                .iter()
                .any(|broken| broken.rule == rule),
            Finding::Loss(loss) => {
                matches!(evaluate(scenario), Finding::Loss(still) if still >= LOSS_FRACTION * loss)
            }
        }
    }

    /// By which findings are ordered: any broken rule is worse than any loss, which is at most 1, and the rules
    /// of small numbers are the gravest.
    pub fn severity(self) -> f64 {
        match self {
            Finding::Rule(rule) => 10.0 - f64::from(rule),
            Finding::Loss(loss) => loss,
        }
    }
}

/// The smallest scenario so far, and how many were played to find it.
struct Shrinking {
    best: Scenario,
    finding: Finding,
    played: usize,
    most_played: usize,
}

/// A smaller scenario that still shows what was found; at most `most_played` are played for it.
pub fn shrink(scenario: &Scenario, finding: Finding, most_played: usize) -> Scenario {
    let mut shrinking = Shrinking {
        best: scenario.clone(),
        finding,
        played: 0,
        most_played,
    };
    loop {
        let mut smaller = shrinking.drop_faults();
        smaller |= shrinking.drop_builds();
        smaller |= shrinking.drop_load_features();
        smaller |= shrinking.shorten();
        if !smaller || shrinking.played >= most_played {
            return shrinking.best;
        }
    }
}

/// Each step answers whether it made the scenario smaller.
impl Shrinking {
    /// Takes the change where the finding still shows and plays are left.
    fn attempt(&mut self, change: impl FnOnce(&mut Scenario)) -> bool {
        let mut smaller = self.best.clone();
        change(&mut smaller);
        self.played += 1;
        let shows = self.played <= self.most_played && self.finding.is_shown_by(&smaller);
        if shows {
            self.best = smaller;
        }
        shows
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

    /// The first build stays: it is the one that runs at the beginning.
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

    /// To two thirds, as long as the last fault and build have their aftermath.
    fn shorten(&mut self) -> bool {
        let faults_end = self.best.faults.iter().map(|fault| fault.at + fault.lasts);
        let builds_offered = self.best.builds.iter().map(|build| build.offered);
        let last_event = faults_end.chain(builds_offered).max().unwrap_or(0);
        let shorter = (last_event + AFTERMATH)
            .max(self.best.length * 2 / 3)
            .max(AFTERMATH);
        let rounded = shorter / SECOND * SECOND;
        rounded < self.best.length && self.attempt(|scenario| scenario.length = rounded)
    }
}

fn serialized(scenario: &Scenario) -> String {
    serde_json::to_string(scenario).unwrap_or_default()
}

/// The scenario as flags of `run`.
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

/// Flags of the load's features, but for those that it lacks.
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

/// What made this scenario a hard one, in a few words.
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
