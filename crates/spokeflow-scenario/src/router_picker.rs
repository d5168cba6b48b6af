//! A model of the load balancer of each site, which spreads commands over the routers of the site and detects with a
//! delay that a router is down.

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use crate::scenario::Scenario;
use crate::{Micros, MS};

/// Combined with the seed, so that the draws differ from other draws of the run.
const PICKER_SEED: u64 = 0xf407;
/// Minimum time until a site detects that a router is down.
const MIN_DETECTION_DELAY: Micros = 1500 * MS;
/// Upper bound of the time until a site detects that a router is down.
const MAX_DETECTION_DELAY: Micros = 3600 * MS;

/// Picks the router for each attempt.
pub struct RouterPicker {
    routers: usize,
    sites: usize,
    /// By site, the time until it detects that a router is down.
    detection_delays: Vec<Micros>,
}

impl RouterPicker {
    /// Creates the picker and draws the detection delay of each site.
    pub fn new(scenario: &Scenario) -> RouterPicker {
        let mut rng = StdRng::seed_from_u64(scenario.seed ^ PICKER_SEED);
        let detection_delays = (0..scenario.sites)
            .map(|_| rng.random_range(MIN_DETECTION_DELAY..MAX_DETECTION_DELAY))
            .collect();
        RouterPicker {
            routers: scenario.routers as usize,
            sites: usize::from(scenario.sites),
            detection_delays,
        }
    }

    /// Returns the router for attempt `n` (from 0) at a command. The random number `drawn` selects a router of the site
    /// for the first attempt; retries go to the routers after it. Routers known to be down are skipped.
    pub fn router_for(
        &self,
        site: u16,
        drawn: u64,
        n: u32,
        now: Micros,
        down_since: impl Fn(usize) -> Option<Micros>,
    ) -> usize {
        let site = usize::from(site);
        let first_of_site = site % self.routers;
        // The routers of a site are those whose number modulo the number of sites is the number of the site.
        let site_routers = (self.routers - first_of_site).div_ceil(self.sites).max(1);
        let preferred = first_of_site + self.sites * (drawn % site_routers as u64) as usize;
        let seems_up = |router: &usize| {
            down_since(*router).is_none_or(|at| now - at < self.detection_delays[site])
        };
        let router_at = |offset: usize| (preferred + offset) % self.routers;
        (0..self.routers)
            .map(|offset| router_at(offset + n as usize))
            .find(seems_up)
            .unwrap_or(preferred % self.routers)
    }
}
