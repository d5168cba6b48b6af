//! Results outlive the process that wrote them.

use spokeflow_experiments::store::{Store, Stored};
use spokeflow_scenario::scenario::Scenario;
use spokeflow_scenario::SECOND;
use spokeflow_simulator::{play, StrategyKind};

#[test]
fn what_was_put_is_there_after_another_opening_and_damage_is_named() {
    let file = std::env::temp_dir().join(format!("spokeflow-store-{}.redb", std::process::id()));
    let report = play(&Scenario::plain(1, 5 * SECOND), StrategyKind::Engine, false).report;
    let text = |t: &str| t.to_string();
    let stored = Stored {
        build: text("b1"),
        scenario: text("plain"),
        seed: 1,
        size: text("small"),
        overrides: text("usual"),
        strategy: text("engine"),
        report,
    };
    {
        let store = Store::open(&file).unwrap();
        assert!(!store.has("b1", "k").unwrap());
        store.put("k", &stored).unwrap();
        assert!(store.has("b1", "k").unwrap() && !store.has("b2", "k").unwrap());
    }
    assert_eq!(Store::open(&file).unwrap().all().unwrap(), [stored]);
    std::fs::write(&file, b"not a store").unwrap();
    let fault = Store::open(&file).err().unwrap().to_string();
    assert!(fault.starts_with("--store"), "{fault}");
    std::fs::remove_file(&file).unwrap();
}
