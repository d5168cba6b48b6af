//! What a keeper must not forget, in an embedded store (redb). A write is on the disk, whole, when [`Store::write`]
//! returns: redb commits by two syncs and finds the last whole state by itself after a kill. Each record carries a
//! checksum of its own besides; one that does not fit is never read as true.

use std::fmt;
use std::path::{Path, PathBuf};

use redb::{Database, ReadableDatabase, ReadableTable, TableDefinition};
use serde::de::DeserializeOwned;
use serde::Serialize;
use spokeflow_raft::{Entry, LogIndex, NodeId, PersistRequest, PersistentState, Snapshot, Term};

const META: TableDefinition<&str, &[u8]> = TableDefinition::new("meta-1");
const LOG: TableDefinition<u64, &[u8]> = TableDefinition::new("log-1");
/// By keeper, the newest count of starts that it has been met with.
const STARTS: TableDefinition<u32, &[u8]> = TableDefinition::new("starts-1");

/// A start of a keeper: how many its store had counted, and the number that its process drew.
pub type Start = (u64, u64);

/// Processes that a store remembers.
pub const PROCESSES: usize = 24;

pub struct Store {
    db: Database,
    file: PathBuf,
    /// For tests: fails at the write with this number, and at all after it.
    fails_from: Option<u64>,
    writes: u64,
}

#[derive(Debug, PartialEq, Eq)]
pub enum StoreError {
    /// Not one of this version, or not to be opened.
    NotAStore(String),
    /// A record's checksum does not fit.
    Damaged(String),
    /// It belongs to another fleet or another keeper.
    Foreign(String),
    /// The disk is full or fails.
    Disk(String),
}

impl fmt::Display for StoreError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            StoreError::NotAStore(what) => write!(f, "cannot be opened: {what}"),
            StoreError::Damaged(what) => write!(
                f,
                "damaged: {what}; take this keeper out and add one with a new number and an empty store"
            ),
            StoreError::Foreign(what) => write!(f, "of another: {what}"),
            StoreError::Disk(what) => write!(f, "the disk fails: {what}"),
        }
    }
}

fn sealed(value: &impl Serialize) -> Vec<u8> {
    let body = postcard::to_stdvec(value).expect("plain types always serialize");
    let mut record = crc32fast::hash(&body).to_be_bytes().to_vec();
    record.extend(body);
    record
}

fn opened<T: DeserializeOwned>(what: &str, record: &[u8]) -> Result<T, StoreError> {
    let fault = || StoreError::Damaged(what.to_string());
    let (sum, body) = record.split_at_checked(4).ok_or_else(fault)?;
    if sum != crc32fast::hash(body).to_be_bytes() {
        return Err(fault());
    }
    postcard::from_bytes(body).map_err(|_| fault())
}

/// Errors of redb are many types; all say what happened.
macro_rules! disk {
    ($e:expr) => {
        $e.map_err(|e| StoreError::Disk(e.to_string()))?
    };
}

impl Store {
    /// Opens or makes the store of this keeper of this fleet, counts the start and notes its process. Answers what the
    /// keeper starts from, the count, and the latest processes, this one last.
    pub fn open(
        file: &Path,
        fleet: u64,
        own: NodeId,
        fails_from: Option<u64>,
        process: u64,
    ) -> Result<(Store, PersistentState, u64, Vec<u64>), StoreError> {
        if let Some(folder) = file.parent().filter(|f| !f.as_os_str().is_empty()) {
            disk!(std::fs::create_dir_all(folder));
        }
        let db = Database::create(file).map_err(|e| StoreError::NotAStore(e.to_string()))?;
        let store = Store {
            db,
            file: file.to_path_buf(),
            fails_from,
            writes: 0,
        };
        let write = disk!(store.db.begin_write());
        let (start, processes): (u64, Vec<u64>);
        {
            let mut meta = disk!(write.open_table(META));
            disk!(write.open_table(LOG));
            disk!(write.open_table(STARTS));
            let whose: Option<(u64, NodeId)> = read(&meta, "whose")?;
            if let Some((f, id)) = whose.filter(|w| *w != (fleet, own)) {
                return Err(StoreError::Foreign(format!(
                    "it is keeper {}'s of fleet {f}",
                    id.0
                )));
            }
            let (before, mut all) = read::<(u64, Vec<u64>)>(&meta, "starts")?.unwrap_or_default();
            all.push(process);
            all.drain(..all.len().saturating_sub(PROCESSES));
            (start, processes) = (before + 1, all);
            disk!(meta.insert("whose", sealed(&(fleet, own)).as_slice()));
            disk!(meta.insert("starts", sealed(&(start, &processes)).as_slice()));
        }
        disk!(write.commit());
        let saved = store.saved()?;
        Ok((store, saved, start, processes))
    }

    pub fn file(&self) -> &Path {
        &self.file
    }

    fn saved(&self) -> Result<PersistentState, StoreError> {
        let txn = disk!(self.db.begin_read());
        let meta = disk!(txn.open_table(META));
        let (term, voted) = read::<(Term, Option<NodeId>)>(&meta, "promised")?.unwrap_or_default();
        let snapshot = read::<Snapshot>(&meta, "snapshot")?.unwrap_or_default();
        let mut log = Vec::new();
        let table = disk!(txn.open_table(LOG));
        for (expected, row) in (snapshot.last_included_index.0 + 1..).zip(disk!(table.iter())) {
            let (place, record) = disk!(row);
            if place.value() != expected {
                return Err(StoreError::Damaged(format!(
                    "the log lacks place {expected}"
                )));
            }
            log.push(opened::<Entry>(
                &format!("the log's place {expected}"),
                record.value(),
            )?);
        }
        Ok(PersistentState {
            term,
            voted_for: voted,
            snapshot,
            log,
        })
    }

    /// Starts with which other keepers have been met, by id.
    pub fn starts(&self) -> Result<Vec<(NodeId, Start)>, StoreError> {
        let txn = disk!(self.db.begin_read());
        let table = disk!(txn.open_table(STARTS));
        let mut all = Vec::new();
        for row in disk!(table.iter()) {
            let (id, record) = disk!(row);
            all.push((
                NodeId(id.value()),
                opened("a count of starts", record.value())?,
            ));
        }
        Ok(all)
    }

    /// All of it in one commit, synced when this returns. Errors: the disk; nothing of it may then be taken for done,
    /// nor for not done.
    pub fn write(
        &mut self,
        writes: &[PersistRequest],
        met: &[(NodeId, Start)],
    ) -> Result<(), StoreError> {
        self.writes += 1;
        if self.fails_from.is_some_and(|n| self.writes >= n) {
            return Err(StoreError::Disk("told to by --fail-writes-from".into()));
        }
        let txn = disk!(self.db.begin_write());
        {
            let mut meta = disk!(txn.open_table(META));
            let mut log = disk!(txn.open_table(LOG));
            let mut starts = disk!(txn.open_table(STARTS));
            for (id, start) in met {
                disk!(starts.insert(id.0, sealed(start).as_slice()));
            }
            if let Some(last) = writes.last() {
                disk!(meta.insert("promised", sealed(&(last.term, last.voted_for)).as_slice()));
            }
            for w in writes {
                if let Some(snapshot) = &w.snapshot {
                    disk!(meta.insert("snapshot", sealed(snapshot).as_slice()));
                    disk!(log.retain_in(..=snapshot.last_included_index.0, |_, _| false));
                }
                let LogIndex(keep) = w.truncate_after;
                disk!(log.retain_in(keep + 1.., |_, _| false));
                for (place, entry) in (keep + 1..).zip(&w.entries) {
                    disk!(log.insert(place, sealed(entry).as_slice()));
                }
            }
        }
        disk!(txn.commit());
        Ok(())
    }
}

fn read<T: DeserializeOwned>(
    table: &impl ReadableTable<&'static str, &'static [u8]>,
    name: &str,
) -> Result<Option<T>, StoreError> {
    match disk!(table.get(name)) {
        Some(record) => opened(&format!("the record '{name}'"), record.value()).map(Some),
        None => Ok(None),
    }
}
