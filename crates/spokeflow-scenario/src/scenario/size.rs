//! Fleet sizes, and the settings of a scenario that depend on the size.

use serde::Serialize;

use super::{Gate, Scenario};

/// Fleet sizes with a name, so that the same size can be requested by a flag and compared between runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, clap::ValueEnum)]
#[serde(rename_all = "kebab-case")]
pub enum FleetSize {
    /// 3 routers, 15 hosts, 46 commands a second; fits a run on sockets on one machine
    Small,
    /// 20 routers, 60 hosts, 200 commands a second
    Middle,
    /// 150 routers, 300 hosts, 1,000 commands a second
    Grown,
    /// 600 routers, 90 hosts, 300 commands a second
    ManyRouters,
    /// 20 routers, 3,000 hosts, 10,000 commands a second
    ManyHosts,
}

impl Scenario {
    /// Returns the scenario at another size, with the tenants' quotas, the keys and the rate scaled in proportion.
    pub fn sized(mut self, size: FleetSize) -> Scenario {
        let (routers, hosts, rate) = match size {
            FleetSize::Small => return self,
            FleetSize::Middle => (20, 60, 200.0),
            FleetSize::Grown => (150, 300, 1000.0),
            FleetSize::ManyRouters => (600, 90, 300.0),
            FleetSize::ManyHosts => (20, 3000, 10_000.0),
        };
        self.routers = routers;
        self.hosts = hosts;
        self.set_rate(rate);
        self
    }

    /// Sets the rate, in commands a second, and scales the tenants' quotas and the number of keys in proportion.
    pub fn set_rate(&mut self, rate: f64) {
        let growth = rate / self.rate;
        self.rate = rate;
        for tenant in &mut self.tenants {
            tenant.allowed *= growth;
        }
        self.keys = ((self.keys as f64 * growth) as u64).max(1);
    }

    /// Returns the scenario with a majority gate and with gossip between routers.
    pub fn with_majority_gate(mut self) -> Scenario {
        self.gate = Gate::Majority;
        self.may_gossip = true;
        self
    }
}
