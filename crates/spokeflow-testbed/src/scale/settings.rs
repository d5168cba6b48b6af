//! Settings of the routers of a run, real and hollow alike, and the values of the revisions that are offered.

use std::net::SocketAddr;

use spokeflow_config::CustomerFlag;
use spokeflow_coordination::Overrides;

/// One argument of a program may be no longer than this on Linux, less some room.
const ARGUMENT_AT_MOST: usize = 100_000;
/// Every customer's commands a second at the start.
const TENANT_QUOTA: u32 = 10;

/// What all routers of a run are told alike.
#[derive(Clone, Debug)]
pub(super) struct RouterSettings {
    pub nodes: Vec<SocketAddr>,
    pub fleet_size: u32,
    pub tenants: u32,
    pub replicated_list: bool,
    pub seed: u64,
}

/// Where a real router finds what surrounds it.
#[derive(Clone, Copy, Debug)]
pub(super) struct RouterPeers {
    pub list: SocketAddr,
    pub release_controller: SocketAddr,
}

fn tenant(number: u32) -> String {
    format!("t{number:05}")
}

/// Customers of a run, with their quotas.
pub(super) fn customers(tenants: u32) -> Vec<CustomerFlag> {
    (0..tenants)
        .map(|number| CustomerFlag {
            name: tenant(number),
            quota: f64::from(TENANT_QUOTA),
        })
        .collect()
}

/// The values of the `number`-th revision: one plain value, and where there are customers, all of them with one share
/// changed, since a revision names a flag's whole value.
pub fn revision(number: u32, tenants: u32) -> Overrides {
    let mut values = Overrides::from([("exposure-free".to_string(), (1000 + number).to_string())]);
    if tenants > 0 {
        let changed = number % tenants;
        let share = |n: u32| {
            if n == changed {
                TENANT_QUOTA + 1
            } else {
                TENANT_QUOTA
            }
        };
        let list: Vec<String> = (0..tenants)
            .map(|n| format!("{}={}", tenant(n), share(n)))
            .collect();
        values.insert("customer".into(), list.join(","));
    }
    values
}

impl RouterSettings {
    /// Flags of one router, without its customers.
    pub(super) fn flags(&self, index: u32, site: u16, peers: RouterPeers) -> Vec<String> {
        let mut flags = vec![
            "--listen=127.0.0.1:0".to_string(),
            format!("--list={}", peers.list),
            format!("--release-controller={}", peers.release_controller),
            format!("--index={index}"),
            format!("--site={site}"),
            format!("--fleet-size={}", self.fleet_size),
            "--op=read:redeliverable:target=500ms:timeout=2s".into(),
            "--op=seal:at-most-once:target=500ms:timeout=2s".into(),
            format!(
                "--seed={}",
                self.seed.wrapping_mul(31).wrapping_add(u64::from(index))
            ),
        ];
        flags.extend(
            self.nodes
                .iter()
                .map(|node| format!("--control-plane={node}")),
        );
        if self.replicated_list {
            flags.push("--replicated-list".into());
        }
        flags
    }

    /// Flags that name the customers, as many to one flag as fit.
    pub(super) fn customer_flags(&self) -> Vec<String> {
        let mut flags: Vec<String> = Vec::new();
        for customer in customers(self.tenants) {
            let named = format!("{}={}", customer.name, customer.quota);
            match flags
                .last_mut()
                .filter(|flag| flag.len() + named.len() < ARGUMENT_AT_MOST)
            {
                Some(flag) => {
                    flag.push(',');
                    flag.push_str(&named);
                }
                None => flags.push(format!("--customer={named}")),
            }
        }
        flags
    }
}
