//! Measures, by the real codecs and the real state, how many bytes each message and each kept record takes.

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
pub(super) const TENANT_OFFER: &str = "offer that changes one tenant's share";
pub(super) const TENANT_GRANT: &str = "grant with a change of one tenant's share";
pub(super) const TENANT_ENTRY: &str = "log entry with a change of one tenant's share";
pub(super) const TENANT_RECORD: &str = "ledger's growth by a change of one tenant's share";
pub(super) const RENEWAL_REQUEST: &str = "lease renewal, request";
pub(super) const RENEWAL_ANSWER: &str = "lease renewal, answer";

const HOSTS: [u32; 4] = [300, 1000, 4000, 12_000];
const TENANTS: [u32; 4] = [100, 1000, 10_000, 33_000];
const ROUTERS: [u32; 4] = [30, 100, 300, 1300];
const ZONES: u32 = 15;
/// Bytes of a frame's length, before its message.
const FRAME_HEAD: usize = 4;
const LEASE: LeaseConfig = LeaseConfig {
    duration: 3_000_000,
    max_clock_drift: 0.01,
};
/// A process number, request number and token of usual length.
const PROCESS: u64 = 0x9d3c_5a71_e20b_4f86;
const REQUEST: u64 = 100_000;
/// Mark of the voters' addresses, as their checksum gives it.
const VOTERS_FINGERPRINT: u64 = 0x9abc_def1;

/// All records, in a fixed order; equal but for the date whenever the codecs are.
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
    let complete_grant = grant_frame(&state, Some(ListVersion(0)));
    let before = state.list.version;
    state.apply(LogCommand::UpdateList(change.clone()));
    let change_grant = grant_frame(&state, Some(before));
    let entry = append_frame(&LogCommand::UpdateList(change.clone()));
    let complete_message = list_frame(complete);
    let change_message = list_frame(change);
    let of = |role, quantity, bytes| record(role, quantity, "hosts", hosts, bytes, fixed());
    vec![
        of(Role::Voter, LIST_GRANT, complete_grant),
        of(Role::Voter, HOST_GRANT, change_grant),
        of(Role::Voter, HOST_ENTRY, entry),
        of(Role::Voter, LIST_STATE, state_growth),
        of(Role::ListSource, LIST_MESSAGE, complete_message),
        of(Role::ListSource, HOST_MESSAGE, change_message),
    ]
}

fn tenant_records(tenants: u32) -> Vec<Record> {
    let fixed = || {
        FixedParameters::from([
            ("hosts".to_string(), json!(0)),
            ("routers".to_string(), json!(1300)),
        ])
    };
    let before = tenant_offer(tenants, 0, 0);
    let after = tenant_offer(tenants, 1, 1);
    let mut state = ConfigState::default();
    take(&mut state, before, 1);
    let state_before = state.encode().len();
    let offer = frame(&ToNode::Request {
        number: REQUEST,
        request: Request::Propose(after.clone()),
    });
    let entry = append_frame(&LogCommand::Propose(after.clone()));
    state.apply(LogCommand::Propose(after));
    let grant = grant_frame(&state, None);
    state.apply(LogCommand::PutInForce {
        revision: RevisionNumber(2),
        at_s: 1_800_000_000,
    });
    let growth = state.encode().len() - state_before;
    let of = |role, quantity, bytes| record(role, quantity, "tenants", tenants, bytes, fixed());
    vec![
        of(Role::Tool, TENANT_OFFER, offer),
        of(Role::Voter, TENANT_GRANT, grant),
        of(Role::Voter, TENANT_ENTRY, entry),
        of(Role::Voter, TENANT_RECORD, growth),
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
    let mut last = (0, 0);
    for router in 0..routers {
        let own = lease_request(&state, Some(state.list.version));
        let lease_request = LeaseRequest {
            router,
            process: PROCESS - u64::from(router),
            ..own
        };
        let grant = leases.grant(1, &lease_request, &state, &voter_addresses());
        let request = frame(&ToNode::Request {
            number: REQUEST,
            request: Request::Lease(lease_request),
        });
        let answer = Response::Granted(Box::new(grant));
        last = (
            request,
            frame(&FromNode::Response {
                number: REQUEST,
                response: answer,
            }),
        );
    }
    let of = |role, quantity, bytes| record(role, quantity, "routers", routers, bytes, fixed());
    vec![
        of(Role::RouterControl, RENEWAL_REQUEST, last.0),
        of(Role::Voter, RENEWAL_ANSWER, last.1),
    ]
}

/// Announces an offer and puts it in force.
fn take(state: &mut ConfigState, offer: Proposal, number: u64) {
    state.apply(LogCommand::Propose(offer));
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

/// An offer that names all tenants' quotas, as the flag does; `changed` differs between two of them.
fn tenant_offer(tenants: u32, against: u64, changed: u32) -> Proposal {
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
        base: RevisionNumber(against),
        who,
        why,
        at_s: 1_800_000_000,
        values,
    }
}

/// What a router asks with that has what is in force, and the list up to `list`.
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

fn grant_frame(state: &ConfigState, list: Option<ListVersion>) -> usize {
    let grant = LeaseGranter::new(LEASE, 0).grant(
        1,
        &lease_request(state, list),
        state,
        &voter_addresses(),
    );
    frame(&FromNode::Response {
        number: REQUEST,
        response: Response::Granted(Box::new(grant)),
    })
}

fn append_frame(act: &LogCommand) -> usize {
    let term = Term(12);
    let before = LogIndex(REQUEST);
    let entries = vec![Entry {
        term,
        payload: Payload::Command(act.encode()),
    }];
    let append = Message::AppendEntries {
        term,
        prev_log_index: before,
        prev_log_term: term,
        entries,
        leader_commit: before,
        round: REQUEST,
    };
    frame(&ToNode::Raft(append))
}

fn list_frame(update: SourceUpdate) -> usize {
    let line = |host: ListedHost| EndpointRecord {
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
    let lines = update.hosts.into_iter().map(line).collect();
    frame(&if update.complete {
        FromList::Complete {
            version,
            endpoints: lines,
        }
    } else {
        FromList::Changes {
            version,
            endpoints: lines,
        }
    })
}

/// Bytes of a message on the wire, its length before it included.
fn frame<M: Serialize>(message: &M) -> usize {
    let mut buffer = BytesMut::new();
    // A limit that nothing here reaches: what is over a program's own limit is to be measured as well.
    let codec = FrameCodec::<(), &M>::new(u32::MAX as usize - FRAME_HEAD);
    codec
        .write(&message, &mut buffer)
        .expect("plain types always serialize");
    buffer.len()
}
