//! The model of the endpoint list: complete lists and changes.

use spokeflow_scenario::endpoint_registry::{EndpointRegistry, Entry, MAX_RETAINED_CHANGES};
use spokeflow_scenario::observation::Phase;
use spokeflow_scenario::Micros;

fn entry(host: u32, phase: Phase) -> Entry {
    Entry {
        host,
        address: String::new(),
        site: 0,
        build: 1,
        phase,
        incarnation: 1,
        started: None,
    }
}

#[test]
fn a_router_that_missed_too_many_changes_gets_the_complete_list_and_gone_hosts_are_forgotten() {
    let mut registry = EndpointRegistry::default();
    registry.schedule_update(1, entry(1, Phase::Ready));
    registry.schedule_update(1, entry(2, Phase::Ready));
    registry.tick(5);
    assert_eq!(registry.updates_since(Some(1)).1.len(), 1);
    registry.schedule_update(6, entry(2, Phase::Gone));
    for n in 0..MAX_RETAINED_CHANGES as Micros + 3 {
        registry.schedule_update(10 + n, entry(1, Phase::Ready));
        registry.tick(10 + n);
    }
    let (complete, entries) = registry.updates_since(Some(2));
    assert!(complete && entries.len() == 1);
    assert_eq!(
        (registry.endpoint_count(), registry.retained_change_count()),
        (1, MAX_RETAINED_CHANGES)
    );
}

#[test]
fn updates_of_one_host_appear_in_order() {
    let mut registry = EndpointRegistry::default();
    registry.schedule_update(100, entry(1, Phase::Ready));
    assert_eq!(registry.schedule_update(50, entry(1, Phase::Gone)), 101);
    registry.tick(200);
    assert!(registry.updates_since(None).1.is_empty());
}
