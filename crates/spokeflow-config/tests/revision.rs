//! Error messages for a revision whose values cannot be used.

use spokeflow_config::check_overrides;
use spokeflow_coordination::Overrides;

fn errors(flag: &str, text: &str) -> String {
    let values = Overrides::from([(flag.to_string(), text.to_string())]);
    check_overrides(&values).unwrap_err().to_string()
}

#[test]
fn unusable_values_of_a_revision_are_reported_by_flag() {
    let cases = [
        (
            "listen",
            "x",
            "--listen: cannot be changed while routers run",
        ),
        (
            "fleet-size",
            "-1",
            "--fleet-size: '-1' is not a valid number for this flag",
        ),
        (
            "stage-cap",
            "0.1, many",
            "--stage-cap: 'many' is not a valid number for this flag",
        ),
        (
            "drain-grace",
            "soon",
            "--drain-grace: expected number at 0; use a duration with a unit, such as 250ms or 1.2s",
        ),
        (
            "customer",
            "a=5,b",
            "--customer: not NAME=COMMANDS_A_SECOND",
        ),
        ("customer", "a=few", "--customer: 'few' is not a number"),
        (
            "customer",
            "a=0",
            "--customer: 'a': the quota must be above 0, got 0",
        ),
    ];
    for (flag, text, expected) in cases {
        assert_eq!(errors(flag, text), expected);
    }
}
