//! The bookkeeping between numbers on connections and ids of the module, and the module's calls as messages.

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};

use bytes::Bytes;
use spokeflow_core::{
    AttemptOutcome, BuildId, CommandId, Egress, Endpoint, HostId, Micros, RolloutVote,
};
use spokeflow_proto::{BallotVerdict, Line, LinePhase, ToClient, ToController, ToHost, ToList};

use crate::{Counts, Transport};

pub struct Owed {
    pub conn: u64,
    pub id: u64,
    pub op: u16,
    pub share: u32,
    pub key: u64,
    pub mark: u64,
    pub until: Micros,
    pub answered: bool,
    pub body: Bytes,
    /// In the order of the module's numbers.
    pub deliveries: Vec<u64>,
    /// When each of them was called, but for those that are proven not to have run.
    pub may_have_run: Vec<Option<Micros>>,
    /// For so long after the first delivery that may have run a repeat may leave; `None` where that is not bounded.
    pub repeat_memory: Option<Micros>,
    pub open: u32,
}

pub struct Out {
    pub cmd: CommandId,
    pub nth: u8,
    pub host: HostId,
    pub sent: Micros,
    pub until: Micros,
}

/// What the engine knows of a host beside the module's figures.
pub struct Place {
    pub address: String,
    pub incarnation: u64,
    /// What the module was told last.
    pub line: Endpoint,
}

impl Place {
    /// What it would be listed as in this phase.
    pub fn as_line(&self, phase: LinePhase) -> Line {
        Line {
            host: self.line.host.0,
            address: self.address.clone(),
            build: self.line.build.map(|b| b.0),
            cell: self.line.cell,
            zone: self.line.zone.0,
            phase,
            incarnation: self.incarnation,
            up_us: None,
        }
    }

    pub fn build(&self) -> BuildId {
        self.line.build.unwrap_or_default()
    }
}

#[derive(Default)]
pub struct Book {
    pub now: Micros,
    pub cmds: HashMap<CommandId, Owed>,
    /// By connection and the client's own number.
    pub by_client: HashMap<u64, BTreeMap<u64, CommandId>>,
    pub out: HashMap<u64, Out>,
    /// When a delivery is given up.
    pub due: BTreeSet<(Micros, u64)>,
    /// When a command must have had its answer.
    pub owed_by: BTreeSet<(Micros, CommandId)>,
    pub places: BTreeMap<HostId, Place>,
    pub wakes: BTreeSet<Micros>,
    /// Ends that the module is told after the call that caused them has returned.
    pub ends: VecDeque<(u64, AttemptOutcome)>,
    pub next_cmd: u32,
    pub next_delivery: u64,
    pub next_ballot: u64,
    /// The vote that is out, and when it counts as unanswered.
    pub ballot: Option<(u64, Micros)>,
    pub list_version: Option<u64>,
    pub list_failed: bool,
    pub ballot_failed: bool,
    pub vote_wait: Micros,
    pub born: Micros,
    pub counts: Counts,
    /// Where keepers are followed and the desk has spoken: the earliest build that is not free for all, and until
    /// when anything may leave for it.
    pub trial_until: Option<(BuildId, Micros)>,
    /// Where the list comes from keepers.
    pub agreed_list: Option<AgreedHosts>,
}

/// The list as the keepers told it, and hosts that the router's own list has taken away: the process up to which, and how.
#[derive(Default)]
pub struct AgreedHosts {
    pub told: BTreeMap<u32, Line>,
    pub taken: BTreeMap<u32, (u64, LinePhase)>,
}

impl Book {
    /// A number that no held command has: numbers come round after four thousand million commands.
    pub fn fresh_id(&mut self) -> CommandId {
        loop {
            let id = CommandId(self.next_cmd);
            self.next_cmd = self.next_cmd.wrapping_add(1);
            if !self.cmds.contains_key(&id) {
                return id;
            }
        }
    }

    /// The final answer. A second one has no way out of here.
    pub fn answer(
        &mut self,
        cmd: CommandId,
        links: &mut dyn Transport,
        message: impl FnOnce(u64) -> ToClient,
    ) {
        let Some(owed) = self.cmds.get_mut(&cmd).filter(|o| !o.answered) else {
            return;
        };
        owed.answered = true;
        owed.body = Bytes::new();
        let (conn, id, until, open) = (owed.conn, owed.id, owed.until, owed.open);
        self.owed_by.remove(&(until, cmd));
        if let Some(ids) = self.by_client.get_mut(&conn) {
            ids.remove(&id);
            let message = message(id);
            let count = match message {
                ToClient::Acked { .. } => &mut self.counts.acked,
                ToClient::Nacked { .. } => &mut self.counts.nacked,
                _ => &mut self.counts.failed,
            };
            *count += 1;
            links.to_client(conn, message);
        }
        if open == 0 {
            self.cmds.remove(&cmd);
        }
        self.recall(cmd, links);
    }

    /// Nothing may leave for a command that is answered: guards against connections that come up after that.
    pub fn recall(&self, cmd: CommandId, links: &mut dyn Transport) {
        let deliveries = self.cmds.get(&cmd).map_or(&[][..], |owed| &owed.deliveries);
        for (delivery, out) in deliveries
            .iter()
            .filter_map(|d| Some((d, self.out.get(d)?)))
        {
            links.recall(out.host, Some(*delivery));
        }
    }

    /// Takes a delivery off the books; `None` where it has ended before.
    pub fn close(&mut self, delivery: u64) -> Option<Out> {
        let out = self.out.remove(&delivery)?;
        self.due.remove(&(out.until, delivery));
        if let Some(owed) = self.cmds.get_mut(&out.cmd) {
            owed.open -= 1;
        }
        Some(out)
    }

    /// Forgets a command that is answered and has nothing out.
    pub fn forget(&mut self, cmd: CommandId) {
        if self
            .cmds
            .get(&cmd)
            .is_some_and(|o| o.answered && o.open == 0)
        {
            self.cmds.remove(&cmd);
        }
    }
}

/// Carries out what the module asks.
pub struct Carrier<'a> {
    pub book: &'a mut Book,
    pub links: &'a mut dyn Transport,
}

impl Egress for Carrier<'_> {
    fn deliver(&mut self, cmd: CommandId, host: HostId, until: Option<Micros>) {
        let book = &mut *self.book;
        let Some(owed) = book.cmds.get_mut(&cmd) else {
            return;
        };
        let delivery = book.next_delivery;
        book.next_delivery += 1;
        let until = until.unwrap_or(owed.until).min(owed.until);
        let nth = owed.deliveries.len() as u8;
        let repeat_by =
            (owed.repeat_memory).and_then(|m| Some(owed.may_have_run.iter().flatten().min()? + m));
        owed.deliveries.push(delivery);
        owed.may_have_run.push(Some(book.now));
        owed.open += 1;
        book.out.insert(
            delivery,
            Out {
                cmd,
                nth,
                host,
                sent: book.now,
                until,
            },
        );
        book.due.insert((until, delivery));
        book.counts.deliveries += 1;
        if owed.answered || book.now >= until {
            return book.ends.push_back((delivery, AttemptOutcome::NotSent));
        }
        let message = ToHost::Deliver {
            delivery,
            op: owed.op,
            share: owed.share,
            key: owed.key,
            mark: owed.mark,
            left_us: (until - book.now) as u64,
            body: owed.body.clone(),
        };
        // What waits while this process is stopped must not leave under a lease that has run out meanwhile.
        let build = || {
            book.places
                .get(&host)
                .map_or(BuildId::default(), Place::build)
        };
        let leave_by = book
            .trial_until
            .filter(|t| build() >= t.0)
            .map_or(until, |t| t.1.min(until));
        // A repeat that is held up on its way must not arrive after hosts have forgotten the first.
        let leave_by = repeat_by.map_or(leave_by, |at| at.min(leave_by));
        if !self.links.to_host(host, message, leave_by) {
            // A queue that is full here is one that the host does not read: the same as its own being full.
            book.ends.push_back((delivery, AttemptOutcome::Rejected));
        }
    }

    fn nack(&mut self, cmd: CommandId, come_back: Option<Micros>) {
        let come_back_us = come_back.map(|t| t.max(0) as u64);
        self.book
            .answer(cmd, self.links, |id| ToClient::Nacked { id, come_back_us });
    }

    fn fail(&mut self, cmd: CommandId) {
        self.book
            .answer(cmd, self.links, |id| ToClient::Failed { id });
    }

    fn cancel(&mut self, cmd: CommandId, delivery: u8) {
        let Some(owed) = self.book.cmds.get(&cmd) else {
            return;
        };
        let Some(&delivery) = owed.deliveries.get(usize::from(delivery)) else {
            return;
        };
        if let Some(out) = self.book.out.get(&delivery) {
            self.links
                .to_host(out.host, ToHost::Cancel { delivery }, Micros::MAX);
            self.book
                .ends
                .push_back((delivery, AttemptOutcome::Cancelled));
        }
    }

    fn wake(&mut self, at: Micros) {
        self.book.wakes.insert(at);
    }

    fn vote(&mut self, build: BuildId, stage: u8, verdict: RolloutVote) {
        let verdict = match verdict {
            RolloutVote::Abstain => BallotVerdict::None,
            RolloutVote::Promote => BallotVerdict::On,
            RolloutVote::Hold => BallotVerdict::Hold,
            RolloutVote::RollBack => BallotVerdict::Back,
        };
        let book = &mut *self.book;
        let ballot = book.next_ballot;
        book.next_ballot += 1;
        book.counts.votes += 1;
        if self.links.to_controller(ToController::Vote {
            ballot,
            build: build.0,
            stage,
            verdict,
        }) {
            book.ballot = Some((ballot, book.now + book.vote_wait));
        } else {
            book.ballot_failed = true;
        }
    }

    fn probe(&mut self, host: HostId) {
        self.links.to_host(
            host,
            ToHost::Probe {
                probe: self.book.now as u64,
            },
            Micros::MAX,
        );
    }

    fn watch_list(&mut self) {
        let have = self.book.list_version;
        self.book.list_failed |= !self.links.to_list(ToList::Watch { have });
    }

    fn fetch_list(&mut self) {
        self.book.list_failed |= !self.links.to_list(ToList::Fetch);
    }

    fn gossip(&mut self, router: Option<u32>, text: &[u8]) {
        self.links.to_routers(router, text);
    }
}
