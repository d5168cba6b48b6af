//! Searches drawn days for those that break a rule or lose most against full sight, and shrinks them: what can
//! be left out without losing what was found is left out.

use spokeflow_scenario::scenario::{BuildDefect, CancelPolicy, Scenario};
use spokeflow_scenario::{Micros, SECOND};
use spokeflow_simulator::{play, StrategyKind};

/// What a day was found for.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Found {
    /// This rule is broken.
    Rule(u8),
    /// So much service is lost against full sight.
    Loss(f64),
}

pub fn judge(day: &Scenario) -> Found {
    let report = play(day, StrategyKind::Engine, false).report;
    match report.broken.first() {
        Some(b) => Found::Rule(b.rule),
        None => {
            Found::Loss(play(day, StrategyKind::FullSight, false).report.service - report.service)
        }
    }
}

impl Found {
    /// Whether a smaller day shows the same.
    fn holds(self, day: &Scenario) -> bool {
        match self {
            Found::Rule(rule) => play(day, StrategyKind::Engine, false)
                .report
                .broken
                .iter()
                .any(|b| b.rule == rule),
            Found::Loss(loss) => matches!(judge(day), Found::Loss(l) if l >= 0.75 * loss),
        }
    }

    pub fn weight(self) -> f64 {
        match self {
            Found::Rule(rule) => 10.0 - f64::from(rule),
            Found::Loss(loss) => loss,
        }
    }
}

/// A smaller day that still shows what was found; at most so many days are played for it.
pub fn shrink(day: &Scenario, found: Found, most: usize) -> Scenario {
    let mut best = day.clone();
    let played = std::cell::Cell::new(0);
    let attempt = |best: &mut Scenario, smaller: Scenario| {
        played.set(played.get() + 1);
        let better = played.get() <= most && found.holds(&smaller);
        if better {
            *best = smaller;
        }
        better
    };
    loop {
        let mut any = false;
        for n in (0..best.faults.len()).rev() {
            let mut smaller = best.clone();
            smaller.faults.remove(n);
            any |= attempt(&mut best, smaller);
        }
        for n in (1..best.builds.len()).rev() {
            let mut smaller = best.clone();
            smaller.builds.remove(n);
            any |= attempt(&mut best, smaller);
        }
        let habits: [fn(&mut Scenario); 6] = [
            |d| d.burst = 0.0,
            |d| d.cache_keys = 0,
            |d| d.thrash = 0.0,
            |d| (d.neighbours, d.steal) = (0, 0.0),
            |d| d.cancel = CancelPolicy::Stops,
            |d| d.key_skew = 0.7,
        ];
        for habit in habits {
            let mut smaller = best.clone();
            habit(&mut smaller);
            if form(&smaller) != form(&best) {
                any |= attempt(&mut best, smaller);
            }
        }
        let last = best
            .faults
            .iter()
            .map(|t| t.at + t.lasts)
            .chain(best.builds.iter().map(|b| b.offered))
            .max();
        let shorter = (last.unwrap_or(0) + 10 * SECOND)
            .max(best.length * 2 / 3)
            .max(10 * SECOND);
        if whole(shorter) < best.length {
            let smaller = Scenario {
                length: whole(shorter),
                ..best.clone()
            };
            any |= attempt(&mut best, smaller);
        }
        if !any || played.get() >= most {
            return best;
        }
    }
}

fn whole(length: Micros) -> Micros {
    length / SECOND * SECOND
}

fn form(day: &Scenario) -> String {
    serde_json::to_string(day).unwrap_or_default()
}

/// The day as flags of `run`.
pub fn flags(day: &Scenario) -> String {
    let mut flags = vec![
        "--scenario plain --bare".to_string(),
        format!("--seed {} --seconds {}", day.seed, day.length / SECOND),
        format!(
            "--routers {} --hosts {} --rate {}",
            day.routers, day.hosts, day.rate
        ),
    ];
    if day.tells {
        flags.push("--majority".into());
    }
    flags.extend(day.builds.iter().skip(1).map(|b| format!("--build {b}")));
    flags.extend(day.faults.iter().map(|t| format!("--script {t}")));
    let mut habit = |flag: &str, n: f64| {
        if n > 0.0 {
            flags.push(format!("--{flag} {n}"));
        }
    };
    habit("burst", day.burst);
    habit("cache-keys", f64::from(day.cache_keys));
    habit(
        "miss-cost",
        if day.cache_keys > 0 {
            day.miss_cost
        } else {
            0.0
        },
    );
    habit("thrash", day.thrash);
    habit("neighbours", f64::from(day.neighbours));
    habit("steal", day.steal);
    flags.push(format!("--key-skew {}", day.key_skew));
    if day.cancel != CancelPolicy::Stops {
        let cancel = serde_json::to_value(day.cancel).ok();
        let cancel = cancel
            .and_then(|c| c.as_str().map(str::to_string))
            .unwrap_or_default();
        flags.push(format!("--cancel {cancel}"));
    }
    flags.join(" ")
}

/// What made of this day a hard one, in a few words.
pub fn summary(day: &Scenario) -> String {
    let flaws = day
        .builds
        .iter()
        .skip(1)
        .filter(|b| b.defect != BuildDefect::None)
        .map(|b| format!("{:?}", b.defect));
    let troubles = day.faults.iter().map(|t| t.kind.name());
    let all: Vec<String> = flaws.chain(troubles).collect();
    if all.is_empty() {
        "nothing".into()
    } else {
        all.join(" + ")
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use spokeflow_scenario::scenario::FaultKind;

    #[test]
    fn a_day_is_shrunk_to_what_matters() {
        // What loses here is the bad build alone; a list that is late for a moment has no part in it.
        let mut day = Scenario::only(FaultKind::BadBuild, 4, 40 * SECOND);
        day.builds[1].defect = BuildDefect::Wrong(0.9);
        day.faults
            .push("late-list:at=30s:lasts=1s:size=0.1".parse().unwrap());
        day.faults
            .push("give-up:at=31s:lasts=1s:size=0.9".parse().unwrap());
        let found = judge(&day);
        assert!(matches!(found, Found::Loss(l) if l > 0.0), "{found:?}");
        let small = shrink(&day, found, 60);
        assert!(
            small.faults.is_empty() && small.builds.len() == 2,
            "{}",
            flags(&small)
        );
        assert!(
            flags(&small).contains("--build 2:at=4s:flaw=wrong:size=0.9"),
            "{}",
            flags(&small)
        );
    }
}
