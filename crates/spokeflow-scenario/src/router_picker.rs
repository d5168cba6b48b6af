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

#[cfg(test)]
mod tests {
    use super::*;
    use crate::SECOND;

    #[test]
    fn first_tries_go_to_the_sites_own_and_around_one_that_is_known_to_be_down() {
        let day = Scenario {
            routers: 8,
            ..Scenario::plain(3, 60 * SECOND)
        };
        let front = RouterPicker::new(&day);
        let met: std::collections::BTreeSet<usize> = (0..50)
            .map(|d| front.router_for(1, d, 0, 0, |_| None))
            .collect();
        assert_eq!(met.into_iter().collect::<Vec<_>>(), [1, 4, 7]);
        let down = |r| (r == 1).then_some(0);
        assert_eq!(front.router_for(1, 0, 0, MS, down), 1, "not noticed yet");
        assert_eq!(front.router_for(1, 0, 0, 10 * SECOND, down), 2);
    }
}
