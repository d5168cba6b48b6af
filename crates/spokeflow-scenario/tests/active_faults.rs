//! Faults that overlap.

use spokeflow_scenario::active_faults::{ActiveFaults, LinkKind, BETWEEN_SITES};
use spokeflow_scenario::scenario::{Fault, Scenario};
use spokeflow_scenario::SECOND;

#[test]
fn two_cuts_that_overlap_end_with_the_later_one() {
    let day = Scenario::plain(0, 60 * SECOND);
    let cut = |at: &str| at.parse::<Fault>().unwrap();
    let (first, second) = (cut("cut:at=1s"), cut("cut:at=2s"));
    let mut faults = ActiveFaults::default();
    assert!(faults.begin(&day, 0, &first) && faults.begin(&day, 1, &second));
    assert_eq!(faults.delay(0, 1, LinkKind::Hosts), None);
    faults.end(&day, &first, &[(1, second)]);
    assert_eq!(
        (
            faults.delay(0, 1, LinkKind::Hosts),
            faults.delay(0, 2, LinkKind::ControlSite)
        ),
        (None, Some(BETWEEN_SITES))
    );
    faults.end(&day, &second, &[]);
    assert_eq!(faults.delay(0, 1, LinkKind::Hosts), Some(BETWEEN_SITES));
}
