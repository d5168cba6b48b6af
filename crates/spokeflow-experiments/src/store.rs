//! An embedded database of results. Each result is committed in a transaction of its own, with its build, scenario and
//! seed, so that a killed sweep keeps every result written before.

use std::io;
use std::path::{Path, PathBuf};

use redb::{Database, ReadableDatabase, ReadableTable, ReadableTableMetadata, TableDefinition};
use serde::{Deserialize, Serialize};
use spokeflow_scenario::report::Report;
use thiserror::Error;

/// Maps `BUILD|KEY` to a [`StoredResult`] as JSON.
const RESULTS: TableDefinition<&str, &[u8]> = TableDefinition::new("results-1");

/// The store cannot be opened, read or written.
#[derive(Debug, Error)]
pub enum StoreError {
    /// The folder of the file cannot be created.
    #[error("--store {}: cannot create its folder: {source}", file.display())]
    Folder {
        /// The store's file.
        file: PathBuf,
        /// The error of the operating system.
        source: io::Error,
    },
    /// The file cannot be created, is in use or is not a store.
    #[error("--store {}: cannot open it: {source}", file.display())]
    Open {
        /// The store's file.
        file: PathBuf,
        /// The error of the database.
        source: redb::Error,
    },
    /// Reading or writing failed: the disk is full or fails, or the file is damaged.
    #[error("cannot read or write the result store: {0}")]
    Database(#[from] redb::Error),
    /// A result cannot be encoded as JSON.
    #[error("cannot encode a result as JSON: {0}")]
    Encode(#[source] serde_json::Error),
    /// A stored result is damaged or was written by an incompatible version.
    #[error("cannot decode the stored result '{key}': {source}")]
    Decode {
        /// The key of the result.
        key: String,
        /// The error of the JSON decoder.
        source: serde_json::Error,
    },
}

/// The result of a run, with everything that identifies the run.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq)]
pub struct StoredResult {
    /// The label of the program that played the run.
    pub build: String,
    /// The name of the scenario.
    #[serde(rename = "day")]
    pub scenario: String,
    /// The seed that generated the scenario.
    pub seed: u64,
    /// The name of the deployment size.
    pub size: String,
    /// The overrides of settings, as written on the command line.
    #[serde(rename = "terms")]
    pub overrides: String,
    /// The name of the routing strategy.
    #[serde(rename = "who")]
    pub strategy: String,
    /// The report of the run, without the curves over time.
    pub report: Report,
}

/// An open store. The file is locked until the store is dropped.
pub struct Store {
    database: Database,
}

impl Store {
    /// Opens the file. Creates it and its folder if they are missing.
    ///
    /// # Errors
    /// The file cannot be created, is in use or is not a store.
    pub fn open(file: &Path) -> Result<Store, StoreError> {
        if let Some(folder) = file
            .parent()
            .filter(|folder| !folder.as_os_str().is_empty())
        {
            std::fs::create_dir_all(folder).map_err(|source| StoreError::Folder {
                file: file.to_path_buf(),
                source,
            })?;
        }
        let database = Store::open_database(file).map_err(|source| StoreError::Open {
            file: file.to_path_buf(),
            source,
        })?;
        Ok(Store { database })
    }

    fn open_database(file: &Path) -> Result<Database, redb::Error> {
        let database = Database::create(file)?;
        let transaction = database.begin_write()?;
        transaction.open_table(RESULTS)?;
        transaction.commit()?;
        Ok(database)
    }

    fn row_key(build: &str, key: &str) -> String {
        format!("{build}|{key}")
    }

    /// Returns whether the store has a result of this build under this key.
    ///
    /// # Errors
    /// The store cannot be read.
    pub fn has(&self, build: &str, key: &str) -> Result<bool, StoreError> {
        Ok(self.has_row(&Store::row_key(build, key))?)
    }

    fn has_row(&self, row_key: &str) -> Result<bool, redb::Error> {
        let transaction = self.database.begin_read()?;
        let table = transaction.open_table(RESULTS)?;
        Ok(table.get(row_key)?.is_some())
    }

    /// Writes a result durably: it survives a crash once this returns.
    ///
    /// # Errors
    /// The disk is full or fails.
    pub fn put(&self, key: &str, stored: &StoredResult) -> Result<(), StoreError> {
        let bytes = serde_json::to_vec(stored).map_err(StoreError::Encode)?;
        Ok(self.put_row(&Store::row_key(&stored.build, key), &bytes)?)
    }

    fn put_row(&self, row_key: &str, bytes: &[u8]) -> Result<(), redb::Error> {
        let transaction = self.database.begin_write()?;
        {
            let mut table = transaction.open_table(RESULTS)?;
            table.insert(row_key, bytes)?;
        }
        transaction.commit()?;
        Ok(())
    }

    /// Returns all results in the order of their keys.
    ///
    /// # Errors
    /// The store is damaged or was written by an incompatible version.
    pub fn all(&self) -> Result<Vec<StoredResult>, StoreError> {
        self.decoded_rows()?.into_iter().collect()
    }

    fn decoded_rows(&self) -> Result<Vec<Result<StoredResult, StoreError>>, redb::Error> {
        let transaction = self.database.begin_read()?;
        let table = transaction.open_table(RESULTS)?;
        let mut rows = Vec::with_capacity(table.len()? as usize);
        for row in table.iter()? {
            let (key, value) = row?;
            let decoded = serde_json::from_slice(value.value());
            rows.push(decoded.map_err(|source| StoreError::Decode {
                key: key.value().to_string(),
                source,
            }));
        }
        Ok(rows)
    }
}
