//! Overlapping faults.

use spokeflow_scenario::active_faults::{ActiveFaults, LinkKind, INTER_SITE_DELAY};
use spokeflow_scenario::scenario::{Fault, Scenario};
use spokeflow_scenario::SECOND;

#[test]
fn overlapping_cuts_last_until_the_later_one_ends() {
    let scenario = Scenario::plain(0, 60 * SECOND);
    let cut = |at: &str| at.parse::<Fault>().unwrap();
    let (first, second) = (cut("cut:at=1s"), cut("cut:at=2s"));
    let mut faults = ActiveFaults::default();
    assert!(faults.begin(&scenario, 0, &first) && faults.begin(&scenario, 1, &second));
    assert_eq!(faults.delay(0, 1, LinkKind::Hosts), None);
    faults.end(&scenario, &first, &[(1, second)]);
    assert_eq!(
        (
            faults.delay(0, 1, LinkKind::Hosts),
            faults.delay(0, 2, LinkKind::ControlSite)
        ),
        (None, Some(INTER_SITE_DELAY))
    );
    faults.end(&scenario, &second, &[]);
    assert_eq!(faults.delay(0, 1, LinkKind::Hosts), Some(INTER_SITE_DELAY));
}
