//! Results in an embedded store: each is written whole with its build, day and seed before the next is begun, so
//! that a sweep killed half-way goes on where it was.

use std::path::Path;

use redb::{Database, ReadableDatabase, ReadableTable, ReadableTableMetadata, TableDefinition};
use serde::{Deserialize, Serialize};
use spokeflow_scenario::report::Report;

const RESULTS: TableDefinition<&str, &[u8]> = TableDefinition::new("results-1");

#[derive(Clone, Debug, Serialize, Deserialize, PartialEq)]
pub struct Stored {
    /// The program that played it.
    pub build: String,
    pub day: String,
    pub seed: u64,
    pub size: String,
    pub terms: String,
    pub who: String,
    pub report: Report,
}

pub struct Store {
    db: Database,
}

/// In one line: what went wrong with which file.
fn fault(file: &Path, what: impl std::fmt::Display) -> String {
    format!("--store {}: {what}", file.display())
}

impl Store {
    /// Errors: the file cannot be made or is no store.
    pub fn open(file: &Path) -> Result<Store, String> {
        if let Some(folder) = file.parent().filter(|f| !f.as_os_str().is_empty()) {
            std::fs::create_dir_all(folder).map_err(|e| fault(file, e))?;
        }
        let db = Database::create(file).map_err(|e| fault(file, e))?;
        let write = db.begin_write().map_err(|e| fault(file, e))?;
        write.open_table(RESULTS).map_err(|e| fault(file, e))?;
        write.commit().map_err(|e| fault(file, e))?;
        Ok(Store { db })
    }

    fn key(build: &str, key: &str) -> String {
        format!("{build}|{key}")
    }

    pub fn has(&self, build: &str, key: &str) -> Result<bool, String> {
        let read = self.db.begin_read().map_err(|e| e.to_string())?;
        let table = read.open_table(RESULTS).map_err(|e| e.to_string())?;
        Ok(table
            .get(Store::key(build, key).as_str())
            .map_err(|e| e.to_string())?
            .is_some())
    }

    /// On the disk when this returns. Errors: the disk is full or fails.
    pub fn put(&self, key: &str, stored: &Stored) -> Result<(), String> {
        let bytes = serde_json::to_vec(stored).map_err(|e| e.to_string())?;
        let write = self.db.begin_write().map_err(|e| e.to_string())?;
        {
            let mut table = write.open_table(RESULTS).map_err(|e| e.to_string())?;
            table
                .insert(Store::key(&stored.build, key).as_str(), bytes.as_slice())
                .map_err(|e| e.to_string())?;
        }
        write.commit().map_err(|e| e.to_string())
    }

    /// All results in the order of their keys. Errors: the store is damaged or of another version.
    pub fn all(&self) -> Result<Vec<Stored>, String> {
        let read = self.db.begin_read().map_err(|e| e.to_string())?;
        let table = read.open_table(RESULTS).map_err(|e| e.to_string())?;
        let mut all = Vec::with_capacity(table.len().map_err(|e| e.to_string())? as usize);
        for row in table.iter().map_err(|e| e.to_string())? {
            let (key, value) = row.map_err(|e| e.to_string())?;
            let stored = serde_json::from_slice(value.value());
            all.push(stored.map_err(|e| format!("result '{}': {e}", key.value()))?);
        }
        Ok(all)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use spokeflow_scenario::scenario::Scenario;
    use spokeflow_scenario::SECOND;
    use spokeflow_simulator::{play, StrategyKind};

    #[test]
    fn what_was_put_is_there_after_another_opening_and_damage_is_named() {
        let file =
            std::env::temp_dir().join(format!("spokeflow-store-{}.redb", std::process::id()));
        let report = play(&Scenario::plain(1, 5 * SECOND), StrategyKind::Engine, false).report;
        let text = |t: &str| t.to_string();
        let stored = Stored {
            build: text("b1"),
            day: text("plain"),
            seed: 1,
            size: text("small"),
            terms: text("usual"),
            who: text("engine"),
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
        let fault = Store::open(&file).err().unwrap();
        assert!(fault.starts_with("--store"), "{fault}");
        std::fs::remove_file(&file).unwrap();
    }
}
