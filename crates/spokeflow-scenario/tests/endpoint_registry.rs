//! The host list's model: whole lists and changes.

use spokeflow_scenario::endpoint_registry::{EndpointRegistry, Entry, REMEMBERED_CHANGES};
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
fn one_who_missed_too_much_is_told_all_and_the_gone_are_forgotten() {
    let mut registry = EndpointRegistry::default();
    registry.schedule_update(1, entry(1, Phase::Ready));
    registry.schedule_update(1, entry(2, Phase::Ready));
    registry.tick(5);
    assert_eq!(registry.updates_since(Some(1)).1.len(), 1);
    registry.schedule_update(6, entry(2, Phase::Gone));
    for n in 0..REMEMBERED_CHANGES as Micros + 3 {
        registry.schedule_update(10 + n, entry(1, Phase::Ready));
        registry.tick(10 + n);
    }
    let (whole, lines) = registry.updates_since(Some(2));
    assert!(whole && lines.len() == 1);
    assert_eq!(
        (registry.endpoints(), registry.remembered_changes()),
        (1, REMEMBERED_CHANGES)
    );
}

#[test]
fn what_is_learned_of_one_host_is_learned_in_order() {
    let mut registry = EndpointRegistry::default();
    registry.schedule_update(100, entry(1, Phase::Ready));
    assert_eq!(registry.schedule_update(50, entry(1, Phase::Gone)), 101);
    registry.tick(200);
    assert!(registry.updates_since(None).1.is_empty());
}
