//! Results in an embedded store: each is written whole with its build, scenario and seed before the next is begun,
//! so that a sweep killed half-way goes on where it was.

use std::io;
use std::path::{Path, PathBuf};

use redb::{Database, ReadableDatabase, ReadableTable, ReadableTableMetadata, TableDefinition};
use serde::{Deserialize, Serialize};
use spokeflow_scenario::report::Report;
use thiserror::Error;

/// From `BUILD|KEY` to a [`Stored`] as JSON.
const RESULTS: TableDefinition<&str, &[u8]> = TableDefinition::new("results-1");

/// What is wrong with a store.
#[derive(Debug, Error)]
pub enum StoreError {
    /// The folder of the file cannot be made.
    #[error("--store {}: {source}", file.display())]
    Folder {
        /// The store's file.
        file: PathBuf,
        /// What the system says.
        source: io::Error,
    },
    /// The file cannot be made, is in use or is no store.
    #[error("--store {}: {source}", file.display())]
    Open {
        /// The store's file.
        file: PathBuf,
        /// What the database says.
        source: redb::Error,
    },
    /// Reading or writing failed: the disk is full or fails, or the file is damaged.
    #[error(transparent)]
    Database(#[from] redb::Error),
    /// A result cannot be written as JSON.
    #[error(transparent)]
    Encode(serde_json::Error),
    /// A result is damaged or of another version.
    #[error("result '{key}': {source}")]
    Decode {
        /// By which it is stored.
        key: String,
        /// What does not fit.
        source: serde_json::Error,
    },
}

/// A result with all that says how it came about.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq)]
pub struct Stored {
    /// The program that played it.
    pub build: String,
    /// Name of the scenario.
    #[serde(rename = "day")]
    pub scenario: String,
    /// By which the scenario was made.
    pub seed: u64,
    /// Name of the size.
    pub size: String,
    /// Changed settings, as written.
    #[serde(rename = "terms")]
    pub overrides: String,
    /// Who decided.
    #[serde(rename = "who")]
    pub strategy: String,
    /// What came of it, without the curves over time.
    pub report: Report,
}

/// An open store; the file is locked while it lives.
pub struct Store {
    database: Database,
}

impl Store {
    /// Opens the file, and makes it and its folder where they are missing.
    ///
    /// # Errors
    /// The file cannot be made, is in use or is no store.
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
        let database = Store::create(file).map_err(|source| StoreError::Open {
            file: file.to_path_buf(),
            source,
        })?;
        Ok(Store { database })
    }

    fn create(file: &Path) -> Result<Database, redb::Error> {
        let database = Database::create(file)?;
        let transaction = database.begin_write()?;
        transaction.open_table(RESULTS)?;
        transaction.commit()?;
        Ok(database)
    }

    fn row_key(build: &str, key: &str) -> String {
        format!("{build}|{key}")
    }

    /// Whether the build has a result of this key.
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

    /// Writes a result; it is on the disk when this returns.
    ///
    /// # Errors
    /// The disk is full or fails.
    pub fn put(&self, key: &str, stored: &Stored) -> Result<(), StoreError> {
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

    /// All results in the order of their keys.
    ///
    /// # Errors
    /// The store is damaged or of another version.
    pub fn all(&self) -> Result<Vec<Stored>, StoreError> {
        self.decoded_rows()?.into_iter().collect()
    }

    fn decoded_rows(&self) -> Result<Vec<Result<Stored, StoreError>>, redb::Error> {
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
