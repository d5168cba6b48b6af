//! How a baseline chooses the host of a delivery.

use spokeflow_core::{BuildId, HostId};

use super::{BaselineStrategy, Known};
use crate::strategy::{StrategyKind, Wiring};

/// Hosts that full sight weighs for one command.
const FULL_SIGHT_CANDIDATES: usize = 96;
/// Work of a command whose latency objective is [`USUAL_OBJECTIVE`], in microseconds.
const USUAL_WORK: f64 = 200_000.0;
/// In microseconds.
const USUAL_OBJECTIVE: f64 = 1_200_000.0;
/// What a sure error costs, as microseconds of waiting.
const ERROR_COST: f64 = 4e6;
/// What a defective build costs, as microseconds of waiting.
const DEFECT_COST: f64 = 2e6;

/// A host that full sight has weighed.
struct Weighed {
    /// Microseconds of waiting that it is worth.
    cost: f64,
    host: u32,
}

impl BaselineStrategy {
    /// Whether the cap lets one more delivery go to this build.
    fn has_exposure(&mut self, build: u16) -> bool {
        let from = self.now - self.config.service.exposure_window;
        while self.accepted.pop_front_if(|at| *at <= from).is_some() {}
        while self.exposed.pop_front_if(|at| *at <= from).is_some() {}
        let caps = &self.config.service.stage_caps;
        let first = caps.first().copied().unwrap_or(0.0);
        let cap = self
            .rollout
            .as_ref()
            .filter(|rollout| rollout.build == build)
            .map_or(first, |rollout| f64::from(rollout.exposure_cap));
        let allowed = self.config.service.exposure_allowance + cap * self.accepted.len() as f64;
        cap > 0.0 && self.exposed.len() as f64 + 1.0 <= allowed
    }

    /// The newest build that has answered the command's key and was not rolled back.
    fn sticky_build(&self, key: u64) -> Option<u16> {
        let build = self.answered_by.get(&key).copied();
        build.filter(|build| key != 0 && !self.sent_back(*build))
    }

    /// Hosts that the command may go to and has not been at.
    fn candidates(&mut self, id: u64, sticky: Option<u16>) -> Option<Vec<u32>> {
        let ready = self.hosts.values().filter(|known| known.ready);
        let newest = ready.map(|known| known.build).max()?;
        let open = !self.on_trial(newest) || !self.sent_back(newest) && self.has_exposure(newest);
        let forward_only = self.config.service.forward_only;
        let tried = &self.commands[&id].hosts;
        // At its rounds' ends the cap is nearly used up: what cannot go there goes to the earlier build.
        let fits = |known: &Known| {
            known.ready
                && (open || !self.on_trial(known.build))
                && (!forward_only || sticky.is_none_or(|build| known.build >= build))
        };
        let candidates: Vec<u32> = self
            .hosts
            .iter()
            .filter(|(host, known)| fits(known) && !tried.contains(host))
            .map(|(host, _)| *host)
            .collect();
        (!candidates.is_empty()).then_some(candidates)
    }

    /// The host for the next delivery of a command.
    pub(super) fn choose(&mut self, id: u64, wiring: &dyn Wiring) -> Option<u32> {
        let sticky = self.sticky_build(self.commands[&id].command.key);
        let candidates = self.candidates(id, sticky)?;
        match self.kind {
            StrategyKind::RoundRobin => {
                self.turn += 1;
                Some(candidates[self.turn % candidates.len()])
            }
            StrategyKind::TwoChoices => {
                let first = candidates[self.rng.below(candidates.len())];
                let second = candidates[self.rng.below(candidates.len())];
                let in_flight = |host: u32| self.hosts[&host].in_flight;
                let second_is_better = in_flight(second) < in_flight(first);
                Some(if second_is_better { second } else { first })
            }
            StrategyKind::FullSight => self.choose_by_sight(id, sticky, candidates, wiring),
            StrategyKind::Engine | StrategyKind::Random => {
                Some(candidates[self.rng.below(candidates.len())])
            }
        }
    }

    fn choose_by_sight(
        &mut self,
        id: u64,
        sticky: Option<u16>,
        mut candidates: Vec<u32>,
        wiring: &dyn Wiring,
    ) -> Option<u32> {
        while candidates.len() > FULL_SIGHT_CANDIDATES {
            let at = self.rng.below(candidates.len());
            candidates.swap_remove(at);
        }
        let open = &self.commands[&id];
        let operation = &self.config.service.ops[usize::from(open.command.op)];
        let objective = operation.latency_objective as f64;
        let best = candidates
            .into_iter()
            .filter_map(|host| self.weigh(host, objective, sticky.is_some(), wiring))
            .min_by(|one, other| {
                one.cost
                    .total_cmp(&other.cost)
                    .then(one.host.cmp(&other.host))
            })?;
        // What would be late anyway is refused, so that it does not make others late.
        let must_go = !open.hosts.is_empty() || sticky.is_some();
        (must_go || best.cost <= objective).then_some(best.host)
    }

    fn weigh(
        &self,
        host: u32,
        objective: f64,
        is_sticky: bool,
        wiring: &dyn Wiring,
    ) -> Option<Weighed> {
        let view = wiring.look(HostId(host));
        let delay = view.delay? as f64;
        let able = view.up && view.has_headroom && view.speed > 0.0;
        let defective = wiring.is_bad(BuildId(self.hosts[&host].build)) && !is_sticky;
        let own = USUAL_WORK * objective / USUAL_OBJECTIVE;
        let wait = (view.work_before + own) / view.speed + 2.0 * delay;
        let defect_cost = if defective { DEFECT_COST } else { 0.0 };
        able.then_some(Weighed {
            cost: wait + ERROR_COST * view.failure_rate + defect_cost,
            host,
        })
    }
}
