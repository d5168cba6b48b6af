//! The plain front of each site that spreads commands over its routers and notices late that one is down.

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use crate::scenario::Scenario;
use crate::{Micros, MS};

pub struct RouterPicker {
    routers: usize,
    sites: usize,
    /// By site, how long its front goes on sending to a router that is down.
    notice: Vec<Micros>,
}

impl RouterPicker {
    pub fn new(day: &Scenario) -> RouterPicker {
        let mut rng = StdRng::seed_from_u64(day.seed ^ 0xf407);
        let notice = (0..day.sites)
            .map(|_| rng.random_range(1500 * MS..3600 * MS))
            .collect();
        RouterPicker {
            routers: day.routers as usize,
            sites: usize::from(day.sites),
            notice,
        }
    }

    /// The router for try `n` (from 0) of a command whose first is drawn by `drawn`: a first try goes to one of
    /// the site's own, a retry to the next door.
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
