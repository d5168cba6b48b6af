//! What faults do to links, host list, release controller and clients while they last. What they do to hosts and
//! routers is for whoever plays the run.

use crate::scenario::{Fault, FaultKind, Scenario};
use crate::{Micros, MS, SECOND};

/// What the link between two sites carries; a cut may concern one of them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkKind {
    /// Commands between routers and hosts.
    Hosts,
    /// News of the host list and the release controller.
    ControlSite,
}

/// The site of the host list and the release controller.
pub const CONTROL_SITE: u16 = 0;
/// The delay one way between two sites.
pub const BETWEEN_SITES: Micros = 2 * MS;
/// How long a lost packet waits to be sent again.
pub const RETRANSMISSION_DELAY: Micros = 200 * MS;

/// The faults that are active now; zero, false or none where one is not.
#[derive(Clone, Debug, Default)]
pub struct ActiveFaults {
    /// The site cut off from the hosts of others.
    pub cut_hosts: Option<u16>,
    /// The site cut off from the host list and the release controller.
    pub cut_control_site: Option<u16>,
    /// A site whose links are slower, and by how much.
    pub slow_link: Option<(u16, Micros)>,
    /// How much longer a connection takes to make.
    pub slow_connects: Micros,
    /// The release controller does nothing.
    pub stalled_controller: bool,
    /// The release controller refuses connections.
    pub refusing_controller: bool,
    /// How much later the release controller's news come.
    pub controller_delay: Micros,
    /// How much later the host list learns.
    pub list_delay: Micros,
    /// The host list closes its connections.
    pub list_breaks: bool,
    /// Part of the traffic that moves to one site.
    pub shift: f64,
    /// How much more one tenant sends, as a part of its quota.
    pub worthless: f64,
    /// After which part of their timeout hasty clients leave, 0 for none.
    pub give_up: f64,
    /// Further retries of a client.
    pub repeats: f64,
    /// Part of the traffic about one key.
    pub hot_key: f64,
    /// Part of the packets that are lost.
    pub loss: f64,
}

impl ActiveFaults {
    /// Fault `n` of the run begins. Returns false where it concerns hosts, routers or builds.
    pub fn begin(&mut self, day: &Scenario, n: usize, fault: &Fault) -> bool {
        let site = (n as u64 + day.seed) as u16 % day.sites;
        let seconds = (fault.size * SECOND as f64) as Micros;
        match fault.kind {
            FaultKind::Cut => {
                self.cut_hosts = Some(site);
                self.cut_control_site = Some(site);
            }
            // The list's own site cut off leaves every other router without news.
            FaultKind::CutList => self.cut_control_site = Some(CONTROL_SITE),
            FaultKind::CutHosts => self.cut_hosts = Some(site),
            FaultKind::SlowLink => self.slow_link = Some((site, seconds)),
            FaultKind::LossyLinks => self.loss = fault.size.clamp(0.0, 0.9),
            FaultKind::SlowConnects => self.slow_connects = seconds,
            FaultKind::StalledController => self.stalled_controller = true,
            FaultKind::RefusingController => self.refusing_controller = true,
            FaultKind::LateController => self.controller_delay = seconds,
            FaultKind::LateList => self.list_delay = seconds,
            FaultKind::ListBreaks => self.list_breaks = true,
            FaultKind::Shift => self.shift = fault.size.clamp(0.0, 1.0),
            FaultKind::Worthless => self.worthless = fault.size,
            FaultKind::GiveUp => self.give_up = fault.size.clamp(0.0, 1.0),
            FaultKind::RetryStorm => self.repeats = fault.size,
            FaultKind::HotKey => self.hot_key = fault.size.clamp(0.0, 1.0),
            _ => return false,
        }
        true
    }

    /// A fault ends. `others` are those that still last, so that two of a kind which overlap end with the later one.
    pub fn end(&mut self, day: &Scenario, fault: &Fault, others: &[(usize, Fault)]) {
        match fault.kind {
            FaultKind::Cut => {
                self.cut_hosts = None;
                self.cut_control_site = None;
            }
            FaultKind::CutList => self.cut_control_site = None,
            FaultKind::CutHosts => self.cut_hosts = None,
            FaultKind::SlowLink => self.slow_link = None,
            FaultKind::LossyLinks => self.loss = 0.0,
            FaultKind::SlowConnects => self.slow_connects = 0,
            FaultKind::StalledController => self.stalled_controller = false,
            FaultKind::RefusingController => self.refusing_controller = false,
            FaultKind::LateController => self.controller_delay = 0,
            FaultKind::LateList => self.list_delay = 0,
            FaultKind::ListBreaks => self.list_breaks = false,
            FaultKind::Shift => self.shift = 0.0,
            FaultKind::Worthless => self.worthless = 0.0,
            FaultKind::GiveUp => self.give_up = 0.0,
            FaultKind::RetryStorm => self.repeats = 0.0,
            FaultKind::HotKey => self.hot_key = 0.0,
            _ => return,
        }
        for (n, other) in others {
            self.begin(day, *n, other);
        }
    }

    /// The delay one way, or `None` while the sites are cut from each other.
    pub fn delay(&self, from: u16, to: u16, direction: LinkKind) -> Option<Micros> {
        if from == to {
            return Some(0);
        }
        let touches = |site: u16| site == from || site == to;
        let cut = match direction {
            LinkKind::Hosts => self.cut_hosts,
            LinkKind::ControlSite => self.cut_control_site,
        };
        if cut.is_some_and(touches) {
            return None;
        }
        let slow = self.slow_link.filter(|(site, _)| touches(*site));
        Some(BETWEEN_SITES + slow.map_or(0, |(_, delay)| delay))
    }
}
