//! Which host of a build a command is sent to.

use super::outliers::MUTE_FOR;
use super::{Out, Router};
use super::{ROUTERS_PER_HOST, SECOND};
use crate::state::{CandidateSet, Delivery};
use crate::{unit, BuildId, CommandId, DeduplicationScope, Endpoint, Micros, Repeat};

/// Part of what the told multiple allows a cold host that is sent to it.
pub(super) const COLD_PART: f64 = 0.9;
/// Parts of the service target: at hosts before they are crowded, median time before some are refused,
/// waiting for a place, and before a second delivery where the host looks sick.
pub(super) const CROWDED_PART: f64 = 0.4;
/// Share of deliveries without a connection from which a router keeps to hosts that it has one to, how long
/// one is taken to stand after an answer, and seconds in which a load report loses most of its worth.
const MOST_REFUSED: f64 = 0.15;
const LINK_LASTS: Micros = 10 * SECOND;
const REPORT_FADES: f64 = 6.0;

impl Router {
    /// Two random choices among the fit hosts of a build, by fewest own commands in flight.
    pub(super) fn place(&mut self, cmd: CommandId, build: BuildId) -> Option<usize> {
        let c = &self.cmds[&cmd];
        if self.crowded(c.operation) {
            return None;
        }
        let rules = &self.ops[c.operation];
        let repeats_anywhere = rules.repeats_anywhere();
        let ran_at = c
            .deliveries
            .iter()
            .find(|d| d.may_have_run)
            .map(|d| self.hosts.endpoint(d.host));
        let bound = ran_at.filter(|_| !repeats_anywhere);
        let drops_repeats = |line: &Endpoint| match (bound, rules.scope) {
            (None, _) | (_, DeduplicationScope::All) => true,
            (Some(b), DeduplicationScope::Zone) => b.zone == line.zone,
            (Some(b), DeduplicationScope::Cell) => b.cell == line.cell,
            (Some(b), DeduplicationScope::Unknown) => b.host == line.host,
        };
        let tried = |h: usize| c.deliveries.iter().any(|d| d.host == h);
        let check_all = bound.is_some() || self.refused > MOST_REFUSED;
        let usable = |mut pool: CandidateSet, of_own| {
            let named = c.deliveries.iter().map(|d| d.host);
            self.hosts
                .mark_suspects(&mut pool, check_all, self.now - MUTE_FOR, named);
            pool.retain(|h| {
                drops_repeats(self.hosts.endpoint(h)) && self.may_take(h, of_own) && !tried(h)
            });
            pool
        };
        let (near, of_own) = self.near(build);
        let mut untried = usable(near, of_own);
        if untried.is_empty() {
            untried = usable(self.hosts.candidates(build), 0.2);
        }
        let mut pool = untried.clone();
        pool.retain(|h| self.now >= self.hosts.ejected_until(h) && !self.mute(h));
        if pool.len() * 3 < untried.len() {
            // Most hosts seem unfit at once: that is this router's view or its zone's links, not the hosts.
            pool = untried;
        }
        // Hosts that take no new connection go on serving over the ones that stand.
        let linked = |h: usize| self.now.saturating_sub(self.hosts.connected_at(h)) < LINK_LASTS;
        if self.refused > MOST_REFUSED && pool.any(linked) {
            pool.retain(linked);
        }
        // What runs at most once goes where answers come back; others try a host under suspicion.
        let proven = |h: usize| self.hosts.consecutive_failures(h) == 0;
        if (rules.repeat == Repeat::AtMostOnce || self.spare < 1.0) && pool.any(proven) {
            pool.retain(proven);
        }
        if pool.is_empty() {
            return None;
        }
        let largest = self.hosts.largest_size(&pool);
        let (a, b) = (self.draw(&pool, largest), self.draw(&pool, largest));
        Some(if self.press(b) < self.press(a) { b } else { a })
    }

    /// One host of a pool, by chance, each as often as its size says.
    fn draw(&mut self, pool: &CandidateSet, largest: f64) -> usize {
        loop {
            let h = pool.nth(self.chance.below(pool.len()));
            let part = self.hosts.endpoint(h).size / largest;
            if part >= 1.0 || self.chance.fraction() < part {
                return h;
            }
        }
    }

    /// Own commands in flight, weighed by how slowly the host answers and, where it reports, by how long
    /// others' commands make one wait. A report says less the older it is.
    fn press(&self, h: usize) -> f64 {
        let crawl = self.hosts.slowdown(h).clamp(0.0, 2.0).exp();
        let age = self.now.saturating_sub(self.hosts.utilization_at(h)) as f64 / SECOND as f64;
        let told = self.hosts.utilization(h) - self.busy;
        let busy = self.busy
            + if told.is_nan() {
                0.0
            } else {
                told * (-age / REPORT_FADES).exp()
            };
        f64::from(self.hosts.in_flight(h) + 1) * crawl / (1.05 - busy)
    }

    /// Guards against a new connection for nearly every command: of a build's hosts that no detour leads to, a
    /// router with little traffic keeps to a few, its own by hash. Answers how much more traffic those get for that.
    fn near(&self, build: BuildId) -> (CandidateSet, f64) {
        let mut near = self.hosts.candidates(build);
        if (0..self.ways[0].len()).any(|zone| self.detour(0, zone) > 0.0) {
            near.mark_all_unverified();
            near.retain(|h| self.detour(0, self.hosts.endpoint(h).zone.0.into()) == 0.0);
        }
        let (met, sent) = (
            ROUTERS_PER_HOST / self.fig.fleet,
            0.75 * self.flow[0] / self.hosts.ready_count() as f64,
        );
        let own = ((near.len() as f64 * met.max(sent)).ceil() as usize).max(2);
        let others = near.len().saturating_sub(own);
        (
            self.hosts.first_by_rank(near, own),
            1.0 + others as f64 / own as f64,
        )
    }

    /// Guards against piling up: no more is out than lately came back within a part of the service target. It
    /// could harm where answers return after a gap. An op type that waits everywhere is counted by itself.
    pub(super) fn crowded(&self, op: usize) -> bool {
        let base = 2.0 + 2.0 * self.hosts.ready_count() as f64 / self.fig.fleet;
        let wait = self.detour(1, op);
        let alike = |o: &usize| {
            if wait > 0.0 {
                *o == op
            } else {
                self.detour(1, *o) == 0.0
            }
        };
        let (mut out, mut returns) = (0, 0.0);
        for o in (0..self.ops.len()).filter(alike) {
            out += self.ops[o].in_flight;
            returns += self.ops[o].acks * self.ops[o].latency_objective / SECOND as f64;
        }
        f64::from(out) >= base + 1.1 * CROWDED_PART * returns
    }

    /// A fresh host gets no more in flight than its answers have earned, and over each told span a router's
    /// own part of what the fleet may send it, drawn where under one. What is sent counts, for hosts that err
    /// fast. One that has failed gets one command at a time.
    fn may_take(&self, h: usize, of_own: f64) -> bool {
        let (host, age) = (self.hosts.endpoint(h).host.0, self.hosts.age(h));
        if age < self.fig.warm_within + SECOND {
            let (slot, begun) = (age / self.fig.fall_span, self.now - age);
            let sent = self.hosts.sent_in_slot(h, slot);
            // The first span is met by no other before it.
            let part = self.fig.cold_part * self.warmth(age) * self.pace * of_own
                / (1 + slot.min(1)) as f64;
            let drawn = unit(
                u64::from(host) << 32 ^ u64::from(self.own_index) << 12 ^ (begun + slot) as u64,
            );
            if f64::from(sent + 1) > part + drawn
                || self.hosts.in_flight(h) > 1 + self.hosts.answers(h)
            {
                return false;
            }
        }
        self.hosts.consecutive_failures(h) == 0 || self.hosts.in_flight(h) == 0
    }

    pub(super) fn dispatch(&mut self, cmd: CommandId, host: usize, out: Out) {
        let (build, sent) = (self.hosts.build(host), self.now);
        let (on_trial, slot) = (
            self.on_trial(build),
            self.hosts.age(host) / self.fig.fall_span,
        );
        let Some(c) = self.cmds.get_mut(&cmd) else {
            return;
        };
        if on_trial {
            let slot = c.operation * usize::from(self.fig.by_op);
            self.exposed.push(sent, (slot, build));
        }
        c.deliveries.push(Delivery::new(host, build, sent));
        self.pins.entry(c.key).or_default().claim(build);
        self.hosts.add_in_flight(host);
        self.ops[c.operation].in_flight += 1;
        self.hosts.count_sent(host, slot);
        self.served[c.tenant] += 1.0;
        out.deliver(cmd, self.hosts.endpoint(host).host, None);
    }
}
