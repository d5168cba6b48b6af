//! The effects of active faults on links, endpoint list, release controller and clients. The simulator and the testbed
//! apply the effects on hosts and routers themselves.

use crate::scenario::{Fault, FaultKind, Scenario};
use crate::{Micros, MS, SECOND};

/// The kind of a link between two sites; a fault may cut one kind only.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkKind {
    /// Commands between routers and hosts.
    Hosts,
    /// Updates of the endpoint list and the release controller.
    ControlSite,
}

/// The site of the endpoint list and the release controller.
pub const CONTROL_SITE: u16 = 0;
/// One-way delay between two sites without a fault.
pub const INTER_SITE_DELAY: Micros = 2 * MS;
/// Delay until a lost packet is retransmitted.
pub const RETRANSMISSION_DELAY: Micros = 200 * MS;

/// The effects of the faults that are currently active; 0, false or `None` for those that are not.
#[derive(Clone, Debug, Default)]
pub struct ActiveFaults {
    /// Site that is cut off from the hosts of other sites.
    pub cut_hosts: Option<u16>,
    /// Site that is cut off from the endpoint list and the release controller.
    pub cut_control_site: Option<u16>,
    /// Site whose links are slow, and their additional one-way delay.
    pub slow_link: Option<(u16, Micros)>,
    /// Additional time to establish a connection.
    pub slow_connects: Micros,
    /// Whether the release controller is stalled.
    pub stalled_controller: bool,
    /// Whether the release controller refuses connections.
    pub refusing_controller: bool,
    /// Additional delay of updates of the release controller.
    pub controller_delay: Micros,
    /// Additional delay until changes reach the endpoint list.
    pub list_delay: Micros,
    /// Whether the endpoint list closes its connections.
    pub list_breaks: bool,
    /// Fraction of the traffic that moves to one site.
    pub shift: f64,
    /// Additional traffic of one tenant, as a multiple of its usual traffic.
    pub tenant_overload: f64,
    /// Fraction of their timeout after which some clients abandon an attempt; 0 for none.
    pub give_up: f64,
    /// Additional retries of a client.
    pub extra_retries: f64,
    /// Fraction of the traffic that has one key.
    pub hot_key: f64,
    /// Fraction of the packets that are lost.
    pub loss: f64,
}

impl ActiveFaults {
    /// Applies fault `n` of the run when it begins. Returns false if it affects hosts, routers or builds instead.
    pub fn begin(&mut self, scenario: &Scenario, n: usize, fault: &Fault) -> bool {
        let site = (n as u64 + scenario.seed) as u16 % scenario.sites;
        let seconds = (fault.size * SECOND as f64) as Micros;
        match fault.kind {
            FaultKind::Cut => {
                self.cut_hosts = Some(site);
                self.cut_control_site = Some(site);
            }
            // Without its site's links the endpoint list and the release controller reach no router of another site.
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
            FaultKind::TenantOverload => self.tenant_overload = fault.size,
            FaultKind::GiveUp => self.give_up = fault.size.clamp(0.0, 1.0),
            FaultKind::RetryStorm => self.extra_retries = fault.size,
            FaultKind::HotKey => self.hot_key = fault.size.clamp(0.0, 1.0),
            _ => return false,
        }
        true
    }

    /// Removes the effect of a fault when it ends. `others` are the faults that are still active; they are applied
    /// again, so that an effect of two overlapping faults lasts until the later one ends.
    pub fn end(&mut self, scenario: &Scenario, fault: &Fault, others: &[(usize, Fault)]) {
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
            FaultKind::TenantOverload => self.tenant_overload = 0.0,
            FaultKind::GiveUp => self.give_up = 0.0,
            FaultKind::RetryStorm => self.extra_retries = 0.0,
            FaultKind::HotKey => self.hot_key = 0.0,
            _ => return,
        }
        for (n, other) in others {
            self.begin(scenario, *n, other);
        }
    }

    /// Returns the one-way delay between two sites, or `None` while they are cut off from each other.
    pub fn delay(&self, from: u16, to: u16, kind: LinkKind) -> Option<Micros> {
        if from == to {
            return Some(0);
        }
        let touches = |site: u16| site == from || site == to;
        let cut = match kind {
            LinkKind::Hosts => self.cut_hosts,
            LinkKind::ControlSite => self.cut_control_site,
        };
        if cut.is_some_and(touches) {
            return None;
        }
        let slow = self.slow_link.filter(|(site, _)| touches(*site));
        Some(INTER_SITE_DELAY + slow.map_or(0, |(_, delay)| delay))
    }
}
