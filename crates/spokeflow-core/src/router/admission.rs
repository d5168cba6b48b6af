//! Intake of commands, and the queues of those that wait for a place.

use super::placement::CROWDED_PART;
use super::retry::{SPARE_AT_MOST, SPARE_PER_COMMAND};
use super::timers::BEAT;
use super::SECOND;
use super::{Out, Router};
use crate::state::Command;
use crate::{unit, CommandId, Key, Micros, OpType, TenantId};
use std::collections::BTreeSet;

const STRAINED_PART: f64 = 0.5;
const HOLD_PART: f64 = 0.3;

impl Router {
    pub fn on_command(
        &mut self,
        cmd: CommandId,
        op: OpType,
        share: TenantId,
        key: Key,
        left: Micros,
        out: Out,
    ) {
        let op = usize::from(op.0);
        if op >= self.ops.len() {
            return out.nack(cmd, None);
        }
        self.flow[0] += 1.0;
        self.taken.push(self.now, op * usize::from(self.fig.by_op));
        self.spare = (self.spare + SPARE_PER_COMMAND).min(SPARE_AT_MOST);
        let place = unit(if key.0 == 0 {
            u64::from(cmd.0) | 1 << 40
        } else {
            key.0
        });
        let (taken, until, deliveries) = (self.now, self.now + left, Vec::new());
        let share = (share.0 as usize).min(self.fig.shares.len() - 1);
        let command = Command {
            operation: op,
            key,
            tenant: share,
            key_position: place,
            received_at: taken,
            deadline: until,
            answered: false,
            deliveries,
        };
        self.cmds.insert(cmd, command);
        if self.chance.fraction() > (-self.strain(op)).exp() {
            return self.abort(cmd, out);
        }
        if self.now >= self.waits_until(&self.cmds[&cmd]) {
            self.route(cmd, out);
        } else {
            self.held[share].push_back(cmd);
            self.place_held(out);
        }
    }

    /// Guards against queues so long that most is served too late, where traffic is too thin for a bound:
    /// only what brings the median time back to half the service target is taken.
    fn strain(&self, op: usize) -> f64 {
        let returns: f64 = self
            .ops
            .iter()
            .map(|o| o.acks * o.latency_objective / SECOND as f64)
            .sum();
        let thin = CROWDED_PART * returns < 2.0 && self.detour(1, op) == 0.0;
        [0.0, self.ops[op].overload - STRAINED_PART.ln()][usize::from(thin)]
    }

    /// Runs the chain for a command that is owed an answer; says whether a delivery went out.
    pub(super) fn route(&mut self, cmd: CommandId, out: Out) -> bool {
        let Some(c) = self.cmds.get(&cmd).filter(|c| !c.answered) else {
            return false;
        };
        let (key, op) = (c.key, c.operation);
        let pin = self
            .pins
            .get(&key)
            .filter(|_| self.fig.one_way && key.0 != 0);
        let last = pin.and_then(|p| p.newest_build());
        let floor = last
            .max(self.all_bound.filter(|_| key.0 != 0))
            .filter(|b| self.binds(*b));
        let mut full = false;
        for build in self.choose_builds(c, floor).into_iter().flatten() {
            if !self.room(build, op) {
                full = true;
            } else if let Some(host) = self.place(cmd, build) {
                if key.0 != 0 {
                    // One delivery that goes back takes no key off the trial.
                    let back = self
                        .pins
                        .get(&key)
                        .is_some_and(|p| build < p.build && self.on_trial(p.build));
                    let pin = self.pins.entry(key).or_default();
                    (pin.build, pin.used_at) = (if back { pin.build } else { build }, self.now);
                }
                self.dispatch(cmd, host, out);
                return true;
            }
        }
        let waits = |c: &&Command| c.deliveries.iter().all(|d| !d.open);
        let Some(c) = self.cmds.get(&cmd).filter(waits) else {
            return false;
        };
        // A known key at a full counter under one-way rules is refused at once: it comes when there is room.
        if full && last.is_some() || self.now >= self.waits_until(c) {
            self.flow[2] += 1.0;
            self.abort(cmd, out);
        } else {
            self.held[c.tenant].push_back(cmd);
        }
        false
    }

    /// Those that wait go by what their customer has had of its share: the ones far beyond it wait in vain.
    /// Ends where the hosts are full, so that many which wait cost no more with each that comes or goes.
    pub(super) fn place_held(&mut self, out: Out) {
        let had = |s: &usize| self.served[*s] / self.fig.shares[*s];
        let mut order: Vec<usize> = (0..self.held.len())
            .filter(|s| !self.held[*s].is_empty())
            .collect();
        order.sort_by(|a, b| had(a).total_cmp(&had(b)));
        for s in order {
            let mut waiting = std::mem::take(&mut self.held[s]);
            let mut n = 0;
            while let Some(&cmd) = waiting.get(n) {
                // An op type that waits everywhere keeps nobody behind it from a place.
                match self.cmds.get(&cmd).filter(|c| self.crowded(c.operation)) {
                    Some(c) if self.detour(1, c.operation) > 0.0 => n += 1,
                    Some(_) => break,
                    None => drop((waiting.remove(n), self.route(cmd, out))),
                }
            }
            self.held[s].append(&mut waiting);
        }
    }

    /// Gives up on those that have waited in vain while the hosts were full.
    pub(super) fn lapse(&mut self, out: Out) {
        let over = |cmd: &CommandId| {
            self.cmds
                .get(cmd)
                .filter(|c| !c.answered)
                .is_none_or(|c| self.now >= self.waits_until(c))
        };
        let due: Vec<CommandId> = self.held.iter().flatten().copied().filter(over).collect();
        let over: BTreeSet<CommandId> = due.iter().copied().collect();
        self.held
            .iter_mut()
            .for_each(|held| held.retain(|cmd| !over.contains(cmd)));
        for cmd in due {
            self.route(cmd, out);
        }
    }

    fn waits_until(&self, c: &Command) -> Micros {
        (c.received_at + (self.ops[c.operation].latency_objective * HOLD_PART) as Micros)
            .min(c.deadline - 2 * BEAT)
    }
}
