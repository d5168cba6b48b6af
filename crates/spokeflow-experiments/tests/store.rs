//! The store of results keeps them across openings, and reports a damaged file.

use spokeflow_experiments::store::{Store, StoredResult};
use spokeflow_scenario::scenario::Scenario;
use spokeflow_scenario::SECOND;
use spokeflow_simulator::{play, StrategyKind};

#[test]
fn results_are_read_back_after_reopening_and_a_damaged_file_is_reported() {
    let file = std::env::temp_dir().join(format!("spokeflow-store-{}.redb", std::process::id()));
    let report = play(&Scenario::plain(1, 5 * SECOND), StrategyKind::Engine, false).report;
    let stored = StoredResult {
        build: "b1".to_string(),
        scenario: "plain".to_string(),
        seed: 1,
        size: "small".to_string(),
        overrides: "usual".to_string(),
        strategy: "engine".to_string(),
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
    let error = Store::open(&file).err().unwrap().to_string();
    assert!(error.starts_with("--store"), "{error}");
    std::fs::remove_file(&file).unwrap();
}
