//! What decides in a router's place: the engine, or a baseline behind the same interface.

use std::fmt;
use std::str::FromStr;

use spokeflow_core::{BuildId, HostId, Micros};
use spokeflow_engine::{Engine, EngineConfig, Input, Transport};

use crate::plain::Plain;

/// What a router with full sight would know of a host.
#[derive(Clone, Copy, Debug)]
pub struct Look {
    pub up: bool,
    /// Work before a command that is sent now, in microseconds, and the delay one way; `None`: cut off.
    pub work_before: f64,
    pub way: Option<Micros>,
    /// What it does by now of what a warm and well host does.
    pub speed: f64,
    /// Part of the commands that fail there.
    pub fails: f64,
    /// Whether it bears one more while it is cold.
    pub bears: bool,
}

/// The way out of a router, and, for full sight alone, what nobody can see.
pub trait Wiring: Transport {
    fn look(&self, host: HostId) -> Look;
    fn is_bad(&self, build: BuildId) -> bool;
}

pub trait Brain {
    fn take(&mut self, now: Micros, input: Input, wiring: &mut dyn Wiring);
    fn next_wake(&self) -> Micros;
    /// Commands that are owed an answer.
    fn held(&self) -> usize;
}

impl Brain for Engine {
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

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Who {
    Engine,
    Random,
    RoundRobin,
    /// The better of two random choices by own commands in flight, without pins.
    TwoChoices,
    /// Sees hosts and builds as they are: an upper bound.
    FullSight,
}

impl Who {
    pub const ALL: [Who; 5] = [
        Who::Engine,
        Who::Random,
        Who::RoundRobin,
        Who::TwoChoices,
        Who::FullSight,
    ];

    pub(crate) fn start(
        self,
        terms: EngineConfig,
        seed: u64,
        now: Micros,
        wiring: &mut dyn Wiring,
    ) -> Box<dyn Brain> {
        match self {
            Who::Engine => Box::new(Engine::new(terms, seed, now, wiring)),
            who => Box::new(Plain::new(who, terms, seed, now)),
        }
    }
}

impl fmt::Display for Who {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.pad(match self {
            Who::Engine => "engine",
            Who::Random => "random",
            Who::RoundRobin => "round-robin",
            Who::TwoChoices => "two-choices",
            Who::FullSight => "full-sight",
        })
    }
}

impl FromStr for Who {
    type Err = String;
    fn from_str(text: &str) -> Result<Self, String> {
        let names = || Who::ALL.map(|w| w.to_string()).join(", ");
        Who::ALL
            .into_iter()
            .find(|w| w.to_string() == text)
            .ok_or_else(|| format!("not one of {}", names()))
    }
}
