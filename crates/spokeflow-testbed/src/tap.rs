//! Records what crosses the sockets and what runs at the hosts, with the time of each.

use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use spokeflow_scenario::observation::Observation;

use crate::{locked, Micros};

/// The record of a run; clones write to the same one. Its time starts when it is made.
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
    /// The time of the run.
    pub(crate) fn now(&self) -> Micros {
        self.start.elapsed().as_micros() as Micros
    }

    /// The instant at a time of the run; times before its start count as the start.
    pub(crate) fn instant(&self, at: Micros) -> tokio::time::Instant {
        let since_start = Duration::from_micros(at.max(0) as u64);
        tokio::time::Instant::from_std(self.start + since_start)
    }

    pub(crate) fn record(&self, observation: Observation) {
        let mut observations = locked(&self.observations);
        // The time is read under the lock, so that the record is in the order of its times.
        observations.push((self.now(), observation));
    }

    /// Takes all observations so far.
    pub(crate) fn take(&self) -> Vec<(Micros, Observation)> {
        std::mem::take(&mut *locked(&self.observations))
    }
}
