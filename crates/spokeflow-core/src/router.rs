//! The decision module: one `Router` a process, told what happens by calls, answering through `Egress`.
//!
//! Call `Router::new` with the deployment's terms, then `at` with the time and one method for each thing that
//! happens, in order. A command runs the chain intake, lane, exposure, placement, dispatch; what comes back
//! runs through settle, health and the judge. `docs/design.md` tells what was kept, what was added, and why.

mod admission;
mod analysis;
mod canary;
mod derived_config;
mod exposure;
mod hedging;
mod outliers;
mod placement;
mod retry;
mod timers;
mod voting;

use std::collections::{BTreeMap, VecDeque};

use crate::state::{Command, Hosts, OperationState, StickyAssignment, Window};
use crate::*;
use derived_config::{figures, DerivedConfig};
use retry::SPARE_AT_MOST;
use timers::BEAT;

type Out<'a> = &'a mut dyn Egress;
const SECOND: Micros = 1_000_000;
const MS: Micros = SECOND / 1000;
/// Routers that each host is met by at least: uneven traffic evens out.
pub const ROUTERS_PER_HOST: f64 = 60.0;

#[derive(Default)]
pub struct Router {
    now: Micros,
    ops: Vec<OperationState>,
    chance: Rng,
    index: BTreeMap<HostId, usize>,
    hosts: Hosts,
    /// By zone, by op type and by customer, how much slower than usual answers come, as a logarithm.
    ways: [Vec<f64>; 3],
    cmds: BTreeMap<CommandId, Command>,
    /// By customer, the commands that wait for a place.
    held: Vec<VecDeque<CommandId>>,
    pins: BTreeMap<Key, StickyAssignment>,
    /// The released build that has answered keys whose pins are no longer kept.
    all_bound: Option<BuildId>,
    taken: Window<usize>,
    exposed: Window<(usize, BuildId)>,
    news: Option<RolloutStatus>,
    stage_began: Micros,
    own_turn: Micros,
    lane_build: BuildId,
    lane: f64,
    spare: f64,
    beaten: Micros,
    swept: Micros,
    // Failures of each op type, own slowness, reported wrong answers, slowness that all hosts share.
    sums: Vec<f64>,
    old_fails: Vec<f64>,
    /// By customer, answers and failures of late at hosts of any build.
    by_share: Vec<[f64; 2]>,
    usual_load: [f64; 3],
    /// Commands asked, answered and given up for want of a place, fading over some seconds.
    flow: [f64; 3],
    /// Answers a second that a whole host gives this router.
    pace: f64,
    /// Seconds that whole hosts have been there for, fading as the commands do.
    lived: f64,
    born: Micros,
    own_index: u32,
    seen: u32,
    seen_in_stage: u32,
    old_lag: f64,
    /// Of the desk's counts: trial deliveries in this stage, the last period's end, the last two in all.
    counted_in_stage: f64,
    period: Micros,
    traffic: [f64; 2],
    usual_traffic: f64,
    /// Of late: own deliveries lost, a build's failures among them, the share not connected, the mean load.
    losses: [f64; 2],
    refused: f64,
    busy: f64,
    vote: Option<(BuildId, u8, RolloutVote)>,
    vote_stands_until: Micros,
    vote_again_at: Micros,
    vote_out: bool,
    ask_list_at: Option<Micros>,
    ask_pause: Micros,
    served: Vec<f64>,
    fig: DerivedConfig,
}

impl Router {
    pub fn new(terms: &ServiceConfig, seed: u64, now: Micros, out: Out) -> Self {
        out.wake(now + BEAT);
        if terms.list_requires_subscription {
            out.watch_list();
        }
        Router {
            now,
            ops: terms.ops.iter().map(OperationState::new).collect(),
            served: vec![0.0; terms.tenant_quotas.len().max(1)],
            held: vec![VecDeque::new(); terms.tenant_quotas.len().max(1)],
            sums: vec![0.0; terms.ops.len() + 3],
            old_fails: vec![0.0; terms.ops.len()],
            by_share: vec![[0.0; 2]; terms.tenant_quotas.len().max(1)],
            chance: Rng::new(seed),
            beaten: now,
            born: now,
            spare: SPARE_AT_MOST / 2.0,
            ask_list_at: terms.list_requires_subscription.then_some(now + 5 * SECOND),
            own_index: terms.own_index,
            hosts: Hosts::new(terms.own_index, figures(terms).starts, now),
            fig: figures(terms),
            ..Router::default()
        }
    }

    /// Goes by other terms from the next call on. What was counted, sent and pinned stays: no window begins
    /// anew. The op types, windows and one-way rules have to be the same as before, and as many customers.
    pub fn reconfigure(&mut self, terms: &ServiceConfig) {
        self.fig = figures(terms);
        self.hosts.set_spans(self.fig.starts);
    }

    /// Sets the time for the calls that follow.
    pub fn set_time(&mut self, now: Micros) -> &mut Self {
        self.now = now;
        self.hosts.advance(now);
        self
    }

    /// The figures about hosts, for tests that compare them with plain definitions.
    #[doc(hidden)]
    pub fn hosts(&self) -> &Hosts {
        &self.hosts
    }

    pub fn on_endpoints(&mut self, kind: ListKind, lines: &[Endpoint], out: Out) {
        if kind != ListKind::Cached {
            (self.ask_list_at, self.ask_pause) = (None, 0);
        }
        if kind != ListKind::Changes {
            self.hosts.retain_listed(lines);
        }
        for line in lines {
            let h = *self
                .index
                .entry(line.host)
                .or_insert_with(|| self.hosts.add(line));
            self.hosts.update(h, line);
        }
        self.place_held(out);
    }

    pub fn on_list_failure(&mut self) {
        // The notice does not say whether a subscription still stands: asking again is the only safe reading.
        self.ask_pause = (self.ask_pause * 2).clamp(SECOND / 2, 4 * SECOND);
        let pause = self.ask_pause as usize;
        self.ask_list_at = Some(self.now + (pause + self.chance.below(pause / 2)) as Micros);
    }
}
