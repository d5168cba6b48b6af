//! The text form of an operation's flag.

use spokeflow_config::OperationFlag;

#[test]
fn a_displayed_operation_parses_to_the_same_operation() {
    for text in [
        "a:redeliverable:target=1.2s:timeout=4s",
        "b:deduplicated/cell:memory=2s:target=1s:timeout=3s",
    ] {
        let operation = text.parse::<OperationFlag>().unwrap();
        assert_eq!(
            operation.to_string().parse::<OperationFlag>().unwrap(),
            operation
        );
    }
}
