//! What crossed the sockets, as the stand-ins saw it, and what ran at the hosts.

use std::sync::{Arc, Mutex};
use std::time::Instant;

use spokeflow_scenario::observation::Observation;

use crate::Micros;

#[derive(Clone)]
pub struct Tap {
    start: Instant,
    seen: Arc<Mutex<Vec<(Micros, Observation)>>>,
}

impl Default for Tap {
    fn default() -> Self {
        Tap {
            start: Instant::now(),
            seen: Arc::default(),
        }
    }
}

impl Tap {
    pub fn now(&self) -> Micros {
        self.start.elapsed().as_micros() as Micros
    }

    pub fn instant(&self, at: Micros) -> tokio::time::Instant {
        tokio::time::Instant::from_std(
            self.start + std::time::Duration::from_micros(at.max(0) as u64),
        )
    }

    pub fn note(&self, seen: Observation) {
        let mut all = self.seen.lock().expect("no holder panics");
        // Under the lock, so that the notes stand in the order of their times.
        all.push((self.now(), seen));
    }

    pub fn take(&self) -> Vec<(Micros, Observation)> {
        std::mem::take(&mut self.seen.lock().expect("no holder panics"))
    }
}
