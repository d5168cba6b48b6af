//! The text of an operation's flag.

use spokeflow_config::OperationFlag;

#[test]
fn an_operation_is_read_back_from_its_own_text() {
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
