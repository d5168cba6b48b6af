//! Which router a client's attempt goes to.

use spokeflow_scenario::router_picker::RouterPicker;
use spokeflow_scenario::scenario::Scenario;
use spokeflow_scenario::{MS, SECOND};

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
