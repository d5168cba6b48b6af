//! Bytes of discovery and of the deployer.

use std::time::Duration;

use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::time::sleep;

use crate::common::*;
use crate::limits::{highest_memory_kb, Limits, ALL_LIMITS};
use crate::{list_of, run_alone, start, start_hosts};

/// A whole listing of the hosts and of `others` that only fill it.
pub(crate) fn long_list(revision: u64, hosts: &[Host], others: usize, prefix: &str) -> String {
    let members: Vec<String> = (0..others)
        .map(|n| {
            format!(r#"{{"id":"{prefix}{n}","host_port":"127.9.9.9:9","phase":"Terminating","locality":"a"}}"#)
        })
        .collect();
    let hosts = list_of(hosts).replace("\"revision\":1,", &format!("\"revision\":{revision},"));
    let hosts = hosts.strip_suffix("]}").unwrap();
    format!("{hosts},{}]}}", members.join(","))
}

/// Starts a deployer that sends long reports without end. Returns its address.
pub(crate) async fn deployer_of_reports() -> String {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap().to_string();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            tokio::spawn(async move {
                let report = format!("* report {} read 5\r\n", "h".repeat(8_000));
                let reports = report.repeat(64);
                while stream.write_all(reports.as_bytes()).await.is_ok() {}
            });
        }
    });
    address
}

/// Guards against listings that are held or kept as hosts without a bound: each names thousands of other hosts.
#[test]
fn endless_listings_stay_inside_the_memory_limit() {
    for limits in ALL_LIMITS {
        run_alone(async move {
            let hosts = start_hosts(|| HostAction::Respond(ok_response("good"))).await;
            let mut router = start(limits, &hosts).await;
            for revision in 2..8 {
                let text = long_list(revision, &hosts, 30_000, &format!("h{revision}-"));
                router.host_list.send_replace(text);
                sleep(Duration::from_millis(300)).await;
            }
            assert_eq!(router.status(&read_request("r1")).await, Some(200));
            limits.assert_held(&mut router, "listings");
        });
    }
}

/// Guards against a bound on hosts that is below what the platform lists: 3,200 hosts, at the least memory. Each listing
/// replaces all hosts, so that as many have gone.
#[test]
fn the_longest_host_list_is_taken_with_the_least_memory() {
    for limits in [Limits::new(32, 256), Limits::new(32, 1_024)] {
        run_alone(async move {
            let hosts = start_hosts(|| HostAction::Respond(ok_response("good"))).await;
            let mut router = start(limits, &hosts).await;
            let before_kb = highest_memory_kb(&router);
            for revision in 2..4 {
                let names: Vec<String> = (0..3_200)
                    .map(|n| format!("s-{:08x}", revision << 16 | n))
                    .collect();
                let entries = names.iter().zip(hosts.iter().cycle());
                let entries: Vec<_> = entries
                    .map(|(name, host)| {
                        (
                            name.as_str(),
                            host.address.as_str(),
                            "Ready",
                            revision as u16,
                        )
                    })
                    .collect();
                router.host_list.send_replace(list(revision, &entries));
                sleep(Duration::from_millis(500)).await;
                let id = format!("r{revision}");
                assert_eq!(router.status(&read_request(&id)).await, Some(200));
            }
            let log = std::fs::read_to_string(router.folder.join("log")).unwrap();
            let is_bounded = log.contains("discovery lost") || log.contains("no room");
            assert!(!is_bounded, "{log}");
            eprintln!("{limits:?}: {before_kb} kB before the list");
            limits.assert_held(&mut router, "3,200 hosts");
        });
    }
}

/// Guards against reports of the deployer that are held without a bound.
#[test]
fn endless_reports_stay_inside_the_memory_limit() {
    for limits in ALL_LIMITS {
        run_alone(async move {
            let deployer = deployer_of_reports().await;
            let hosts = start_hosts(|| HostAction::Respond(ok_response("good"))).await;
            let mut router = limits.start(list_of(&hosts), &deployer).await;
            sleep(Duration::from_secs(2)).await;
            assert_eq!(router.status(&read_request("r1")).await, Some(200));
            limits.assert_held(&mut router, "reports");
        });
    }
}
