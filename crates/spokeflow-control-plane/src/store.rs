//! The durable state of a node, in an embedded store (redb).
//!
//! When [`Store::write`] returns, the complete write is on the disk: redb commits with two syncs and finds the last
//! complete state by itself after a crash. Each record also has a checksum of its own; a record whose checksum does not
//! match is never used.

use std::io;
use std::path::{Path, PathBuf};

use redb::{Database, ReadableDatabase, ReadableTable, TableDefinition};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use spokeflow_raft::{Entry, LogIndex, NodeId, PersistRequest, PersistentState, Snapshot, Term};
use thiserror::Error;

/// Single records, by name.
const META: TableDefinition<&str, &[u8]> = TableDefinition::new("meta-1");
/// The entries of the log, by index.
const LOG: TableDefinition<u64, &[u8]> = TableDefinition::new("log-1");
/// The newest [`ProcessStart`] seen of each other node, by node id.
const STARTS: TableDefinition<u32, &[u8]> = TableDefinition::new("starts-1");

/// Name of the [`Owner`] in [`META`].
const OWNER_RECORD: &str = "whose";
/// Name of the [`OwnStarts`] in [`META`].
const OWN_STARTS_RECORD: &str = "starts";
/// Name of the [`VoteRecord`] in [`META`].
const VOTE_RECORD: &str = "promised";
/// Name of the [`Snapshot`] in [`META`]; the record is missing if there is no snapshot.
const SNAPSHOT_RECORD: &str = "snapshot";

/// Number of latest processes that a store records. If a node starts more often than this between two contacts with
/// another, the other cannot check its processes and admits it by the number of starts alone.
pub(crate) const MAX_PROCESSES: usize = 24;

/// One start of a node's process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProcessStart {
    /// Number of starts that the node's store had counted, this one included.
    pub count: u64,
    /// Random number that the process drew at its start.
    pub process: u64,
}

/// The node that the store belongs to. In all records, as in [`ProcessStart`], the order of fields is the encoding.
#[derive(Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
struct Owner {
    fleet: u64,
    node: NodeId,
}

/// The starts that a store has counted.
#[derive(Default, Serialize, Deserialize)]
struct OwnStarts {
    count: u64,
    /// Random numbers of the latest [`MAX_PROCESSES`] processes, the newest last.
    processes: Vec<u64>,
}

impl OwnStarts {
    fn add(&mut self, process: u64) {
        self.count += 1;
        self.processes.push(process);
        let excess = self.processes.len().saturating_sub(MAX_PROCESSES);
        self.processes.drain(..excess);
    }
}

/// The current term and the vote in it.
#[derive(Default, Serialize, Deserialize)]
struct VoteRecord {
    term: Term,
    voted_for: Option<NodeId>,
}

/// The durable state of one node.
pub struct Store {
    db: Database,
    file: PathBuf,
    /// For tests: number of the first write that fails, with all later ones; `None` if none is to fail.
    /// Counted from 1.
    fails_from: Option<u64>,
    /// Number of writes since the store was opened.
    writes: u64,
}

/// An opened store and its content.
pub struct OpenedStore {
    /// The store.
    pub store: Store,
    /// The Raft state that the node starts from.
    pub saved: PersistentState,
    /// How many times the store has been opened, this one included.
    pub start: u64,
    /// Random numbers of the latest processes, this one last.
    pub processes: Vec<u64>,
}

/// Why a store cannot be opened, read or written.
#[derive(Debug, Error)]
pub enum StoreError {
    /// The file is not a store of this version, or it is in use.
    #[error("cannot be opened: {0}")]
    NotAStore(#[source] redb::DatabaseError),
    /// A record is missing, or its checksum does not match.
    #[error("damaged: {0}; remove this node and add one with a new number and an empty store")]
    Damaged(String),
    /// The store belongs to another fleet or another node.
    #[error("belongs to node {node} of fleet {fleet}, expected node {expected_node} of fleet {expected_fleet}")]
    Foreign {
        /// The fleet that it belongs to.
        fleet: u64,
        /// The node that it belongs to.
        node: u32,
        /// The fleet of the node that opens it.
        expected_fleet: u64,
        /// The node that opens it.
        expected_node: u32,
    },
    /// The folder of the store cannot be created.
    #[error("cannot create its folder: {0}")]
    Folder(#[source] io::Error),
    /// The disk is full or fails.
    #[error("disk error: {0}")]
    Disk(#[source] Box<redb::Error>),
    /// A disk error that a test has injected.
    #[error("disk error: injected by --fail-writes-from")]
    Injected,
}

/// redb has one error type for each step; all of them are reported as disk errors.
macro_rules! disk_error_from {
    ($($step:ident),*) => {
        $(impl From<redb::$step> for StoreError {
            fn from(error: redb::$step) -> Self {
                StoreError::Disk(Box::new(error.into()))
            }
        })*
    };
}

disk_error_from!(TransactionError, TableError, StorageError, CommitError);

/// Encodes a record: the CRC-32 of its body, big-endian, and the body as postcard.
fn encode_record(value: &impl Serialize) -> Vec<u8> {
    let body = postcard::to_stdvec(value).expect("plain types always serialize");
    let mut record = crc32fast::hash(&body).to_be_bytes().to_vec();
    record.extend(body);
    record
}

fn decode_record<T: DeserializeOwned>(name: &str, record: &[u8]) -> Result<T, StoreError> {
    let damaged = || StoreError::Damaged(name.to_string());
    let (checksum, body) = record.split_at_checked(4).ok_or_else(damaged)?;
    if checksum != crc32fast::hash(body).to_be_bytes() {
        return Err(damaged());
    }
    postcard::from_bytes(body).map_err(|_| damaged())
}

impl Store {
    /// Opens the store of node `own` of this fleet, creates it if there is none, counts the start and records
    /// `process`, the random number of the process.
    ///
    /// `fails_from` is for tests: the number of the first write that is to fail, counted from 1.
    ///
    /// # Errors
    ///
    /// The file is not a store, is damaged, or belongs to another node; or the disk fails.
    pub fn open(
        file: &Path,
        fleet: u64,
        own: NodeId,
        fails_from: Option<u64>,
        process: u64,
    ) -> Result<OpenedStore, StoreError> {
        let folder = file.parent().filter(|path| !path.as_os_str().is_empty());
        if let Some(folder) = folder {
            std::fs::create_dir_all(folder).map_err(StoreError::Folder)?;
        }
        let store = Store {
            db: Database::create(file).map_err(StoreError::NotAStore)?,
            file: file.to_path_buf(),
            fails_from,
            writes: 0,
        };
        let owner = Owner { fleet, node: own };
        let starts = store.count_start(owner, process)?;
        let saved = store.saved()?;
        Ok(OpenedStore {
            store,
            saved,
            start: starts.count,
            processes: starts.processes,
        })
    }

    /// Counts a start and returns the starts of this store, this one included.
    fn count_start(&self, owner: Owner, process: u64) -> Result<OwnStarts, StoreError> {
        let transaction = self.db.begin_write()?;
        let mut starts: OwnStarts;
        {
            let mut meta = transaction.open_table(META)?;
            transaction.open_table(LOG)?;
            transaction.open_table(STARTS)?;
            let recorded: Option<Owner> = read_record(&meta, OWNER_RECORD)?;
            if let Some(other) = recorded.filter(|recorded| *recorded != owner) {
                return Err(StoreError::Foreign {
                    fleet: other.fleet,
                    node: other.node.0,
                    expected_fleet: owner.fleet,
                    expected_node: owner.node.0,
                });
            }
            starts = read_record(&meta, OWN_STARTS_RECORD)?.unwrap_or_default();
            starts.add(process);
            meta.insert(OWNER_RECORD, encode_record(&owner).as_slice())?;
            meta.insert(OWN_STARTS_RECORD, encode_record(&starts).as_slice())?;
        }
        transaction.commit()?;
        Ok(starts)
    }

    /// Returns the file of the store.
    pub(crate) fn file(&self) -> &Path {
        &self.file
    }

    fn saved(&self) -> Result<PersistentState, StoreError> {
        let transaction = self.db.begin_read()?;
        let meta = transaction.open_table(META)?;
        let vote: VoteRecord = read_record(&meta, VOTE_RECORD)?.unwrap_or_default();
        let snapshot: Snapshot = read_record(&meta, SNAPSHOT_RECORD)?.unwrap_or_default();
        let first = snapshot.last_included_index.0 + 1;
        let log = read_log(&transaction.open_table(LOG)?, first)?;
        Ok(PersistentState {
            term: vote.term,
            voted_for: vote.voted_for,
            snapshot,
            log,
        })
    }

    /// Returns the newest start seen of each other node.
    ///
    /// # Errors
    ///
    /// The disk fails, or a record is damaged.
    pub fn starts(&self) -> Result<Vec<(NodeId, ProcessStart)>, StoreError> {
        let transaction = self.db.begin_read()?;
        let table = transaction.open_table(STARTS)?;
        let mut starts = Vec::new();
        for row in table.iter()? {
            let (id, record) = row?;
            let name = format!("the start of node {}", id.value());
            let start = decode_record(&name, record.value())?;
            starts.push((NodeId(id.value()), start));
        }
        Ok(starts)
    }

    /// Writes all requests and starts in one commit, which is on the disk when this returns.
    ///
    /// # Errors
    ///
    /// The disk fails. It is then unknown whether any of it was written.
    pub(crate) fn write(
        &mut self,
        requests: &[PersistRequest],
        starts: &[(NodeId, ProcessStart)],
    ) -> Result<(), StoreError> {
        self.writes += 1;
        if self.fails_from.is_some_and(|first| self.writes >= first) {
            return Err(StoreError::Injected);
        }
        let transaction = self.db.begin_write()?;
        {
            let mut meta = transaction.open_table(META)?;
            let mut log = transaction.open_table(LOG)?;
            let mut starts_table = transaction.open_table(STARTS)?;
            for (id, start) in starts {
                starts_table.insert(id.0, encode_record(start).as_slice())?;
            }
            if let Some(last) = requests.last() {
                let vote = VoteRecord {
                    term: last.term,
                    voted_for: last.voted_for,
                };
                meta.insert(VOTE_RECORD, encode_record(&vote).as_slice())?;
            }
            for request in requests {
                if let Some(snapshot) = &request.snapshot {
                    meta.insert(SNAPSHOT_RECORD, encode_record(snapshot).as_slice())?;
                    log.retain_in(..=snapshot.last_included_index.0, |_, _| false)?;
                }
                let LogIndex(last_kept) = request.truncate_after;
                log.retain_in(last_kept + 1.., |_, _| false)?;
                for (index, entry) in (last_kept + 1..).zip(&request.entries) {
                    log.insert(index, encode_record(entry).as_slice())?;
                }
            }
        }
        transaction.commit()?;
        Ok(())
    }
}

/// Reads the entries of the log, which must begin at index `first` and have no gap.
fn read_log(
    table: &impl ReadableTable<u64, &'static [u8]>,
    first: u64,
) -> Result<Vec<Entry>, StoreError> {
    let mut log = Vec::new();
    for (expected, row) in (first..).zip(table.iter()?) {
        let (index, record) = row?;
        if index.value() != expected {
            return Err(StoreError::Damaged(format!(
                "the log has entry {} in place of entry {expected}",
                index.value()
            )));
        }
        let name = format!("the log's entry {expected}");
        log.push(decode_record(&name, record.value())?);
    }
    Ok(log)
}

fn read_record<T: DeserializeOwned>(
    table: &impl ReadableTable<&'static str, &'static [u8]>,
    name: &str,
) -> Result<Option<T>, StoreError> {
    match table.get(name)? {
        Some(record) => decode_record(&format!("the record '{name}'"), record.value()).map(Some),
        None => Ok(None),
    }
}
