//! Limits of the current programs. Those that are private to other crates are copied here; a test compares the copies
//! with the source.

/// Longest frame between a voter and a router or an operator's tool, in either direction, in bytes
/// (`crates/spokeflow-control-plane/src/inbound.rs`, `REQUEST_LIMIT`).
pub const CALLER_FRAME_BYTES: f64 = 65_536.0;
/// Longest frame between voters, in bytes (`spokeflow_coordination::wire::LIMIT`).
pub const VOTER_FRAME_BYTES: f64 = spokeflow_coordination::wire::LIMIT as f64;
/// Longest frame of the list source, in bytes (`spokeflow_proto::LIST_LIMIT`).
pub const LIST_FRAME_BYTES: f64 = spokeflow_proto::LIST_LIMIT as f64;
/// Revisions that the replicated state keeps (`crates/spokeflow-coordination/src/config_state.rs`,
/// `MAX_RETAINED_RECORDS`).
pub const MAX_REVISIONS: f64 = 500.0;
/// Leases that the leader tracks (`crates/spokeflow-coordination/src/lease_granter.rs`, `MAX_TRACKED_LEASES`).
pub const MAX_LEASES: f64 = 8192.0;
/// Changes of the host list that the voters retain, so that a lagging router gets changes instead of the whole list
/// (`crates/spokeflow-coordination/src/endpoint_list.rs`, `MAX_RETAINED_CHANGES`).
pub const MAX_LIST_CHANGES: f64 = 4096.0;
/// Seconds between two full reads of the host list by the leader (`crates/spokeflow-control-plane/src/list.rs`,
/// `FULL_SYNC_INTERVAL`).
pub const FULL_SYNC_SECONDS: f64 = 2.0;
/// Seconds without a message from the list source after which a router renews its watch (`--list-renew`).
pub const WATCH_RENEWAL_SECONDS: f64 = 5.0;
/// Log entries in one message between voters (`crates/spokeflow-raft/src/node/replication.rs`).
pub const ENTRIES_PER_MESSAGE: f64 = 64.0;
/// Renewals within one lease duration (`crates/spokeflow-coordination/src/lease_holder.rs`,
/// `LeaseHolder::renewal_interval`).
pub const RENEWALS_PER_LEASE: f64 = 3.0;
/// Timer ticks of the decision module per second (`crates/spokeflow-core/src/router/timers.rs`).
pub const TICKS_PER_SECOND: f64 = 50.0;
