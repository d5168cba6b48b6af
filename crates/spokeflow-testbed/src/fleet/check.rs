//! What must hold, from what crossed the switchboard, the hosts and the clients. Nothing that a process logs or says of
//! itself beside its messages is read.

use std::collections::{BTreeMap, HashMap};

use serde::Serialize;
use spokeflow_coordination::wire::{FromNode, Request, Response, ToNode};
use spokeflow_coordination::{HostState, LeaseGrant, Overrides, ProposalOutcome, Revision};
use spokeflow_raft::{AppendOutcome, Message};

use super::peers::{Asked, Delivered, Ended, NEW, ONCE, PATIENCE};
use super::switchboard::{Crossed, Frame, Node};
use crate::Micros;

/// What may pass between an act and its being seen here.
#[derive(Clone, Copy, Debug)]
pub struct Slack(pub Micros);

/// What the day did that the checker must know to judge it.
#[derive(Default)]
pub struct Done {
    /// Routers that were stopped or not there: from, to.
    pub away: Vec<(u32, Micros, Micros)>,
    /// Keepers that ran on another disk than theirs.
    pub other_disk: Vec<(u32, Micros, Micros)>,
    /// From when on nothing was wrong any more.
    pub mended: Micros,
    pub end: Micros,
    pub faults: Vec<String>,
    pub leaders_killed: Vec<Micros>,
    /// What went wrong with the rig's own expectations, such as a process that did not start.
    pub unexpected: Vec<String>,
}

#[derive(Clone, Debug, Default, Serialize)]
pub struct Report {
    pub broken: Vec<String>,
    pub faults: usize,
    pub frames: usize,
    pub revisions: usize,
    pub leaders: usize,
    pub commands: usize,
    pub acked: usize,
    pub nacked: usize,
    pub failed: usize,
    pub trial_deliveries: usize,
    pub grants: usize,
    pub refused_disks: usize,
    /// Longest time for which a router acted against a revision that another may have acted on, and the bound.
    pub longest_contradiction_us: Micros,
    /// Longest time for which a router sent to a host that another had been told to leave.
    pub longest_stale_list_us: Micros,
    /// Drains told by keepers.
    pub drains: usize,
    pub bound_us: Micros,
    /// By which this program itself came late at most.
    pub lag_us: Micros,
    /// From the first word of a revision to its coming into force: the median and the longest.
    pub in_force_p50_us: Micros,
    pub in_force_p99_us: Micros,
    pub in_force_max_us: Micros,
    /// From the kill of a leader to the first word of the next one: the median and the longest.
    pub leaderless_p50_us: Micros,
    pub leaderless_max_us: Micros,
    /// Bytes a second between a router and its keepers, both ways, in the mean.
    pub router_bytes_per_s: f64,
}

impl Report {
    pub fn sound(&self) -> bool {
        self.broken.is_empty()
    }

    pub fn text(&self) -> String {
        let mut lines: Vec<String> = self
            .broken
            .iter()
            .take(20)
            .map(|b| format!("BROKEN {b}"))
            .collect();
        lines.push(format!(
            "{} faults, {} frames, {} leaders, {} revisions, {} grants, {} disks refused",
            self.faults, self.frames, self.leaders, self.revisions, self.grants, self.refused_disks
        ));
        lines.push(format!(
            "{} commands: {} acked, {} nacked, {} failed; {} deliveries to the build on trial",
            self.commands, self.acked, self.nacked, self.failed, self.trial_deliveries
        ));
        lines.push(format!(
            "longest contradiction {} ms, and with a drained host {} ms ({} drains), of {} ms; announced to in force {} ms (median), {} ms (longest); own lag {} ms",
            self.longest_contradiction_us / 1000,
            self.longest_stale_list_us / 1000,
            self.drains,
            self.bound_us / 1000,
            self.in_force_p50_us / 1000,
            self.in_force_max_us / 1000,
            self.lag_us / 1000
        ));
        lines.push(if self.sound() {
            "kept".into()
        } else {
            format!("{} BROKEN", self.broken.len())
        });
        lines.join("\n")
    }
}

fn newest(grant: &LeaseGrant) -> u64 {
    grant
        .pending
        .as_ref()
        .map_or(grant.in_force.number.0, |a| a.number.0)
}

/// Whether a revision lets nothing go to the build on trial.
pub fn closes(values: &Overrides) -> bool {
    values
        .get("stage-cap")
        .is_some_and(|caps| caps.split(',').all(|c| c.trim() == "0"))
}

struct Seen {
    /// By revision: when first told of anywhere, and when first told to be in force.
    told: BTreeMap<u64, Micros>,
    forced: BTreeMap<u64, Micros>,
    values: BTreeMap<u64, Overrides>,
    /// By host: when a list that has it draining was first told, by process; and when one that has it ready was.
    drained: HashMap<u32, BTreeMap<u64, Micros>>,
    ready: HashMap<u32, BTreeMap<u64, Micros>>,
    /// By router: when a grant reached it, and until when its lease then ran at most.
    leases: HashMap<u32, Vec<(Micros, Micros)>>,
    grants: usize,
    leaders: usize,
}

pub fn check(
    frames: &[Frame],
    delivered: &[Delivered],
    asked: &HashMap<u64, Asked>,
    done: &Done,
    lease: Micros,
    Slack(slack): Slack,
) -> Report {
    let mut broken = done.unexpected.clone();
    let seen = read(frames, done, lease, &mut broken);
    let mut report = Report {
        bound_us: lease,
        lag_us: slack,
        ..Report::default()
    };
    acts(&seen, delivered, lease, slack, &mut report, &mut broken);
    commands(delivered, asked, done, slack, &mut report, &mut broken);
    let mut waits: Vec<Micros> = seen
        .forced
        .iter()
        .filter_map(|(n, at)| Some(at - seen.told.get(n)?))
        .collect();
    waits.sort_unstable();
    report.in_force_p50_us = waits.get(waits.len() / 2).copied().unwrap_or(0);
    report.in_force_p99_us = waits.get(waits.len() * 99 / 100).copied().unwrap_or(0);
    report.in_force_max_us = waits.last().copied().unwrap_or(0);
    let mut gaps: Vec<Micros> = done
        .leaders_killed
        .iter()
        .filter_map(|at| Some(next_leader(frames, *at)? - at))
        .collect();
    gaps.sort_unstable();
    report.leaderless_p50_us = gaps.get(gaps.len() / 2).copied().unwrap_or(0);
    report.leaderless_max_us = gaps.last().copied().unwrap_or(0);
    let routers: std::collections::HashSet<Node> = frames
        .iter()
        .flat_map(|f| [f.from, f.to])
        .filter(|n| matches!(n, Node::Router(_)))
        .collect();
    let of_routers = frames
        .iter()
        .filter(|f| routers.contains(&f.from) || routers.contains(&f.to));
    let bytes: usize = of_routers.map(|f| f.bytes).sum();
    report.router_bytes_per_s =
        bytes as f64 / routers.len().max(1) as f64 / (done.end.max(1) as f64 / 1e6);
    (report.faults, report.frames) = (done.faults.len(), frames.len());
    (report.revisions, report.grants, report.leaders) =
        (seen.forced.len(), seen.grants, seen.leaders);
    report.refused_disks = done.other_disk.len();
    report.drains = seen.drained.values().map(BTreeMap::len).sum();
    report.broken = broken;
    report
}

/// When the first leader spoke whose term is later than any before `at`.
fn next_leader(frames: &[Frame], at: Micros) -> Option<Micros> {
    let term = |f: &Frame| match &f.what {
        Crossed::Up(ToNode::Raft(
            Message::AppendEntries { term, .. } | Message::InstallSnapshot { term, .. },
        )) => Some(term.0),
        _ => None,
    };
    let before = frames
        .iter()
        .filter(|f| f.at <= at)
        .filter_map(term)
        .max()?;
    frames
        .iter()
        .filter(|f| f.at > at && term(f).is_some_and(|t| t > before))
        .map(|f| f.at)
        .min()
}

/// Revisions and leases, and whether reads, offers and promises were as they must be.
fn read(frames: &[Frame], done: &Done, lease: Micros, broken: &mut Vec<String>) -> Seen {
    let mut seen = Seen {
        told: BTreeMap::new(),
        forced: BTreeMap::new(),
        values: BTreeMap::from([(0, Overrides::new())]),
        drained: HashMap::new(),
        ready: HashMap::new(),
        leases: HashMap::new(),
        grants: 0,
        leaders: 0,
    };
    let mut begun: HashMap<u64, Micros> = HashMap::new();
    let mut asks: HashMap<(u64, u64), (Micros, Node, &Request)> = HashMap::new();
    let mut verdicts: HashMap<u64, ProposalOutcome> = HashMap::new();
    let mut tokens: HashMap<u64, u64> = HashMap::new();
    let mut leaders: BTreeMap<u64, u32> = BTreeMap::new();
    // What had been told, and been in force, by each instant: a later reader must not see less.
    let mut most: Vec<(Micros, u64, u64)> = vec![(0, 0, 0)];
    let mut order: Vec<&Frame> = frames.iter().collect();
    order.sort_by_key(|f| f.at);
    for frame in order {
        match &frame.what {
            Crossed::Up(ToNode::Hello { .. }) => {
                begun.insert(frame.conn, frame.at);
            }
            Crossed::Up(ToNode::Request {
                number,
                request: ask,
            }) => {
                asks.entry((frame.conn, *number))
                    .or_insert((frame.at, frame.from, ask));
            }
            Crossed::Up(ToNode::Raft(message)) => {
                let Node::Keeper(from) = frame.from else {
                    continue;
                };
                if let Message::AppendEntries { term, .. } | Message::InstallSnapshot { term, .. } =
                    message
                {
                    let first = *leaders.entry(term.0).or_insert(from);
                    if first != from {
                        broken.push(format!(
                            "keepers {first} and {from} both led in term {}",
                            term.0
                        ));
                    }
                }
                let promises = match message {
                    Message::VoteResponse {
                        granted,
                        pre_vote: sounded,
                        ..
                    } => *granted && !sounded,
                    Message::AppendEntriesResponse { outcome, .. } => {
                        matches!(outcome, AppendOutcome::Matched(_))
                    }
                    _ => false,
                };
                // By when its connection began: what an earlier process said may still be on its way.
                let at = begun.get(&frame.conn).copied().unwrap_or(frame.at);
                let other = |d: &&(u32, Micros, Micros)| d.0 == from && (d.1..d.2).contains(&at);
                if promises && done.other_disk.iter().any(|d| other(&d)) {
                    broken.push(format!(
                        "keeper {from} promised on a disk that is not its own: {message:?} at {} ms",
                        frame.at / 1000
                    ));
                }
            }
            Crossed::Down(FromNode::Response {
                number,
                response: answer,
            }) => {
                let Some((asked_at, from, ask)) = asks.get(&(frame.conn, *number)) else {
                    continue;
                };
                let mut tell = |told: u64, forced: u64| {
                    let before = most.partition_point(|m| m.0 < *asked_at);
                    let (_, t, f) = most[before.max(1) - 1];
                    if told < t || forced < f {
                        broken.push(format!(
                            "{from:?} asked at {} ms and was told {told}/{forced}, after {t}/{f} had been told",
                            asked_at / 1000
                        ));
                    }
                    let last = *most.last().unwrap_or(&(0, 0, 0));
                    most.push((frame.at, told.max(last.1), forced.max(last.2)));
                    for n in 1..=told {
                        seen.told.entry(n).or_insert(frame.at);
                    }
                    for n in 1..=forced {
                        seen.forced.entry(n).or_insert(frame.at);
                    }
                };
                let mut revisions: Vec<&Revision> = Vec::new();
                match answer {
                    Response::Granted(grant) => {
                        seen.grants += 1;
                        tell(newest(grant), grant.in_force.number.0);
                        let known = grant.pending.iter().chain([&grant.in_force]);
                        revisions.extend(known.filter_map(|k| k.revision.as_ref()));
                        for host in grant.list.iter().flat_map(|part| &part.hosts) {
                            let of = match host.state {
                                HostState::Ready => &mut seen.ready,
                                _ => &mut seen.drained,
                            };
                            of.entry(host.host)
                                .or_default()
                                .entry(host.incarnation)
                                .or_insert(frame.at);
                        }
                        if let (Node::Router(router), Some(on)) = (frame.to, frame.on) {
                            seen.leases
                                .entry(router)
                                .or_default()
                                .push((on, asked_at + lease));
                        }
                    }
                    Response::Status(view) => {
                        let newest = view.pending.as_ref().unwrap_or(&view.in_force).number.0;
                        tell(newest, view.in_force.number.0);
                        revisions.extend(view.pending.iter().chain([&view.in_force]));
                        revisions.extend(view.history.iter().map(|h| &h.revision));
                    }
                    Response::Proposed(verdict) => {
                        let Request::Propose(offer) = ask else {
                            continue;
                        };
                        let before = *verdicts.entry(offer.token).or_insert(*verdict);
                        if before != *verdict {
                            broken.push(format!("one offer was told {before:?} and {verdict:?}"));
                        }
                        if let ProposalOutcome::Pending(n) = verdict {
                            let token = *tokens.entry(n.0).or_insert(offer.token);
                            if token != offer.token {
                                broken.push(format!("revision {} was given to two offers", n.0));
                            }
                            let last = *most.last().unwrap_or(&(0, 0, 0));
                            most.push((frame.at, n.0.max(last.1), last.2));
                            seen.told.entry(n.0).or_insert(frame.at);
                            seen.values
                                .entry(n.0)
                                .or_insert_with(|| offer.values.clone());
                        }
                    }
                    _ => {}
                }
                for revision in revisions {
                    let known = seen.values.entry(revision.number.0);
                    if *known.or_insert_with(|| revision.values.clone()) != revision.values {
                        broken.push(format!(
                            "revision {} was told in two forms",
                            revision.number.0
                        ));
                    }
                }
            }
            _ => {}
        }
    }
    seen.leaders = leaders.len();
    seen.leases.values_mut().for_each(|l| l.sort_unstable());
    seen
}

/// Deliveries to the build on trial, against leases and revisions.
fn acts(
    seen: &Seen,
    delivered: &[Delivered],
    lease: Micros,
    slack: Micros,
    report: &mut Report,
    broken: &mut Vec<String>,
) {
    let held = |router: &u32, at: Micros| {
        let leases = seen.leases.get(router).into_iter().flatten();
        leases
            .take_while(|l| l.0 <= at)
            .map(|l| l.1)
            .max()
            .unwrap_or(0)
    };
    for d in delivered {
        // Without a lease a router goes by the last list that it was told: it cannot know of a later one. One that has
        // just got a lease again may have sent this before.
        if d.at > held(&d.router, d.at - slack) {
            continue;
        }
        // The process that drained, and the next one, are told apart by when each was first told of.
        for (process, told) in seen
            .drained
            .get(&d.host)
            .into_iter()
            .flatten()
            .filter(|t| *t.1 <= d.at)
        {
            let back = seen
                .ready
                .get(&d.host)
                .is_some_and(|r| r.range(process + 1..).any(|n| *n.1 <= d.at));
            if back {
                continue;
            }
            let since = d.at - told;
            report.longest_stale_list_us = report.longest_stale_list_us.max(since);
            if since > lease + slack {
                broken.push(format!(
                    "router {} sent to host {} at {} ms, {} ms after it was told to drain",
                    d.router,
                    d.host,
                    d.at / 1000,
                    since / 1000
                ));
            }
        }
    }
    for d in delivered.iter().filter(|d| d.build == NEW) {
        report.trial_deliveries += 1;
        let held = seen.leases.get(&d.router).map_or(0, |leases| {
            leases
                .iter()
                .take_while(|l| l.0 <= d.at)
                .map(|l| l.1)
                .max()
                .unwrap_or(0)
        });
        if d.at > held + slack {
            broken.push(format!(
                "router {} sent to the build on trial at {} ms, its lease was over at {} ms",
                d.router,
                d.at / 1000,
                held / 1000
            ));
        }
        // The newest revision that somebody may have acted on by then; a later one that opens is none before it is
        // in force.
        for (n, told) in seen
            .told
            .iter()
            .filter(|t| *t.1 <= d.at && closes(&seen.values[t.0]))
        {
            let opened = seen.forced.iter().any(|(m, at)| m > n && *at <= d.at);
            if opened {
                continue;
            }
            let since = d.at - told;
            report.longest_contradiction_us = report.longest_contradiction_us.max(since);
            if since > lease + slack {
                broken.push(format!(
                    "router {} sent to the build on trial at {} ms, {} ms after revision {n} had closed it",
                    d.router,
                    d.at / 1000,
                    since / 1000
                ));
            }
        }
    }
}

/// One final answer for each command, in time; nothing twice that must not be.
fn commands(
    delivered: &[Delivered],
    asked: &HashMap<u64, Asked>,
    done: &Done,
    slack: Micros,
    report: &mut Report,
    broken: &mut Vec<String>,
) {
    let mut runs: HashMap<u64, usize> = HashMap::new();
    delivered
        .iter()
        .for_each(|d| *runs.entry(d.command).or_default() += 1);
    for (id, a) in asked {
        report.commands += 1;
        let times = runs.get(id).copied().unwrap_or(0);
        match a.answers.first().map(|x| x.1) {
            Some(Ended::Acked) => report.acked += 1,
            Some(Ended::Nacked) => report.nacked += 1,
            Some(Ended::Failed) => report.failed += 1,
            None => {}
        }
        if a.answers.len() > 1 {
            broken.push(format!(
                "rule 1: command {id} had {} answers",
                a.answers.len()
            ));
        }
        let by = a.at + PATIENCE + slack;
        let away = done
            .away
            .iter()
            .any(|w| w.0 == a.router && w.1 <= by && w.2 >= a.at);
        let over = by < done.end;
        if !away && over && !a.broken && a.answers.first().is_none_or(|x| x.0 > by) {
            broken.push(format!(
                "rule 1: command {id} of router {} had no answer in time",
                a.router
            ));
        }
        if a.op == ONCE && times > 1 {
            broken.push(format!("rule 2: command {id} was delivered {times} times"));
        }
        if a.op == ONCE && times > 0 && a.answers.first().is_some_and(|x| x.1 == Ended::Nacked) {
            broken.push(format!("rule 2: command {id} was delivered and nacked"));
        }
    }
}
