//! Measures, by the real codecs and the real ledger, how many bytes each message and each kept record takes.

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

use super::records::{Held, Record, Role};

pub const PHASE: &str = "encoded";
pub const COMMAND: &str = "spokeflow-experiments measure-bytes --out docs/capacity/runs/bytes.json";

pub const LIST_GRANT: &str = "grant with the whole host list";
pub const HOST_GRANT: &str = "grant with a change of one host";
pub const LIST_MESSAGE: &str = "message with the whole host list";
pub const HOST_MESSAGE: &str = "message with a change of one host";
pub const HOST_ENTRY: &str = "log entry with a change of one host";
pub const LIST_STATE: &str = "host list in the ledger";
pub const TENANT_OFFER: &str = "offer that changes one tenant's share";
pub const TENANT_GRANT: &str = "grant with a change of one tenant's share";
pub const TENANT_ENTRY: &str = "log entry with a change of one tenant's share";
pub const TENANT_RECORD: &str = "ledger's growth by a change of one tenant's share";
pub const RENEWAL_REQUEST: &str = "lease renewal, request";
pub const RENEWAL_ANSWER: &str = "lease renewal, answer";

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
const SEATS_MARK: u64 = 0x9abc_def1;

/// All records, in a fixed order; equal but for the date whenever the codecs are.
pub fn measure(date: &str) -> Vec<Record> {
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
    held: Held,
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
        held,
        command: COMMAND.into(),
        date: String::new(),
    }
}

fn host_records(hosts: u32) -> Vec<Record> {
    let held = || {
        Held::from([
            ("tenants".to_string(), json!(0)),
            ("routers".to_string(), json!(1300)),
        ])
    };
    let whole = SourceUpdate {
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
    let mut ledger = ConfigState::default();
    let empty = ledger.encode().len();
    ledger.apply(LogCommand::UpdateList(whole.clone()));
    let state = ledger.encode().len() - empty;
    let whole_grant = grant_frame(&ledger, Some(ListVersion(0)));
    let before = ledger.list.version;
    ledger.apply(LogCommand::UpdateList(change.clone()));
    let change_grant = grant_frame(&ledger, Some(before));
    let entry = append_frame(&LogCommand::UpdateList(change.clone()));
    let whole_message = list_frame(whole);
    let change_message = list_frame(change);
    let of = |role, quantity, bytes| record(role, quantity, "hosts", hosts, bytes, held());
    vec![
        of(Role::Voter, LIST_GRANT, whole_grant),
        of(Role::Voter, HOST_GRANT, change_grant),
        of(Role::Voter, HOST_ENTRY, entry),
        of(Role::Voter, LIST_STATE, state),
        of(Role::ListSource, LIST_MESSAGE, whole_message),
        of(Role::ListSource, HOST_MESSAGE, change_message),
    ]
}

fn tenant_records(tenants: u32) -> Vec<Record> {
    let held = || {
        Held::from([
            ("hosts".to_string(), json!(0)),
            ("routers".to_string(), json!(1300)),
        ])
    };
    let (before, after) = (tenant_offer(tenants, 0, 0), tenant_offer(tenants, 1, 1));
    let mut ledger = ConfigState::default();
    take(&mut ledger, before, 1);
    let state_before = ledger.encode().len();
    let offer = frame(&ToNode::Request {
        number: REQUEST,
        request: Request::Propose(after.clone()),
    });
    let entry = append_frame(&LogCommand::Propose(after.clone()));
    ledger.apply(LogCommand::Propose(after));
    let grant = grant_frame(&ledger, None);
    ledger.apply(LogCommand::PutInForce {
        revision: RevisionNumber(2),
        at_s: 1_800_000_000,
    });
    let growth = ledger.encode().len() - state_before;
    let of = |role, quantity, bytes| record(role, quantity, "tenants", tenants, bytes, held());
    vec![
        of(Role::Tool, TENANT_OFFER, offer),
        of(Role::Voter, TENANT_GRANT, grant),
        of(Role::Voter, TENANT_ENTRY, entry),
        of(Role::Voter, TENANT_RECORD, growth),
    ]
}

fn renewal_records(routers: u32) -> Vec<Record> {
    let held = || {
        Held::from([
            ("hosts".to_string(), json!(0)),
            ("tenants".to_string(), json!(0)),
        ])
    };
    let ledger = ConfigState::default();
    let mut granter = LeaseGranter::new(LEASE, 0);
    let mut last = (0, 0);
    for router in 0..routers {
        let own = asked(&ledger, Some(ledger.list.version));
        let asked = LeaseRequest {
            router,
            process: PROCESS - u64::from(router),
            ..own
        };
        let grant = granter.grant(1, &asked, &ledger, &seats());
        let request = frame(&ToNode::Request {
            number: REQUEST,
            request: Request::Lease(asked),
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
    let of = |role, quantity, bytes| record(role, quantity, "routers", routers, bytes, held());
    vec![
        of(Role::RouterControl, RENEWAL_REQUEST, last.0),
        of(Role::Voter, RENEWAL_ANSWER, last.1),
    ]
}

/// Announces an offer and puts it in force.
fn take(ledger: &mut ConfigState, offer: Proposal, number: u64) {
    ledger.apply(LogCommand::Propose(offer));
    ledger.apply(LogCommand::PutInForce {
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

/// An offer that names all tenants' shares, as the flag does; `changed` differs between two of them.
fn tenant_offer(tenants: u32, against: u64, changed: u32) -> Proposal {
    let share = |tenant: u32| if tenant == 0 { 12 + changed } else { 11 };
    let shares: Vec<String> = (0..tenants)
        .map(|t| format!("tenant-{t:05}={}.82", share(t)))
        .collect();
    let values: Overrides = BTreeMap::from([("customer".to_string(), shares.join(","))]);
    let token = PROCESS - u64::from(changed);
    let (who, why) = (
        "operator@example.org".to_string(),
        "larger share for one tenant".to_string(),
    );
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
fn asked(ledger: &ConfigState, list: Option<ListVersion>) -> LeaseRequest {
    let known = ledger.in_force.number;
    LeaseRequest {
        process: PROCESS,
        router: 1299,
        known_revisions: KnownRevisions {
            in_force: known,
            newest: known,
        },
        applied_revision: known,
        voters_fingerprint: SEATS_MARK,
        list,
    }
}

fn seats() -> VoterAddresses {
    VoterAddresses {
        fingerprint: SEATS_MARK,
        addresses: Vec::new(),
    }
}

fn grant_frame(ledger: &ConfigState, list: Option<ListVersion>) -> usize {
    let grant = LeaseGranter::new(LEASE, 0).grant(1, &asked(ledger, list), ledger, &seats());
    frame(&FromNode::Response {
        number: REQUEST,
        response: Response::Granted(Box::new(grant)),
    })
}

fn append_frame(act: &LogCommand) -> usize {
    let (term, before) = (Term(12), LogIndex(REQUEST));
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

fn list_frame(news: SourceUpdate) -> usize {
    let line = |h: ListedHost| EndpointRecord {
        host: h.host,
        address: h.address,
        build: h.build,
        cell: h.cell,
        zone: h.zone,
        phase: if h.state == HostState::Draining {
            EndpointPhase::Draining
        } else {
            EndpointPhase::Ready
        },
        incarnation: h.incarnation,
        up_us: h.up_us,
    };
    let (version, lines) = (news.version, news.hosts.into_iter().map(line).collect());
    frame(&if news.complete {
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
