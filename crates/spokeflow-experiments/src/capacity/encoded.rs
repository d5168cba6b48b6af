//! Measures the encoded size in bytes of messages and of stored records, with the codecs and the replicated state of
//! the programs.

use std::collections::BTreeMap;

use bytes::BytesMut;
use serde::Serialize;
use serde_json::json;
use spokeflow_coordination::wire::{FromNode, Request, Response, ToNode};
use spokeflow_coordination::{
    ConfigState, HostState, KnownRevisions, LeaseConfig, LeaseGranter, LeaseRequest, ListVersion,
    ListedHost, LogCommand, Overrides, Proposal, RevisionNumber, SourceUpdate, VoterAddresses,
};
use spokeflow_proto::{EndpointPhase, EndpointRecord, FrameCodec, FromList};
use spokeflow_raft::{Entry, LogIndex, Message, Payload, Term};

use super::records::{FixedParameters, Record, Role};

pub(super) const PHASE: &str = "encoded";
pub(super) const COMMAND: &str =
    "spokeflow-experiments measure-bytes --out docs/capacity/runs/bytes.json";

pub(super) const LIST_GRANT: &str = "grant with the whole host list";
pub(super) const HOST_GRANT: &str = "grant with a change of one host";
pub(super) const LIST_MESSAGE: &str = "message with the whole host list";
pub(super) const HOST_MESSAGE: &str = "message with a change of one host";
pub(super) const HOST_ENTRY: &str = "log entry with a change of one host";
pub(super) const LIST_STATE: &str = "host list in the ledger";
pub(super) const TENANT_PROPOSAL: &str = "offer that changes one tenant's share";
pub(super) const TENANT_GRANT: &str = "grant with a change of one tenant's share";
pub(super) const TENANT_ENTRY: &str = "log entry with a change of one tenant's share";
pub(super) const TENANT_RECORD: &str = "ledger's growth by a change of one tenant's share";
pub(super) const RENEWAL_REQUEST: &str = "lease renewal, request";
pub(super) const RENEWAL_ANSWER: &str = "lease renewal, answer";

const HOSTS: [u32; 4] = [300, 1000, 4000, 12_000];
const TENANTS: [u32; 4] = [100, 1000, 10_000, 33_000];
const ROUTERS: [u32; 4] = [30, 100, 300, 1300];
const ZONES: u32 = 15;
/// Bytes of the length field in front of each message.
const LENGTH_FIELD_BYTES: usize = 4;
const LEASE: LeaseConfig = LeaseConfig {
    duration: 3_000_000,
    max_clock_drift: 0.01,
};
/// Process number and proposal token of usual encoded length.
const PROCESS: u64 = 0x9d3c_5a71_e20b_4f86;
/// Request number of usual encoded length, also used for log positions and rounds.
const REQUEST: u64 = 100_000;
/// Fingerprint of the voters' addresses, as their checksum produces it.
const VOTERS_FINGERPRINT: u64 = 0x9abc_def1;

/// Returns all records in a fixed order. Two calls differ only in the date unless the codecs differ.
pub(super) fn measure(date: &str) -> Vec<Record> {
    let mut records = Vec::new();
    for hosts in HOSTS {
        records.extend(host_records(hosts));
    }
    for tenants in TENANTS {
        records.extend(tenant_records(tenants));
    }
    for routers in ROUTERS {
        records.extend(renewal_records(routers));
    }
    records
        .iter_mut()
        .for_each(|record| record.date = date.to_string());
    records
}

fn record(
    role: Role,
    quantity: &str,
    size_of: &str,
    size: u32,
    bytes: usize,
    fixed: FixedParameters,
) -> Record {
    Record {
        role,
        quantity: quantity.to_string(),
        unit: "bytes".into(),
        phase: PHASE.into(),
        size_of: size_of.into(),
        size: f64::from(size),
        value: bytes as f64,
        min: None,
        max: None,
        spread_of: None,
        runs: None,
        fixed,
        command: COMMAND.into(),
        date: String::new(),
    }
}

fn host_records(hosts: u32) -> Vec<Record> {
    let fixed = || {
        FixedParameters::from([
            ("tenants".to_string(), json!(0)),
            ("routers".to_string(), json!(1300)),
        ])
    };
    let complete = SourceUpdate {
        version: 1,
        complete: true,
        hosts: (0..hosts).map(listed_host).collect(),
    };
    let drained = ListedHost {
        state: HostState::Draining,
        ..listed_host(hosts / 2)
    };
    let change = SourceUpdate {
        version: 2,
        complete: false,
        hosts: vec![drained],
    };
    let mut state = ConfigState::default();
    let empty = state.encode().len();
    state.apply(LogCommand::UpdateList(complete.clone()));
    let state_growth = state.encode().len() - empty;
    let complete_grant = grant_frame_bytes(&state, Some(ListVersion(0)));
    let before = state.list.version;
    state.apply(LogCommand::UpdateList(change.clone()));
    let change_grant = grant_frame_bytes(&state, Some(before));
    let entry = append_frame_bytes(&LogCommand::UpdateList(change.clone()));
    let complete_message = list_frame_bytes(complete);
    let change_message = list_frame_bytes(change);
    let bytes_record =
        |role, quantity, bytes| record(role, quantity, "hosts", hosts, bytes, fixed());
    vec![
        bytes_record(Role::Voter, LIST_GRANT, complete_grant),
        bytes_record(Role::Voter, HOST_GRANT, change_grant),
        bytes_record(Role::Voter, HOST_ENTRY, entry),
        bytes_record(Role::Voter, LIST_STATE, state_growth),
        bytes_record(Role::ListSource, LIST_MESSAGE, complete_message),
        bytes_record(Role::ListSource, HOST_MESSAGE, change_message),
    ]
}

fn tenant_records(tenants: u32) -> Vec<Record> {
    let fixed = || {
        FixedParameters::from([
            ("hosts".to_string(), json!(0)),
            ("routers".to_string(), json!(1300)),
        ])
    };
    let before = tenant_proposal(tenants, 0, 0);
    let after = tenant_proposal(tenants, 1, 1);
    let mut state = ConfigState::default();
    apply_proposal(&mut state, before, 1);
    let state_before = state.encode().len();
    let proposal = frame_bytes(&ToNode::Request {
        number: REQUEST,
        request: Request::Propose(after.clone()),
    });
    let entry = append_frame_bytes(&LogCommand::Propose(after.clone()));
    state.apply(LogCommand::Propose(after));
    let grant = grant_frame_bytes(&state, None);
    state.apply(LogCommand::PutInForce {
        revision: RevisionNumber(2),
        at_s: 1_800_000_000,
    });
    let growth = state.encode().len() - state_before;
    let bytes_record =
        |role, quantity, bytes| record(role, quantity, "tenants", tenants, bytes, fixed());
    vec![
        bytes_record(Role::Tool, TENANT_PROPOSAL, proposal),
        bytes_record(Role::Voter, TENANT_GRANT, grant),
        bytes_record(Role::Voter, TENANT_ENTRY, entry),
        bytes_record(Role::Voter, TENANT_RECORD, growth),
    ]
}

fn renewal_records(routers: u32) -> Vec<Record> {
    let fixed = || {
        FixedParameters::from([
            ("hosts".to_string(), json!(0)),
            ("tenants".to_string(), json!(0)),
        ])
    };
    let state = ConfigState::default();
    let mut leases = LeaseGranter::new(LEASE, 0);
    // Bytes of the request and of the answer of the last router.
    let mut last_frames = (0, 0);
    for router in 0..routers {
        let base_request = lease_request(&state, Some(state.list.version));
        let lease_request = LeaseRequest {
            router,
            process: PROCESS - u64::from(router),
            ..base_request
        };
        let grant = leases.grant(1, &lease_request, &state, &voter_addresses());
        let request = frame_bytes(&ToNode::Request {
            number: REQUEST,
            request: Request::Lease(lease_request),
        });
        let answer = Response::Granted(Box::new(grant));
        last_frames = (
            request,
            frame_bytes(&FromNode::Response {
                number: REQUEST,
                response: answer,
            }),
        );
    }
    let bytes_record =
        |role, quantity, bytes| record(role, quantity, "routers", routers, bytes, fixed());
    vec![
        bytes_record(Role::RouterControl, RENEWAL_REQUEST, last_frames.0),
        bytes_record(Role::Voter, RENEWAL_ANSWER, last_frames.1),
    ]
}

/// Adds a proposal to the state and puts it in force.
fn apply_proposal(state: &mut ConfigState, proposal: Proposal, number: u64) {
    state.apply(LogCommand::Propose(proposal));
    state.apply(LogCommand::PutInForce {
        revision: RevisionNumber(number),
        at_s: 1_800_000_000,
    });
}

fn listed_host(host: u32) -> ListedHost {
    ListedHost {
        host,
        address: address(host),
        build: Some(7),
        cell: (host % 100) as u16,
        zone: (host % ZONES) as u16,
        state: HostState::Ready,
        incarnation: 3,
        up_us: Some(3_600_000_000),
    }
}

fn address(host: u32) -> String {
    format!(
        "10.{}.{}.{}:8443",
        16 + host / 60_000,
        host / 240 % 250,
        10 + host % 240
    )
}

/// Returns a proposal with the quotas of all tenants in the format of the flag. The first tenant's quota and the token
/// depend on `changed`, so that proposals with different values differ.
fn tenant_proposal(tenants: u32, base: u64, changed: u32) -> Proposal {
    let quota = |tenant: u32| if tenant == 0 { 12 + changed } else { 11 };
    let quotas: Vec<String> = (0..tenants)
        .map(|tenant| format!("tenant-{tenant:05}={}.82", quota(tenant)))
        .collect();
    let values: Overrides = BTreeMap::from([("customer".to_string(), quotas.join(","))]);
    let token = PROCESS - u64::from(changed);
    let who = "operator@example.org".to_string();
    let why = "larger share for one tenant".to_string();
    Proposal {
        token,
        base: RevisionNumber(base),
        who,
        why,
        at_s: 1_800_000_000,
        values,
    }
}

/// Returns the lease request of a router that has the revision in force and the host list of version `list`.
fn lease_request(state: &ConfigState, list: Option<ListVersion>) -> LeaseRequest {
    let known = state.in_force.number;
    LeaseRequest {
        process: PROCESS,
        router: 1299,
        known_revisions: KnownRevisions {
            in_force: known,
            newest: known,
        },
        applied_revision: known,
        voters_fingerprint: VOTERS_FINGERPRINT,
        list,
    }
}

fn voter_addresses() -> VoterAddresses {
    VoterAddresses {
        fingerprint: VOTERS_FINGERPRINT,
        addresses: Vec::new(),
    }
}

fn grant_frame_bytes(state: &ConfigState, list: Option<ListVersion>) -> usize {
    let grant = LeaseGranter::new(LEASE, 0).grant(
        1,
        &lease_request(state, list),
        state,
        &voter_addresses(),
    );
    frame_bytes(&FromNode::Response {
        number: REQUEST,
        response: Response::Granted(Box::new(grant)),
    })
}

fn append_frame_bytes(command: &LogCommand) -> usize {
    let term = Term(12);
    let before = LogIndex(REQUEST);
    let entries = vec![Entry {
        term,
        payload: Payload::Command(command.encode()),
    }];
    let append = Message::AppendEntries {
        term,
        prev_log_index: before,
        prev_log_term: term,
        entries,
        leader_commit: before,
        round: REQUEST,
    };
    frame_bytes(&ToNode::Raft(append))
}

fn list_frame_bytes(update: SourceUpdate) -> usize {
    let endpoint = |host: ListedHost| EndpointRecord {
        host: host.host,
        address: host.address,
        build: host.build,
        cell: host.cell,
        zone: host.zone,
        phase: if host.state == HostState::Draining {
            EndpointPhase::Draining
        } else {
            EndpointPhase::Ready
        },
        incarnation: host.incarnation,
        up_us: host.up_us,
    };
    let version = update.version;
    let endpoints = update.hosts.into_iter().map(endpoint).collect();
    frame_bytes(&if update.complete {
        FromList::Complete { version, endpoints }
    } else {
        FromList::Changes { version, endpoints }
    })
}

/// Returns the bytes of a message on the wire, including the length field in front of it.
fn frame_bytes<M: Serialize>(message: &M) -> usize {
    let mut buffer = BytesMut::new();
    // The limit is the largest possible, so that messages above the programs' own limits are measured as well.
    let codec = FrameCodec::<(), &M>::new(u32::MAX as usize - LENGTH_FIELD_BYTES);
    codec
        .write(&message, &mut buffer)
        .expect("a message of plain types should serialize");
    buffer.len()
}
