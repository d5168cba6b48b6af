//! The routing strategies of simulated routers: the engine, or a baseline behind the same interface.

use std::fmt;
use std::str::FromStr;

use spokeflow_core::{BuildId, HostId, Micros};
use spokeflow_engine::{Engine, EngineConfig, Input, Transport};

use crate::baseline::BaselineStrategy;

/// The true state of a host, which only [`StrategyKind::FullSight`] may use.
#[derive(Clone, Copy, Debug)]
pub struct HostView {
    /// Whether the host answers.
    pub is_up: bool,
    /// Work queued before a command that arrives now, in microseconds.
    pub work_before: f64,
    /// The one-way delay from the router to the host; `None` while they are cut off from each other.
    pub delay: Option<Micros>,
    /// The host's current speed as a fraction of that of a warm host without faults.
    pub speed: f64,
    /// Probability that the host answers a command with an error, 0 to 1.
    pub failure_rate: f64,
    /// Whether the host can take one more command without being overloaded while it is cold.
    pub has_headroom: bool,
}

/// A router's transport, extended by queries on the true state of the fleet for [`StrategyKind::FullSight`].
pub trait OracleTransport: Transport {
    /// Returns the true state of the host.
    fn host_view(&self, host: HostId) -> HostView;
    /// Returns whether the build has a defect.
    fn is_defective(&self, build: BuildId) -> bool;
}

/// Routes the commands of one router.
pub trait RoutingStrategy {
    /// Handles one input and sends what follows from it on `transport`.
    fn on_input(&mut self, now: Micros, input: Input, transport: &mut dyn OracleTransport);
    /// Returns when the strategy needs [`Input::Timer`] next.
    fn next_wake(&self) -> Micros;
    /// Returns the number of commands that have been accepted and not yet answered.
    fn waiting_commands(&self) -> usize;
}

impl RoutingStrategy for Engine {
    fn on_input(&mut self, now: Micros, input: Input, transport: &mut dyn OracleTransport) {
        Engine::on_input(self, now, input, transport);
    }

    fn next_wake(&self) -> Micros {
        Engine::next_wake(self)
    }

    fn waiting_commands(&self) -> usize {
        Engine::waiting_commands(self)
    }
}

/// The kind of a routing strategy.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum StrategyKind {
    /// The engine of `spokeflow-engine`.
    Engine,
    /// Chooses hosts at random.
    Random,
    /// Chooses hosts in turn.
    RoundRobin,
    /// Chooses the one of two random hosts with fewer of the router's own commands in flight; ignores sticky keys.
    TwoChoices,
    /// Knows the true state of hosts and builds: an upper bound for any strategy.
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
        config: EngineConfig,
        seed: u64,
        now: Micros,
        transport: &mut dyn OracleTransport,
    ) -> Box<dyn RoutingStrategy> {
        match self {
            StrategyKind::Engine => Box::new(Engine::new(config, seed, now, transport)),
            kind => Box::new(BaselineStrategy::new(kind, config, seed, now)),
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
        let names = || StrategyKind::ALL.map(|kind| kind.to_string()).join(", ");
        StrategyKind::ALL
            .into_iter()
            .find(|kind| kind.to_string() == text)
            .ok_or_else(|| format!("not one of {}", names()))
    }
}
