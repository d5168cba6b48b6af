//! Reads revisions, host states and leases from the frames of a run. While reading it checks that status reads and
//! lease grants never go back to older revisions, that proposals have one outcome, that each term has one leader, and
//! that nodes on a swapped disk neither vote nor acknowledge entries.

use std::collections::{BTreeMap, HashMap};

use spokeflow_coordination::wire::{FromNode, Request, Response, ToNode};
use spokeflow_coordination::{
    HostState, LeaseGrant, Overrides, Proposal, ProposalOutcome, Revision,
};
use spokeflow_raft::{AppendOutcome, Message};

use super::switchboard::{Frame, FramePayload, Participant};
use crate::Micros;

/// A time during which a node ran on a swapped disk (a stale, truncated or empty store), including the time until its
/// last frames have arrived.
pub(super) struct DiskSwap {
    pub(super) node: u32,
    pub(super) from: Micros,
    pub(super) to: Micros,
}

/// A lease as the switchboard saw it. Ordered by the time at which the grant was forwarded to its router.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct ObservedLease {
    pub(super) received_at: Micros,
    /// Latest time at which the lease expires. The router counts it from its request, which it sent before the
    /// switchboard received that.
    pub(super) expires_at: Micros,
}

/// Revisions, host states and leases that the frames show. Revisions are keyed by number.
#[derive(Default)]
pub(super) struct Observations {
    /// When a revision was first announced, as pending or in force, to any participant.
    pub(super) announced_at: BTreeMap<u64, Micros>,
    /// When a revision was first reported to be in force.
    pub(super) in_force_at: BTreeMap<u64, Micros>,
    pub(super) overrides: BTreeMap<u64, Overrides>,
    /// By host and incarnation: when it was first listed as not ready.
    pub(super) draining_since: HashMap<u32, BTreeMap<u64, Micros>>,
    /// By host and incarnation: when it was first listed as ready.
    pub(super) ready_since: HashMap<u32, BTreeMap<u64, Micros>>,
    /// By router, in the order of arrival.
    pub(super) leases: HashMap<u32, Vec<ObservedLease>>,
    pub(super) grants: usize,
    /// Number of terms in which a leader sent messages.
    pub(super) leaders: usize,
}

impl Observations {
    /// Returns the latest expiry of the leases that a router had received by `at`; 0 if it had received none.
    pub(super) fn lease_end(&self, router: u32, at: Micros) -> Micros {
        let leases = self.leases.get(&router).into_iter().flatten();
        leases
            .take_while(|lease| lease.received_at <= at)
            .map(|lease| lease.expires_at)
            .max()
            .unwrap_or(0)
    }

    /// Reads all frames, and adds a line for each inconsistency to `violations`.
    pub(super) fn read(
        frames: &[Frame],
        disk_swaps: &[DiskSwap],
        lease: Micros,
        violations: &mut Vec<String>,
    ) -> Observations {
        let mut reader = FrameReader {
            disk_swaps,
            lease,
            violations,
            observed: Observations {
                overrides: BTreeMap::from([(0, Overrides::new())]),
                ..Observations::default()
            },
            connected_at: HashMap::new(),
            requests: HashMap::new(),
            outcomes: HashMap::new(),
            tokens: HashMap::new(),
            leaders: BTreeMap::new(),
            progress: vec![RevisionProgress::default()],
        };
        let mut by_time: Vec<&Frame> = frames.iter().collect();
        by_time.sort_by_key(|frame| frame.at);
        for frame in by_time {
            reader.read_frame(frame);
        }
        let mut observed = reader.observed;
        observed.leaders = reader.leaders.len();
        observed
            .leases
            .values_mut()
            .for_each(|leases| leases.sort_unstable());
        observed
    }
}

/// A request as the switchboard received it.
struct SentRequest<'a> {
    at: Micros,
    from: Participant,
    request: &'a Request,
}

/// The newest revisions that any participant had learned of by `at`.
#[derive(Clone, Copy, Default)]
struct RevisionProgress {
    at: Micros,
    announced: u64,
    in_force: u64,
}

/// Reads frames one by one; they must come in the order of their times.
struct FrameReader<'a> {
    disk_swaps: &'a [DiskSwap],
    lease: Micros,
    violations: &'a mut Vec<String>,
    observed: Observations,
    /// By connection: when its opening message arrived.
    connected_at: HashMap<u64, Micros>,
    /// By connection and request number.
    requests: HashMap<(u64, u64), SentRequest<'a>>,
    /// By token of the proposal: its first outcome.
    outcomes: HashMap<u64, ProposalOutcome>,
    /// By number of the revision: the token of its proposal.
    tokens: HashMap<u64, u64>,
    /// By term: the node that led in it.
    leaders: BTreeMap<u64, u32>,
    /// In the order of time. Must never be empty, and its revision numbers must never decrease: a later answer must not
    /// show older revisions.
    progress: Vec<RevisionProgress>,
}

impl<'a> FrameReader<'a> {
    fn read_frame(&mut self, frame: &'a Frame) {
        match &frame.payload {
            FramePayload::ToNode(ToNode::Hello { .. }) => {
                self.connected_at.insert(frame.connection, frame.at);
            }
            FramePayload::ToNode(ToNode::Request { number, request }) => {
                let sent = SentRequest {
                    at: frame.at,
                    from: frame.link.from,
                    request,
                };
                self.requests
                    .entry((frame.connection, *number))
                    .or_insert(sent);
            }
            FramePayload::ToNode(ToNode::Raft(message)) => {
                if let Participant::Node(sender) = frame.link.from {
                    self.read_leader(sender, message);
                    self.check_promise(frame, sender, message);
                }
            }
            FramePayload::FromNode(FromNode::Response { number, response }) => {
                self.read_response(frame, *number, response);
            }
            _ => {}
        }
    }

    /// Records the leader of a term, and checks that no other node led in it.
    fn read_leader(&mut self, sender: u32, message: &Message) {
        let Some(term) = leader_term(message) else {
            return;
        };
        let first = *self.leaders.entry(term).or_insert(sender);
        if first != sender {
            self.violations.push(format!(
                "nodes {first} and {sender} both led in term {term}"
            ));
        }
    }

    /// Checks that a node on a swapped disk sends no promise.
    fn check_promise(&mut self, frame: &Frame, sender: u32, message: &Message) {
        if !is_promise(message) {
            return;
        }
        // Goes by the start of the connection, since messages of an earlier process may still be on their way.
        let connected_at = self.connected_at.get(&frame.connection);
        let at = connected_at.copied().unwrap_or(frame.at);
        let swapped = self
            .disk_swaps
            .iter()
            .any(|swap| swap.node == sender && (swap.from..swap.to).contains(&at));
        if swapped {
            self.violations.push(format!(
                "node {sender} voted or acknowledged entries on a swapped disk: {message:?} at {} ms",
                frame.at / 1000
            ));
        }
    }

    fn read_response(&mut self, frame: &Frame, number: u64, response: &Response) {
        let Some(sent) = self.requests.get(&(frame.connection, number)) else {
            return;
        };
        let sent_at = sent.at;
        let sender = sent.from;
        let request = sent.request;
        match response {
            Response::Granted(grant) => {
                self.observed.grants += 1;
                let newest = newest_revision(grant);
                let in_force = grant.in_force.number.0;
                self.read_progress(frame.at, sent_at, sender, newest, in_force);
                self.read_hosts(frame.at, grant);
                self.read_lease(frame, sent_at);
                let known = grant.pending.iter().chain([&grant.in_force]);
                known
                    .filter_map(|reference| reference.revision.as_ref())
                    .for_each(|revision| self.read_revision(revision));
            }
            Response::Status(status) => {
                let newest = status.pending.as_ref().unwrap_or(&status.in_force).number.0;
                let in_force = status.in_force.number.0;
                self.read_progress(frame.at, sent_at, sender, newest, in_force);
                let past = status.history.iter().map(|entry| &entry.revision);
                let known = status.pending.iter().chain([&status.in_force]).chain(past);
                known.for_each(|revision| self.read_revision(revision));
            }
            Response::Proposed(outcome) => {
                if let Request::Propose(proposal) = request {
                    self.read_outcome(frame.at, proposal, *outcome);
                }
            }
            _ => {}
        }
    }

    /// Records announced revisions and those in force, and checks that a request that was sent after an earlier answer
    /// is not answered with older revisions than that.
    fn read_progress(
        &mut self,
        at: Micros,
        sent_at: Micros,
        sender: Participant,
        announced: u64,
        in_force: u64,
    ) {
        let before = self.progress.partition_point(|known| known.at < sent_at);
        let known = self.progress[before.max(1) - 1];
        if announced < known.announced || in_force < known.in_force {
            self.violations.push(format!(
                "{sender:?} sent a request at {} ms and was answered with revision {announced} announced and \
                {in_force} in force, expected at least {} and {}",
                sent_at / 1000,
                known.announced,
                known.in_force
            ));
        }
        self.advance(at, announced, in_force);
        for number in 1..=announced {
            self.observed.announced_at.entry(number).or_insert(at);
        }
        for number in 1..=in_force {
            self.observed.in_force_at.entry(number).or_insert(at);
        }
    }

    fn advance(&mut self, at: Micros, announced: u64, in_force: u64) {
        let last = self.progress.last().copied().unwrap_or_default();
        self.progress.push(RevisionProgress {
            at,
            announced: announced.max(last.announced),
            in_force: in_force.max(last.in_force),
        });
    }

    fn read_hosts(&mut self, at: Micros, grant: &LeaseGrant) {
        for host in grant.list.iter().flat_map(|update| &update.hosts) {
            let since = match host.state {
                HostState::Ready => &mut self.observed.ready_since,
                _ => &mut self.observed.draining_since,
            };
            since
                .entry(host.host)
                .or_default()
                .entry(host.incarnation)
                .or_insert(at);
        }
    }

    fn read_lease(&mut self, frame: &Frame, sent_at: Micros) {
        let Participant::Router(router) = frame.link.to else {
            return;
        };
        let Some(received_at) = frame.forwarded_at else {
            return;
        };
        let lease = ObservedLease {
            received_at,
            expires_at: sent_at + self.lease,
        };
        self.observed.leases.entry(router).or_default().push(lease);
    }

    /// Records the outcome of a proposal. Checks that a proposal has the same outcome however often it is sent, and
    /// that a revision results from one proposal only.
    fn read_outcome(&mut self, at: Micros, proposal: &Proposal, outcome: ProposalOutcome) {
        let first = *self.outcomes.entry(proposal.token).or_insert(outcome);
        if first != outcome {
            self.violations.push(format!(
                "proposal with token {} was answered {first:?} and {outcome:?}",
                proposal.token
            ));
        }
        let ProposalOutcome::Pending(number) = outcome else {
            return;
        };
        let number = number.0;
        let token = *self.tokens.entry(number).or_insert(proposal.token);
        if token != proposal.token {
            self.violations.push(format!(
                "revision {number} was given to two proposals, with tokens {token} and {}",
                proposal.token
            ));
        }
        self.advance(at, number, 0);
        self.observed.announced_at.entry(number).or_insert(at);
        self.observed
            .overrides
            .entry(number)
            .or_insert_with(|| proposal.values.clone());
    }

    /// Checks that a revision has the same values in every response.
    fn read_revision(&mut self, revision: &Revision) {
        let number = revision.number.0;
        let known = self.observed.overrides.entry(number);
        if *known.or_insert_with(|| revision.values.clone()) != revision.values {
            self.violations.push(format!(
                "revision {number} was reported with different values"
            ));
        }
    }
}

/// Returns the term of a message that only a leader sends; `None` for other messages.
pub(super) fn leader_term(message: &Message) -> Option<u64> {
    match message {
        Message::AppendEntries { term, .. } | Message::InstallSnapshot { term, .. } => Some(term.0),
        _ => None,
    }
}

/// Returns whether a message is a promise that its sender must keep after a restart: a granted vote, or the
/// acknowledgement of stored entries.
fn is_promise(message: &Message) -> bool {
    match message {
        Message::VoteResponse {
            granted, pre_vote, ..
        } => *granted && !pre_vote,
        Message::AppendEntriesResponse { outcome, .. } => {
            matches!(outcome, AppendOutcome::Matched(_))
        }
        _ => false,
    }
}

fn newest_revision(grant: &LeaseGrant) -> u64 {
    let newest = grant.pending.as_ref().unwrap_or(&grant.in_force);
    newest.number.0
}
