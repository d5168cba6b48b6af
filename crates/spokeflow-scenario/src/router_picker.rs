//! The load balancer of each site: it spreads commands over its routers and notices late that one is down.

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use crate::scenario::Scenario;
use crate::{Micros, MS};

/// Tells these draws from others with the run's seed.
const PICKER_SEED: u64 = 0xf407;
/// A site notices that a router is down after this at the soonest,
const NOTICE_LEAST: Micros = 1500 * MS;
/// and before this.
const NOTICE_MOST: Micros = 3600 * MS;

/// Picks the router for each attempt.
pub struct RouterPicker {
    routers: usize,
    sites: usize,
    /// By site, how long it goes on sending to a router that is down.
    notice: Vec<Micros>,
}

impl RouterPicker {
    /// Draws how late each site notices.
    pub fn new(day: &Scenario) -> RouterPicker {
        let mut rng = StdRng::seed_from_u64(day.seed ^ PICKER_SEED);
        let notice = (0..day.sites)
            .map(|_| rng.random_range(NOTICE_LEAST..NOTICE_MOST))
            .collect();
        RouterPicker {
            routers: day.routers as usize,
            sites: usize::from(day.sites),
            notice,
        }
    }

    /// The router for attempt `n` (from 0) at a command whose first is drawn by `drawn`: a first attempt goes to one
    /// of the site's own, a retry to the next one.
    pub fn router_for(
        &self,
        site: u16,
        drawn: u64,
        n: u32,
        now: Micros,
        down_since: impl Fn(usize) -> Option<Micros>,
    ) -> usize {
        let site = usize::from(site);
        let own = site % self.routers;
        // Routers of a site are those whose number leaves the site's when divided by the number of sites.
        let of_site = (self.routers - own).div_ceil(self.sites).max(1);
        let own = own + self.sites * (drawn % of_site as u64) as usize;
        let open = |r: &usize| down_since(*r).is_none_or(|at| now - at < self.notice[site]);
        let turn = |k: usize| (own + k) % self.routers;
        (0..self.routers)
            .map(|k| turn(k + n as usize))
            .find(open)
            .unwrap_or(own % self.routers)
    }
}
