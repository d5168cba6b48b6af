use std::collections::BTreeSet;

use spokeflow_coordination::EffectiveConfig;
use spokeflow_core::{
    AttemptOutcome, BuildId, CommandId, ControllerStats, Endpoint, EndpointState, HostId, Key,
    ListKind, Micros, OpType, Repeat, RolloutState, RolloutStatus, Router, ServiceConfig, TenantId,
    VoteOutcome, ZoneId,
};
use spokeflow_proto::{
    BallotResult, Command, FrameFault, FromController, FromHost, FromList, Line, LinePhase, News,
    NewsStanding, ToClient, ToHost,
};

use crate::in_flight::{Book, Carrier, Owed, Place};
use crate::input::TransportFailure;
use crate::{Input, Transport};

/// What the engine itself must know beside the module's terms.
#[derive(Clone, Debug)]
pub struct EngineConfig {
    pub service: ServiceConfig,
    /// Kept back from each client's patience, for the way of the answer.
    pub answer_margin: Micros,
    /// Commands held at most; one more is nacked at once.
    pub max_waiting: usize,
}

/// Counted since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    pub accepted: u64,
    pub acked: u64,
    pub nacked: u64,
    pub failed: u64,
    pub abandoned: u64,
    pub deliveries: u64,
    /// Answers of hosts to deliveries that had been given up.
    pub late: u64,
    pub votes: u64,
    /// Answered by the engine because the module had not in time: always 0 unless the module has a fault.
    pub overdue: u64,
    /// Nacked because as many as are allowed were held.
    pub over_capacity: u64,
}

/// What the keepers have granted last.
struct Agreed {
    until: Micros,
    terms: EffectiveConfig,
    leased: bool,
}

pub struct Engine {
    router: Router,
    book: Book,
    terms: EngineConfig,
    /// `None` where no keepers are followed: then the terms are those of the start for good.
    agreed: Option<Agreed>,
    /// The desk's latest news as it came, and when.
    news: Option<(News, Micros)>,
    closing: bool,
}

impl Engine {
    /// `seed` starts the module's chance; times are microseconds of any one clock that never goes back.
    pub fn new(terms: EngineConfig, seed: u64, now: Micros, links: &mut dyn Transport) -> Self {
        let mut book = Book {
            now,
            born: now,
            vote_wait: terms.service.vote_timeout.max(1),
            ..Book::default()
        };
        let router = Router::new(
            &terms.service,
            seed,
            now,
            &mut Carrier {
                book: &mut book,
                links,
            },
        );
        let mut engine = Engine {
            router,
            book,
            terms,
            agreed: None,
            news: None,
            closing: false,
        };
        engine.settle(links);
        engine
    }

    pub fn counts(&self) -> Counts {
        self.book.counts
    }

    /// Commands that are owed an answer.
    pub fn waiting_commands(&self) -> usize {
        self.book.owed_by.len()
    }

    /// Deliveries that the module counts as open.
    pub fn open_deliveries(&self) -> usize {
        self.book.out.len()
    }

    /// The next command gets this id of the module, or the first free one after it.
    pub fn skip_ids_to(&mut self, id: u32) {
        self.book.next_cmd = id;
    }

    /// When [`Engine::woken`] is due.
    pub fn next_wake(&self) -> Micros {
        let book = &self.book;
        let due = [
            book.wakes.first().copied(),
            book.due.first().map(|d| d.0),
            book.owed_by.first().map(|d| d.0),
            book.ballot.map(|b| b.1),
            self.agreed.as_ref().filter(|a| a.leased).map(|a| a.until),
        ];
        due.into_iter().flatten().min().unwrap_or(Micros::MAX)
    }

    /// Takes in one thing that has happened at `now`.
    pub fn on_input(&mut self, now: Micros, input: Input, links: &mut dyn Transport) {
        self.at(now);
        // Asked before each act, not by a timer: this process may have been stopped.
        if self
            .agreed
            .as_ref()
            .is_some_and(|a| a.leased && self.book.now >= a.until)
        {
            self.go_by_agreed(links);
        }
        match input {
            Input::Command { conn, command } => self.command(conn, command, links),
            Input::Abandon { conn, id } => {
                let cmd = self
                    .book
                    .by_client
                    .get_mut(&conn)
                    .and_then(|ids| ids.remove(&id));
                if let Some(cmd) = cmd {
                    self.left(cmd, links);
                }
            }
            Input::ClientDisconnected { conn } => {
                for cmd in self
                    .book
                    .by_client
                    .remove(&conn)
                    .unwrap_or_default()
                    .into_values()
                {
                    self.left(cmd, links);
                }
            }
            Input::WrongAnswer { receipt, .. } => {
                let (host, sent) = (
                    HostId((receipt >> 32) as u32),
                    (receipt as u32 as Micros) * 1000,
                );
                self.router
                    .on_wrong_answer(host, (self.book.now - self.book.born - sent).max(0));
            }
            Input::WrongAnswerReport { host, ago_us } => {
                let ago = ago_us.min(Micros::MAX as u64 / 4) as Micros;
                self.router.on_wrong_answer(HostId(host), ago);
            }
            Input::FromHost { host, message } => self.hear_host(HostId(host), message, links),
            Input::DeliveryFailed {
                host,
                delivery,
                failure: end,
            } => {
                if self.is_out(HostId(host), delivery) {
                    let end = match end {
                        TransportFailure::NotSent => AttemptOutcome::NotSent,
                        TransportFailure::NotConnected => AttemptOutcome::NotConnected,
                        TransportFailure::Reset => AttemptOutcome::Reset,
                        TransportFailure::Unresponsive => AttemptOutcome::TimedOut,
                    };
                    self.ended(delivery, end, links);
                }
            }
            Input::FromList(message) => self.hear_list(message, links),
            Input::CachedList(lines) => self.list(ListKind::Cached, &lines, links),
            Input::ListUnavailable => self.list_failed(),
            Input::FromController(FromController::News(news)) => {
                let before = self.news.replace((news, self.book.now));
                self.tell_news(links);
                self.recall_lowered(before.map(|b| b.0), news, links);
            }
            Input::FromController(FromController::Voted { ballot, result }) => {
                // The answer to a vote that has been given up says nothing of the present one.
                if self.book.ballot.is_some_and(|b| b.0 == ballot) {
                    self.book.ballot = None;
                    self.router.on_vote_outcome(match result {
                        BallotResult::Counted => VoteOutcome::Counted,
                        BallotResult::Moot => VoteOutcome::Stale,
                        BallotResult::TooMany => VoteOutcome::RateLimited,
                        BallotResult::Refused => VoteOutcome::Refused,
                    });
                }
            }
            Input::FromController(FromController::Counted(count)) => {
                self.router.on_controller_stats(ControllerStats {
                    build: BuildId(count.build),
                    op: OpType(count.op),
                    sampled: count.sampled,
                    failed: count.lost,
                    mean_latency: count.mean_us.min(Micros::MAX as u64 / 4) as Micros,
                    age: count.age_us.min(Micros::MAX as u64 / 4) as Micros,
                })
            }
            Input::FromController(_) => {}
            Input::ControllerUnavailable => {
                if self.book.ballot.take().is_some() {
                    self.router.on_vote_outcome(VoteOutcome::NoResponse);
                }
            }
            // The module makes no use of what other routers say.
            Input::Gossip { .. } => {}
            Input::Lease {
                until,
                config: terms,
            } => match &mut self.agreed {
                Some(agreed)
                    if agreed.leased && until > self.book.now && agreed.terms == *terms =>
                {
                    agreed.until = until;
                    self.book.trial_until = self.book.trial_until.map(|t| (t.0, until));
                }
                _ => {
                    self.agreed = Some(Agreed {
                        until,
                        terms: *terms,
                        leased: false,
                    });
                    self.go_by_agreed(links);
                }
            },
            Input::ReplicatedList {
                complete: whole,
                hosts,
            } => self.hear_agreed_list(whole, hosts, links),
            Input::Close => self.closing = true,
            Input::AbortAll => {
                let owed: Vec<CommandId> = self.book.owed_by.iter().map(|o| o.1).collect();
                for cmd in owed {
                    self.router.abort(
                        cmd,
                        &mut Carrier {
                            book: &mut self.book,
                            links,
                        },
                    );
                }
            }
            Input::Timer => self.wake(links),
        }
        self.settle(links);
    }

    /// To be called at [`Engine::next_wake`] or soon after.
    pub fn on_timer(&mut self, now: Micros, links: &mut dyn Transport) {
        self.on_input(now, Input::Timer, links);
    }

    fn at(&mut self, now: Micros) {
        self.book.now = self.book.now.max(now);
        self.router.set_time(self.book.now);
    }

    // ---- What keepers have granted ----

    /// One step between two commands: none sees parts of two revisions. Without a lease only what contradicts no
    /// later revision is done.
    fn go_by_agreed(&mut self, links: &mut dyn Transport) {
        let Some(agreed) = &mut self.agreed else {
            return;
        };
        agreed.leased = self.book.now < agreed.until;
        let terms = match agreed.leased {
            true => agreed.terms.clone(),
            false => agreed.terms.released_build_only(),
        };
        links.drain_grace(terms.drain_grace);
        terms.apply_to(&mut self.terms.service);
        self.router.reconfigure(&self.terms.service);
        self.tell_news(links);
    }

    /// The desk's news as the module may know it: no cap is higher than agreed for its stage.
    fn tell_news(&mut self, links: &mut dyn Transport) {
        let Some((mut news, at)) = self.news else {
            return;
        };
        news.age_us += (self.book.now - at) as u64;
        if let Some(agreed) = &self.agreed {
            let ceiling = self
                .terms
                .service
                .stage_caps
                .get(usize::from(news.stage))
                .copied()
                .unwrap_or(0.0);
            let released = news.standing == NewsStanding::Released;
            if !released {
                news.cap = news.cap.min(ceiling as f32);
            }
            let from = BuildId(news.build.saturating_add(released.into()));
            self.book.trial_until = Some((from, agreed.until));
        }
        self.router.on_rollout_status(
            stage_news(news),
            &mut Carrier {
                book: &mut self.book,
                links,
            },
        );
    }

    /// A lower cap binds what leaves, whenever it was called: what waits for its connection comes back.
    fn recall_lowered(&self, before: Option<News>, news: News, links: &mut dyn Transport) {
        let first = self
            .terms
            .service
            .stage_caps
            .first()
            .copied()
            .unwrap_or(0.0) as f32;
        let cap = |news: Option<News>, build: u16| match news {
            Some(n) if build < n.build => f32::INFINITY,
            Some(n) if build == n.build && n.standing == NewsStanding::Released => f32::INFINITY,
            Some(n) if build == n.build => n.cap,
            _ => first,
        };
        for (host, place) in &self.book.places {
            let build = place.build().0;
            if cap(Some(news), build) < cap(before, build) {
                links.recall(*host, None);
            }
        }
    }

    // ---- Clients ----

    fn command(&mut self, conn: u64, command: Command, links: &mut dyn Transport) {
        let book = &mut self.book;
        let margin = self.terms.answer_margin;
        let left = command.left_us.min(Micros::MAX as u64 / 4) as Micros - margin;
        let known = usize::from(command.op) < self.terms.service.ops.len();
        let full = book.owed_by.len() >= self.terms.max_waiting;
        if book
            .by_client
            .get(&conn)
            .is_some_and(|ids| ids.contains_key(&command.id))
        {
            // Two answers under one number could not be told apart. The link closes it, which ends the first.
            return links.to_client(
                conn,
                ToClient::Refused(FrameFault::IdInUse(command.id).refused()),
            );
        }
        book.counts.accepted += 1;
        if self.closing || full || left <= 0 || !known {
            // Nothing of it has run anywhere, whatever its op type: trying again is harmless.
            book.counts.over_capacity += u64::from(full);
            book.counts.nacked += 1;
            let service = &self.terms.service;
            let come_back_us = (service.may_name_retry_after && known)
                .then_some(service.longest_retry_after as u64);
            return links.to_client(
                conn,
                ToClient::Nacked {
                    id: command.id,
                    come_back_us,
                },
            );
        }
        let op_terms = &self.terms.service.ops[usize::from(command.op)];
        let cmd = book.fresh_id();
        let until = book.now + left;
        book.by_client
            .entry(conn)
            .or_default()
            .insert(command.id, cmd);
        book.owed_by.insert((until, cmd));
        let owed = Owed {
            conn,
            id: command.id,
            op: command.op,
            share: command.share,
            key: command.key,
            mark: command.mark,
            until,
            answered: false,
            body: command.body,
            deliveries: Vec::new(),
            may_have_run: Vec::new(),
            repeat_memory: (op_terms.repeat == Repeat::Deduplicated)
                .then_some(op_terms.deduplication_window),
            open: 0,
        };
        book.cmds.insert(cmd, owed);
        let (op, share, key) = (
            OpType(command.op),
            TenantId(command.share),
            Key(command.key),
        );
        self.router
            .on_command(cmd, op, share, key, left, &mut Carrier { book, links });
    }

    /// The client waits no longer: nothing is owed, what is out still ends.
    fn left(&mut self, cmd: CommandId, links: &mut dyn Transport) {
        let Some(owed) = self.book.cmds.get_mut(&cmd).filter(|o| !o.answered) else {
            return;
        };
        owed.answered = true;
        let until = owed.until;
        self.book.owed_by.remove(&(until, cmd));
        self.book.counts.abandoned += 1;
        self.router.finish(
            cmd,
            &mut Carrier {
                book: &mut self.book,
                links,
            },
        );
        self.book.recall(cmd, links);
        self.book.forget(cmd);
    }

    // ---- Hosts ----

    fn is_out(&self, host: HostId, delivery: u64) -> bool {
        self.book
            .out
            .get(&delivery)
            .is_some_and(|out| out.host == host)
    }

    fn hear_host(&mut self, host: HostId, message: FromHost, links: &mut dyn Transport) {
        match message {
            FromHost::Welcome {
                build,
                incarnation,
                up_us,
                ..
            } => self.host_speaks(host, build, incarnation, up_us, links),
            FromHost::Acked { delivery, body } if self.is_out(host, delivery) => {
                let out = &self.book.out[&delivery];
                let (cmd, sent) = (out.cmd, (out.sent - self.book.born) / 1000);
                let receipt = u64::from(host.0) << 32 | u64::from(sent as u32);
                let build = self.book.places.get(&host).map_or(0, |p| p.build().0);
                self.book.answer(cmd, links, |id| ToClient::Acked {
                    id,
                    build,
                    receipt,
                    body,
                });
                self.ended(delivery, AttemptOutcome::Acked, links);
            }
            FromHost::Report { busy } => self.router.on_load_report(host, f64::from(busy) / 1000.0),
            FromHost::Error { delivery } if self.is_out(host, delivery) => {
                self.ended(delivery, AttemptOutcome::Error, links);
            }
            FromHost::Full { delivery } if self.is_out(host, delivery) => {
                self.ended(delivery, AttemptOutcome::Rejected, links);
            }
            FromHost::Answering { delivery } if self.is_out(host, delivery) => {
                let out = &self.book.out[&delivery];
                self.router.on_response_started(out.cmd, out.nth);
            }
            FromHost::Acked { .. } | FromHost::Error { .. } | FromHost::Full { .. } => {
                self.book.counts.late += 1;
            }
            _ => {}
        }
    }

    /// A host's own word on its process is newer than the list's: one that has restarted is cold, and the list
    /// says so only seconds later.
    fn host_speaks(
        &mut self,
        host: HostId,
        build: u16,
        incarnation: u64,
        up_us: u64,
        links: &mut dyn Transport,
    ) {
        let Some(place) = self
            .book
            .places
            .get_mut(&host)
            .filter(|p| p.incarnation < incarnation)
        else {
            return;
        };
        let started = self.book.now - up_us.min(Micros::MAX as u64 / 4) as Micros;
        place.incarnation = incarnation;
        (place.line.build, place.line.started_at) = (Some(BuildId(build)), Some(started));
        let line = place.line;
        self.router.on_endpoints(
            ListKind::Changes,
            &[line],
            &mut Carrier {
                book: &mut self.book,
                links,
            },
        );
    }

    fn ended(&mut self, delivery: u64, end: AttemptOutcome, links: &mut dyn Transport) {
        let Some(out) = self.book.close(delivery) else {
            return;
        };
        if let Some(owed) = self
            .book
            .cmds
            .get_mut(&out.cmd)
            .filter(|_| !end.may_have_run())
        {
            owed.may_have_run[usize::from(out.nth)] = None;
        }
        let took = self.book.now - out.sent;
        let done = self.book.cmds.get(&out.cmd).is_none_or(|o| o.answered);
        let carrier = &mut Carrier {
            book: &mut self.book,
            links,
        };
        self.router
            .on_attempt_outcome(out.cmd, out.nth, end, took, done, carrier);
        self.book.forget(out.cmd);
    }

    // ---- The list ----

    fn hear_list(&mut self, message: FromList, links: &mut dyn Transport) {
        let (kind, version, lines) = match message {
            FromList::Whole { version, lines } => (ListKind::Complete, version, lines),
            FromList::Changes { version, lines } => (ListKind::Changes, version, lines),
            FromList::Failed => return self.list_failed(),
            FromList::Sizes { sizes } => return self.sizes(&sizes, links),
            FromList::Welcome | FromList::Refused(_) => return,
        };
        self.book.list_version = Some(version);
        if self.book.agreed_list.is_some() {
            return self.take_away(kind, &lines, links);
        }
        self.list(kind, &lines, links);
    }

    /// What the own list says while the list is agreed: hosts are taken away at once, and given back to the agreed
    /// list, but nothing is added.
    fn take_away(&mut self, kind: ListKind, lines: &[Line], links: &mut dyn Transport) {
        let Some(agreed) = &mut self.book.agreed_list else {
            return;
        };
        let mut changed = Vec::new();
        for line in lines {
            let Some(place) = self.book.places.get(&HostId(line.host)) else {
                continue;
            };
            if line.incarnation < place.incarnation {
                continue;
            }
            if line.phase != LinePhase::Ready {
                agreed
                    .taken
                    .insert(line.host, (place.incarnation, line.phase));
                changed.push(place.as_line(line.phase));
            } else if agreed.taken.remove(&line.host).is_some() {
                changed.extend(agreed.told.get(&line.host).cloned());
            }
        }
        if kind == ListKind::Complete {
            let named: BTreeSet<u32> = lines.iter().map(|line| line.host).collect();
            for (host, place) in &self.book.places {
                if place.line.state != EndpointState::Gone && !named.contains(&host.0) {
                    agreed
                        .taken
                        .insert(host.0, (place.incarnation, LinePhase::Gone));
                    changed.push(place.as_line(LinePhase::Gone));
                }
            }
        }
        self.list(ListKind::Changes, &changed, links);
    }

    fn hear_agreed_list(&mut self, whole: bool, mut hosts: Vec<Line>, links: &mut dyn Transport) {
        let agreed = self.book.agreed_list.get_or_insert_default();
        if whole {
            agreed.told.clear();
        }
        for line in &mut hosts {
            agreed.told.insert(line.host, line.clone());
            match agreed.taken.get(&line.host) {
                // The own list may be ahead of the agreed one: what it took away stays so until another process.
                Some((upto, phase)) if line.incarnation <= *upto => line.phase = *phase,
                Some(_) => drop(agreed.taken.remove(&line.host)),
                None => {}
            }
        }
        agreed.told.retain(|_, line| line.phase != LinePhase::Gone);
        if whole || !hosts.is_empty() {
            let kind = if whole {
                ListKind::Complete
            } else {
                ListKind::Changes
            };
            self.list(kind, &hosts, links);
        }
    }

    fn list(&mut self, kind: ListKind, lines: &[Line], links: &mut dyn Transport) {
        let told: Vec<Endpoint> = lines.iter().map(|line| self.host_line(line)).collect();
        if kind != ListKind::Changes {
            let named: BTreeSet<HostId> = told.iter().map(|line| line.host).collect();
            let places = self.book.places.iter_mut();
            for (&host, place) in
                places.filter(|(h, p)| p.line.state != EndpointState::Gone && !named.contains(h))
            {
                place.line.state = EndpointState::Gone;
                links.host_closed(host, true);
            }
        }
        for line in &told {
            if line.state == EndpointState::Ready {
                let place = &self.book.places[&line.host];
                links.host_open(line.host, &place.address, place.incarnation);
            } else {
                links.host_closed(line.host, line.state == EndpointState::Gone);
            }
        }
        self.router.on_endpoints(
            kind,
            &told,
            &mut Carrier {
                book: &mut self.book,
                links,
            },
        );
    }

    /// What is no size, or of a host that no line has named, is passed over.
    fn sizes(&mut self, sizes: &[(u32, f32)], links: &mut dyn Transport) {
        let mut told = Vec::new();
        for (host, size) in sizes
            .iter()
            .filter(|(_, size)| size.is_finite() && *size > 0.0)
        {
            if let Some(place) = self.book.places.get_mut(&HostId(*host)) {
                place.line.size = f64::from(*size);
                told.push(place.line);
            }
        }
        self.router.on_endpoints(
            ListKind::Changes,
            &told,
            &mut Carrier {
                book: &mut self.book,
                links,
            },
        );
    }

    /// The module hears of failures only where it has to ask.
    fn list_failed(&mut self) {
        if self.terms.service.list_requires_subscription {
            self.router.on_list_failure();
        }
    }

    fn host_line(&mut self, line: &Line) -> Endpoint {
        let host = HostId(line.host);
        let phase = match line.phase {
            LinePhase::Gone => EndpointState::Gone,
            LinePhase::Ready => EndpointState::Ready,
            LinePhase::Draining => EndpointState::Draining,
        };
        let up = line
            .up_us
            .map(|up| up.min(Micros::MAX as u64 / 4) as Micros);
        let (build, zone) = (line.build.map(BuildId), ZoneId(line.zone));
        let fresh = Endpoint {
            host,
            build,
            cell: line.cell,
            zone,
            state: phase,
            size: 1.0,
            started_at: None,
        };
        let mut first = false;
        let place = self.book.places.entry(host).or_insert_with(|| {
            first = true;
            Place {
                address: String::new(),
                incarnation: line.incarnation,
                line: fresh,
            }
        });
        if first || line.incarnation > place.incarnation {
            // Computed once for each process: said again it would differ by the way of the message.
            place.line.started_at = up.map(|up| self.book.now - up);
        }
        if line.incarnation >= place.incarnation {
            place.line.build = build.or(place.line.build);
            place.incarnation = line.incarnation;
            place.address.clone_from(&line.address);
        }
        // Of an earlier process than the host itself has told of, only the phase is taken: it is the list's.
        place.line = Endpoint {
            cell: line.cell,
            zone,
            state: phase,
            ..place.line
        };
        place.line
    }

    // ---- Time ----

    fn wake(&mut self, links: &mut dyn Transport) {
        let now = self.book.now;
        while self.book.wakes.first().is_some_and(|at| *at <= now) {
            self.book.wakes.pop_first();
            // Beats that were missed are made up by one.
            if self.book.wakes.first().is_none_or(|at| *at > now) {
                self.router.on_timer(&mut Carrier {
                    book: &mut self.book,
                    links,
                });
            }
        }
        while let Some(&(at, delivery)) = self.book.due.first().filter(|d| d.0 <= now) {
            self.book.due.remove(&(at, delivery));
            let host = self.book.out[&delivery].host;
            links.to_host(host, ToHost::Cancel { delivery }, Micros::MAX);
            self.ended(delivery, AttemptOutcome::TimedOut, links);
        }
        self.settle(links);
        while let Some(&(_, cmd)) = self.book.owed_by.first().filter(|d| d.0 <= now) {
            self.book.counts.overdue += 1;
            self.book.answer(cmd, links, |id| ToClient::Failed { id });
            self.router.finish(
                cmd,
                &mut Carrier {
                    book: &mut self.book,
                    links,
                },
            );
            self.book.forget(cmd);
        }
        if self.book.ballot.is_some_and(|b| b.1 <= now) {
            self.book.ballot = None;
            self.router.on_vote_outcome(VoteOutcome::NoResponse);
        }
    }

    /// Tells the module of the ends that its own calls have caused, until none is left: each takes a delivery
    /// off the books, and a command has few.
    fn settle(&mut self, links: &mut dyn Transport) {
        while let Some((delivery, end)) = self.book.ends.pop_front() {
            self.ended(delivery, end, links);
        }
        if std::mem::take(&mut self.book.list_failed) {
            self.list_failed();
        }
        if std::mem::take(&mut self.book.ballot_failed) {
            self.router.on_vote_outcome(VoteOutcome::Refused);
        }
    }
}

fn stage_news(news: News) -> RolloutStatus {
    RolloutStatus {
        build: BuildId(news.build),
        stage: news.stage,
        state: match news.standing {
            NewsStanding::OnTrial => RolloutState::Canary,
            NewsStanding::GoingBack => RolloutState::RollingBack,
            NewsStanding::Released => RolloutState::Released,
            NewsStanding::Withdrawn => RolloutState::Withdrawn,
        },
        exposure_cap: f64::from(news.cap.clamp(0.0, 1.0)),
        age: news.age_us.min(Micros::MAX as u64 / 4) as Micros,
    }
}
