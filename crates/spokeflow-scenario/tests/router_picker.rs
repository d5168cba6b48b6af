//! Selection of the router for a client's attempt.

use spokeflow_scenario::router_picker::RouterPicker;
use spokeflow_scenario::scenario::Scenario;
use spokeflow_scenario::{MS, SECOND};

#[test]
fn first_attempts_go_to_routers_of_the_site_and_skip_one_known_to_be_down() {
    let scenario = Scenario {
        routers: 8,
        ..Scenario::plain(3, 60 * SECOND)
    };
    let picker = RouterPicker::new(&scenario);
    let picked: std::collections::BTreeSet<usize> = (0..50)
        .map(|drawn| picker.router_for(1, drawn, 0, 0, |_| None))
        .collect();
    assert_eq!(picked.into_iter().collect::<Vec<_>>(), [1, 4, 7]);
    let down_since = |router| (router == 1).then_some(0);
    assert_eq!(
        picker.router_for(1, 0, 0, MS, down_since),
        1,
        "not detected yet"
    );
    assert_eq!(picker.router_for(1, 0, 0, 10 * SECOND, down_since), 2);
}
