//! The text of an operation's flag.

use spokeflow_config::OperationFlag;

#[test]
fn an_op_type_survives_its_own_text() {
    for text in [
        "a:redeliverable:target=1.2s:timeout=4s",
        "b:deduplicated/cell:memory=2s:target=1s:timeout=3s",
    ] {
        let op = text.parse::<OperationFlag>().unwrap();
        assert_eq!(op.to_string().parse::<OperationFlag>().unwrap(), op);
    }
}
