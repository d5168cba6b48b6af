//! How a baseline chooses the host of a delivery.

use spokeflow_core::{BuildId, HostId};

use super::{BaselineStrategy, KnownHost};
use crate::strategy::{OracleTransport, StrategyKind};

/// The most hosts that full sight scores for one command.
const FULL_SIGHT_CANDIDATES: usize = 96;
/// The work of a command whose latency objective is [`REFERENCE_OBJECTIVE_US`].
const REFERENCE_WORK_US: f64 = 200_000.0;
/// The latency objective that belongs to [`REFERENCE_WORK_US`].
const REFERENCE_OBJECTIVE_US: f64 = 1_200_000.0;
/// The cost of a certain error, as waiting time.
const ERROR_COST_US: f64 = 4e6;
/// The cost of a defective build, as waiting time.
const DEFECT_COST_US: f64 = 2e6;

/// A host that full sight has scored.
struct ScoredHost {
    /// Expected waiting time in microseconds, with the costs of errors and defects.
    cost: f64,
    host: u32,
}

impl BaselineStrategy {
    /// Returns whether the exposure cap allows one more delivery to this build.
    fn has_exposure(&mut self, build: u16) -> bool {
        let from = self.now - self.config.service.exposure_window;
        while self.accepted_at.pop_front_if(|at| *at <= from).is_some() {}
        while self.exposed_at.pop_front_if(|at| *at <= from).is_some() {}
        let caps = &self.config.service.stage_caps;
        let first = caps.first().copied().unwrap_or(0.0);
        let cap = self
            .rollout
            .as_ref()
            .filter(|rollout| rollout.build == build)
            .map_or(first, |rollout| f64::from(rollout.exposure_cap));
        let allowed = self.config.service.exposure_allowance + cap * self.accepted_at.len() as f64;
        cap > 0.0 && self.exposed_at.len() as f64 + 1.0 <= allowed
    }

    /// Returns the newest build that has acked the key and was not rolled back; `None` for key 0, which is not
    /// sticky.
    fn sticky_build(&self, key: u64) -> Option<u16> {
        let build = self.answered_by.get(&key).copied();
        build.filter(|build| key != 0 && !self.was_rolled_back(*build))
    }

    /// Returns the hosts that the command may go to and was not sent to yet; `None` if there are none.
    fn candidates(&mut self, id: u64, sticky: Option<u16>) -> Option<Vec<u32>> {
        let ready = self.hosts.values().filter(|known| known.is_ready);
        let newest = ready.map(|known| known.build).max()?;
        let is_newest_open =
            !self.is_canary(newest) || !self.was_rolled_back(newest) && self.has_exposure(newest);
        let forward_only = self.config.service.forward_only;
        let tried = &self.commands[&id].hosts;
        // The exposure cap can be nearly used up: commands that it keeps from the canary go to the earlier build.
        let is_eligible = |known: &KnownHost| {
            known.is_ready
                && (is_newest_open || !self.is_canary(known.build))
                && (!forward_only || sticky.is_none_or(|build| known.build >= build))
        };
        let candidates: Vec<u32> = self
            .hosts
            .iter()
            .filter(|(host, known)| is_eligible(known) && !tried.contains(host))
            .map(|(host, _)| *host)
            .collect();
        (!candidates.is_empty()).then_some(candidates)
    }

    /// Chooses the host for the next delivery of a command.
    pub(super) fn choose(&mut self, id: u64, transport: &dyn OracleTransport) -> Option<u32> {
        let sticky = self.sticky_build(self.commands[&id].command.key);
        let candidates = self.candidates(id, sticky)?;
        match self.kind {
            StrategyKind::RoundRobin => {
                self.round_robin_index += 1;
                Some(candidates[self.round_robin_index % candidates.len()])
            }
            StrategyKind::TwoChoices => {
                let first = candidates[self.rng.below(candidates.len())];
                let second = candidates[self.rng.below(candidates.len())];
                let in_flight = |host: u32| self.hosts[&host].in_flight;
                let second_is_better = in_flight(second) < in_flight(first);
                Some(if second_is_better { second } else { first })
            }
            StrategyKind::FullSight => {
                self.choose_with_full_sight(id, sticky, candidates, transport)
            }
            StrategyKind::Engine | StrategyKind::Random => {
                Some(candidates[self.rng.below(candidates.len())])
            }
        }
    }

    fn choose_with_full_sight(
        &mut self,
        id: u64,
        sticky: Option<u16>,
        mut candidates: Vec<u32>,
        transport: &dyn OracleTransport,
    ) -> Option<u32> {
        while candidates.len() > FULL_SIGHT_CANDIDATES {
            let index = self.rng.below(candidates.len());
            candidates.swap_remove(index);
        }
        let open = &self.commands[&id];
        let operation = &self.config.service.ops[usize::from(open.command.op)];
        let objective = operation.latency_objective as f64;
        let best = candidates
            .into_iter()
            .filter_map(|host| self.score(host, objective, sticky.is_some(), transport))
            .min_by(|one, other| {
                one.cost
                    .total_cmp(&other.cost)
                    .then(one.host.cmp(&other.host))
            })?;
        // A new command that would miss its latency objective is refused, so that it does not delay others.
        let must_deliver = !open.hosts.is_empty() || sticky.is_some();
        (must_deliver || best.cost <= objective).then_some(best.host)
    }

    fn score(
        &self,
        host: u32,
        objective: f64,
        is_sticky: bool,
        transport: &dyn OracleTransport,
    ) -> Option<ScoredHost> {
        let view = transport.host_view(HostId(host));
        let delay = view.delay? as f64;
        let is_usable = view.is_up && view.has_headroom && view.speed > 0.0;
        let is_defective = transport.is_defective(BuildId(self.hosts[&host].build)) && !is_sticky;
        let own_work = REFERENCE_WORK_US * objective / REFERENCE_OBJECTIVE_US;
        let wait = (view.work_before + own_work) / view.speed + 2.0 * delay;
        let defect_cost = if is_defective { DEFECT_COST_US } else { 0.0 };
        is_usable.then_some(ScoredHost {
            cost: wait + ERROR_COST_US * view.failure_rate + defect_cost,
            host,
        })
    }
}
