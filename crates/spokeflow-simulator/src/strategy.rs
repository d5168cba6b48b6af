//! Event decides in a router's place: the engine, or a baseline behind the same interface.

use std::fmt;
use std::str::FromStr;

use spokeflow_core::{BuildId, HostId, Micros};
use spokeflow_engine::{Engine, EngineConfig, Input, Transport};

use crate::baseline::BaselineStrategy;

/// Event a router with full sight would know of a host.
#[derive(Clone, Copy, Debug)]
pub struct HostView {
    /// It answers.
    pub up: bool,
    /// Work before a command that is sent now, in microseconds.
    pub work_before: f64,
    /// The delay one way; `None` while it is cut off.
    pub delay: Option<Micros>,
    /// Event it does by now of what a warm and well host does.
    pub speed: f64,
    /// Part of the commands that fail there.
    pub failure_rate: f64,
    /// Whether it bears one more while it is cold.
    pub has_headroom: bool,
}

/// The way out of a router, and, for full sight alone, what nobody can see.
pub trait Wiring: Transport {
    /// The host as it is now.
    fn look(&self, host: HostId) -> HostView;
    /// Whether the build has a defect.
    fn is_bad(&self, build: BuildId) -> bool;
}

/// Decides in a router's place.
pub trait RoutingStrategy {
    /// Takes one input.
    fn take(&mut self, now: Micros, input: Input, wiring: &mut dyn Wiring);
    /// When it wants [`Input::Timer`] next.
    fn next_wake(&self) -> Micros;
    /// Commands that are owed an answer.
    fn held(&self) -> usize;
}

impl RoutingStrategy for Engine {
    fn take(&mut self, now: Micros, input: Input, wiring: &mut dyn Wiring) {
        Engine::on_input(self, now, input, wiring);
    }

    fn next_wake(&self) -> Micros {
        Engine::next_wake(self)
    }

    fn held(&self) -> usize {
        Engine::waiting_commands(self)
    }
}

/// What decides in a router's place.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum StrategyKind {
    /// The engine of `spokeflow-engine`.
    Engine,
    /// Any host.
    Random,
    /// Hosts one after the other.
    RoundRobin,
    /// The better of two random choices by own commands in flight, without sticky assignments.
    TwoChoices,
    /// Sees hosts and builds as they are: an upper bound.
    FullSight,
}

impl StrategyKind {
    /// All kinds, in the order of their declaration.
    pub const ALL: [StrategyKind; 5] = [
        StrategyKind::Engine,
        StrategyKind::Random,
        StrategyKind::RoundRobin,
        StrategyKind::TwoChoices,
        StrategyKind::FullSight,
    ];

    pub(crate) fn start(
        self,
        terms: EngineConfig,
        seed: u64,
        now: Micros,
        wiring: &mut dyn Wiring,
    ) -> Box<dyn RoutingStrategy> {
        match self {
            StrategyKind::Engine => Box::new(Engine::new(terms, seed, now, wiring)),
            who => Box::new(BaselineStrategy::new(who, terms, seed, now)),
        }
    }
}

impl fmt::Display for StrategyKind {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.pad(match self {
            StrategyKind::Engine => "engine",
            StrategyKind::Random => "random",
            StrategyKind::RoundRobin => "round-robin",
            StrategyKind::TwoChoices => "two-choices",
            StrategyKind::FullSight => "full-sight",
        })
    }
}

impl FromStr for StrategyKind {
    type Err = String;
    fn from_str(text: &str) -> Result<Self, String> {
        let names = || StrategyKind::ALL.map(|w| w.to_string()).join(", ");
        StrategyKind::ALL
            .into_iter()
            .find(|w| w.to_string() == text)
            .ok_or_else(|| format!("not one of {}", names()))
    }
}
