//! Settings of the routers of a run, both real and hollow, and the values of the revisions that are proposed.

use std::net::SocketAddr;

use spokeflow_config::CustomerFlag;
use spokeflow_coordination::Overrides;

/// Length in bytes up to which tenants are added to one argument. Linux limits a single argument to 128 KiB.
const MAX_ARGUMENT_BYTES: usize = 100_000;
/// Initial quota of every tenant, in commands per second.
const INITIAL_QUOTA: u32 = 10;

/// Settings that all routers of a run have in common.
#[derive(Clone, Debug)]
pub(super) struct RouterSettings {
    /// Addresses of the control-plane nodes.
    pub control_plane: Vec<SocketAddr>,
    pub fleet_size: u32,
    pub tenants: u32,
    pub replicated_list: bool,
    pub seed: u64,
}

/// Addresses of a router's own list source and release controller.
#[derive(Clone, Copy, Debug)]
pub(super) struct RouterPeers {
    pub list: SocketAddr,
    pub release_controller: SocketAddr,
}

fn tenant_name(number: u32) -> String {
    format!("t{number:05}")
}

/// Returns the tenants of a run, with their quotas, as values of the flag `--customer`.
pub(super) fn tenant_quotas(tenants: u32) -> Vec<CustomerFlag> {
    (0..tenants)
        .map(|number| CustomerFlag {
            name: tenant_name(number),
            quota: f64::from(INITIAL_QUOTA),
        })
        .collect()
}

/// Returns the values of the `number`-th revision: one single-valued flag and, if there are tenants, the list of all
/// tenants with the quota of one of them changed, as a revision always contains the complete value of a flag.
pub fn revision_values(number: u32, tenants: u32) -> Overrides {
    let mut values = Overrides::from([("exposure-free".to_string(), (1000 + number).to_string())]);
    if tenants > 0 {
        let changed = number % tenants;
        let quota = |n: u32| {
            if n == changed {
                INITIAL_QUOTA + 1
            } else {
                INITIAL_QUOTA
            }
        };
        let list: Vec<String> = (0..tenants)
            .map(|n| format!("{}={}", tenant_name(n), quota(n)))
            .collect();
        values.insert("customer".into(), list.join(","));
    }
    values
}

impl RouterSettings {
    /// Returns the flags of one router, without those of its tenants.
    pub(super) fn flags(&self, index: u32, zone: u16, peers: RouterPeers) -> Vec<String> {
        let mut flags = vec![
            "--listen=127.0.0.1:0".to_string(),
            format!("--list={}", peers.list),
            format!("--release-controller={}", peers.release_controller),
            format!("--index={index}"),
            format!("--site={zone}"),
            format!("--fleet-size={}", self.fleet_size),
            "--op=read:redeliverable:target=500ms:timeout=2s".into(),
            "--op=seal:at-most-once:target=500ms:timeout=2s".into(),
            format!(
                "--seed={}",
                self.seed.wrapping_mul(31).wrapping_add(u64::from(index))
            ),
        ];
        flags.extend(
            self.control_plane
                .iter()
                .map(|node| format!("--control-plane={node}")),
        );
        if self.replicated_list {
            flags.push("--replicated-list".into());
        }
        flags
    }

    /// Returns the flags `--customer` for all tenants, each with as many tenants as fit into one argument.
    pub(super) fn tenant_flags(&self) -> Vec<String> {
        let mut flags: Vec<String> = Vec::new();
        for tenant in tenant_quotas(self.tenants) {
            let named = format!("{}={}", tenant.name, tenant.quota);
            match flags
                .last_mut()
                .filter(|flag| flag.len() + named.len() < MAX_ARGUMENT_BYTES)
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
