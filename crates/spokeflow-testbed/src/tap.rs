//! The tap of a scenario run: a recorder of observations, to which the peers report the messages on their sockets and
//! the commands that run at the hosts, each with its time. It forwards nothing; the proxy that counts the frames of a
//! scale run is `scale::tap`.

use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use spokeflow_scenario::observation::Observation;

use crate::{locked, Micros};

/// The record of a run. Clones write to the same record. The time of the run counts from the creation of the tap.
#[derive(Clone)]
pub(crate) struct Tap {
    start: Instant,
    observations: Arc<Mutex<Vec<(Micros, Observation)>>>,
}

impl Default for Tap {
    fn default() -> Self {
        Tap {
            start: Instant::now(),
            observations: Arc::default(),
        }
    }
}

impl Tap {
    /// Returns the time since the tap was created.
    pub(crate) fn now(&self) -> Micros {
        self.start.elapsed().as_micros() as Micros
    }

    /// Converts a time of the run to an instant; a negative time gives the start of the run.
    pub(crate) fn instant(&self, at: Micros) -> tokio::time::Instant {
        let since_start = Duration::from_micros(at.max(0) as u64);
        tokio::time::Instant::from_std(self.start + since_start)
    }

    /// Records an observation at the current time.
    pub(crate) fn record(&self, observation: Observation) {
        let mut observations = locked(&self.observations);
        // Reading the time under the lock keeps the observations in order of time.
        observations.push((self.now(), observation));
    }

    /// Removes and returns all observations recorded so far.
    pub(crate) fn take(&self) -> Vec<(Micros, Observation)> {
        std::mem::take(&mut *locked(&self.observations))
    }
}
