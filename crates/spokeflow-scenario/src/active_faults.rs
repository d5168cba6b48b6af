//! What troubles do to links, list, desk and clients while they last. What they do to hosts and routers is for
//! whoever plays the day.

use crate::scenario::{Fault, FaultKind, Scenario};
use crate::{Micros, MS, SECOND};

/// Which links a cut or a slow way concerns.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkDirection {
    Hosts,
    ControlSite,
}

/// The site that list and desk stand in.
pub const CONTROL_SITE: u16 = 0;
/// One way between two sites.
pub const BETWEEN_SITES: Micros = 2 * MS;
/// How long a lost packet waits to be sent again.
pub const RESENT_AFTER: Micros = 200 * MS;

#[derive(Clone, Debug, Default)]
pub struct ActiveFaults {
    pub cut_hosts: Option<u16>,
    pub cut_control_site: Option<u16>,
    pub slow_link: Option<(u16, Micros)>,
    pub slow_connects: Micros,
    pub stalled_controller: bool,
    pub refusing_controller: bool,
    pub controller_delay: Micros,
    pub list_delay: Micros,
    pub list_breaks: bool,
    pub shift: f64,
    pub worthless: f64,
    pub give_up: f64,
    pub repeats: f64,
    pub hot_key: f64,
    /// Part of the packets that are lost.
    pub loss: f64,
}

impl ActiveFaults {
    /// Fault `n` of the day begins. `false`: it concerns hosts, routers or builds.
    pub fn begin(&mut self, day: &Scenario, n: usize, trouble: &Fault) -> bool {
        let site = (n as u64 + day.seed) as u16 % day.sites;
        let seconds = (trouble.size * SECOND as f64) as Micros;
        match trouble.kind {
            FaultKind::Cut => (self.cut_hosts, self.cut_control_site) = (Some(site), Some(site)),
            // The list's own site cut off leaves every other router without news.
            FaultKind::CutList => self.cut_control_site = Some(CONTROL_SITE),
            FaultKind::CutHosts => self.cut_hosts = Some(site),
            FaultKind::SlowLink => self.slow_link = Some((site, seconds)),
            FaultKind::LossyLinks => self.loss = trouble.size.clamp(0.0, 0.9),
            FaultKind::SlowConnects => self.slow_connects = seconds,
            FaultKind::StalledController => self.stalled_controller = true,
            FaultKind::RefusingController => self.refusing_controller = true,
            FaultKind::LateController => self.controller_delay = seconds,
            FaultKind::LateList => self.list_delay = seconds,
            FaultKind::ListBreaks => self.list_breaks = true,
            FaultKind::Shift => self.shift = trouble.size.clamp(0.0, 1.0),
            FaultKind::Worthless => self.worthless = trouble.size,
            FaultKind::GiveUp => self.give_up = trouble.size.clamp(0.0, 1.0),
            FaultKind::RepeatStorm => self.repeats = trouble.size,
            FaultKind::HotKey => self.hot_key = trouble.size.clamp(0.0, 1.0),
            _ => return false,
        }
        true
    }

    /// `others`: troubles that still last, so that two of a kind which overlap end with the later one.
    pub fn end(&mut self, day: &Scenario, trouble: &Fault, others: &[(usize, Fault)]) {
        match trouble.kind {
            FaultKind::Cut => (self.cut_hosts, self.cut_control_site) = (None, None),
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
            FaultKind::RepeatStorm => self.repeats = 0.0,
            FaultKind::HotKey => self.hot_key = 0.0,
            _ => return,
        }
        for (n, other) in others {
            self.begin(day, *n, other);
        }
    }

    /// The delay one way, or `None` while the sites are cut from each other.
    pub fn delay(&self, a: u16, b: u16, way: LinkDirection) -> Option<Micros> {
        let cut = if way == LinkDirection::Hosts {
            self.cut_hosts
        } else {
            self.cut_control_site
        };
        if a != b && cut.is_some_and(|site| site == a || site == b) {
            return None;
        }
        let slow = self
            .slow_link
            .filter(|(site, _)| a != b && (*site == a || *site == b));
        Some(if a == b { 0 } else { BETWEEN_SITES } + slow.map_or(0, |s| s.1))
    }
}
