//! Intake of commands, and the queues of those that wait for a host.

use std::collections::{BTreeSet, VecDeque};

use super::placement::CONCURRENCY_OBJECTIVE_FRACTION;
use super::timers::TICK;
use super::{Out, Router, SECOND};
use crate::state::Command;
use crate::{hash_to_unit_interval, CommandId, Key, Micros, OpType, TenantId};

/// Part of the latency objective above which the median latency makes a router shed commands.
const SHED_OBJECTIVE_FRACTION: f64 = 0.5;
/// Part of the latency objective that a command waits for a host: the rest is needed to execute it.
const WAIT_OBJECTIVE_FRACTION: f64 = 0.3;
/// Time left before the deadline at which a command no longer waits.
const WAIT_MARGIN: Micros = 2 * TICK;
/// Deliveries in flight below which traffic is too thin for the concurrency limit to bound the
/// queues.
const THIN_TRAFFIC: f64 = 2.0;
/// Marks the hash input of a command without a key, so that it equals no key's.
const KEYLESS_BIT: u64 = 1 << 40;

/// The commands that wait for a host, by tenant, and what each tenant was served of late.
#[derive(Debug)]
pub(super) struct WaitingQueues {
    by_tenant: Vec<VecDeque<CommandId>>,
    /// Deliveries of about the last second, fading.
    served: Vec<f64>,
}

impl WaitingQueues {
    pub(super) fn new(tenants: usize) -> Self {
        WaitingQueues {
            by_tenant: vec![VecDeque::new(); tenants],
            served: vec![0.0; tenants],
        }
    }

    fn push(&mut self, tenant: usize, command: CommandId) {
        self.by_tenant[tenant].push_back(command);
    }

    fn take(&mut self, tenant: usize) -> VecDeque<CommandId> {
        std::mem::take(&mut self.by_tenant[tenant])
    }

    /// Puts back what is left of a taken queue, behind what has come meanwhile.
    fn put_back(&mut self, tenant: usize, mut commands: VecDeque<CommandId>) {
        self.by_tenant[tenant].append(&mut commands);
    }

    /// Removes the commands for which `is_due` holds, in their order.
    fn remove(&mut self, is_due: impl Fn(&CommandId) -> bool) -> Vec<CommandId> {
        let due: Vec<CommandId> = self
            .by_tenant
            .iter()
            .flatten()
            .copied()
            .filter(is_due)
            .collect();
        let removed: BTreeSet<CommandId> = due.iter().copied().collect();
        for queue in &mut self.by_tenant {
            queue.retain(|command| !removed.contains(command));
        }
        due
    }

    /// The tenants with waiting commands, the one that was served least of its quota first.
    fn by_service(&self, quotas: &[f64]) -> Vec<usize> {
        let served = |tenant: &usize| self.served[*tenant] / quotas[*tenant];
        let mut order: Vec<usize> = (0..self.by_tenant.len())
            .filter(|tenant| !self.by_tenant[*tenant].is_empty())
            .collect();
        order.sort_by(|left, right| served(left).total_cmp(&served(right)));
        order
    }

    /// A tenant's command has been delivered.
    pub(super) fn count_served(&mut self, tenant: usize) {
        self.served[tenant] += 1.0;
    }

    pub(super) fn fade(&mut self, fade: f64) {
        self.served.iter_mut().for_each(|served| *served *= fade);
    }
}

impl Router {
    /// A client has sent a command, which it waits `time_left` for.
    pub fn on_command(
        &mut self,
        id: CommandId,
        operation: OpType,
        tenant: TenantId,
        key: Key,
        time_left: Micros,
        out: Out,
    ) {
        let operation = usize::from(operation.0);
        if operation >= self.operations.len() {
            return out.nack(id, None);
        }
        self.load.flow.received += 1.0;
        let slot = self.config.exposure_slot(operation);
        self.exposure.count_received(self.now, slot);
        self.retry_budget.earn();
        let hash_input = if key.0 == 0 {
            u64::from(id.0) | KEYLESS_BIT
        } else {
            key.0
        };
        let tenant = (tenant.0 as usize).min(self.config.tenant_quotas.len() - 1);
        let command = Command {
            operation,
            key,
            tenant,
            key_position: hash_to_unit_interval(hash_input),
            received_at: self.now,
            deadline: self.now + time_left,
            answered: false,
            deliveries: Vec::new(),
        };
        let waits_until = self.waits_until(&command);
        self.commands.insert(id, command);
        if self.rng.fraction() > (-self.overload(operation)).exp() {
            return self.abort(id, out);
        }
        if self.now >= waits_until {
            self.route(id, out);
        } else {
            self.waiting.push(tenant, id);
            self.route_waiting(out);
        }
    }

    /// Guards against queues so long that most is served too late, where traffic is too thin for a
    /// limit: only what brings the median latency back to half the objective is admitted.
    fn overload(&self, operation: usize) -> f64 {
        let returns: f64 = self
            .operations
            .iter()
            .map(|operation| operation.acks * operation.latency_objective / SECOND as f64)
            .sum();
        let thin = CONCURRENCY_OBJECTIVE_FRACTION * returns < THIN_TRAFFIC;
        if thin && self.slowdowns.operations.excess(operation) == 0.0 {
            self.operations[operation].overload - SHED_OBJECTIVE_FRACTION.ln()
        } else {
            0.0
        }
    }

    /// Sends a command that is not answered to a host, or lets it wait, or gives it up; says
    /// whether a delivery went out.
    pub(super) fn route(&mut self, id: CommandId, out: Out) -> bool {
        let Some(command) = self.commands.get(&id).filter(|command| !command.answered) else {
            return false;
        };
        let key = command.key;
        let operation = command.operation;
        let rule = self.key_rule(key);
        let mut at_cap = false;
        for build in self.choose_builds(command, rule.floor).builds() {
            if !self.has_exposure(build, operation) {
                at_cap = true;
            } else if let Some(host) = self.choose_host(id, build) {
                self.assign_key(key, build);
                self.dispatch(id, host, out);
                return true;
            }
        }
        // A known key above the cap under forward-only rules is refused at once: its client comes
        // back when the cap allows it.
        self.wait_or_shed(id, at_cap && rule.newest_build.is_some(), out);
        false
    }

    /// Lets a command without an open delivery wait where it has the time for it and `refuse` does
    /// not forbid it.
    fn wait_or_shed(&mut self, id: CommandId, refuse: bool, out: Out) {
        let Some(command) = self
            .commands
            .get(&id)
            .filter(|command| !command.has_open_delivery())
        else {
            return;
        };
        if refuse || self.now >= self.waits_until(command) {
            self.load.flow.shed += 1.0;
            self.abort(id, out);
        } else {
            self.waiting.push(command.tenant, id);
        }
    }

    /// Routes waiting commands by what their tenant was served of its quota: those of one far
    /// beyond it wait in vain. Ends where the hosts are full, so that many which wait cost no more
    /// with each that comes or goes.
    pub(super) fn route_waiting(&mut self, out: Out) {
        for tenant in self.waiting.by_service(&self.config.tenant_quotas) {
            let mut queue = self.waiting.take(tenant);
            let mut next = 0;
            while let Some(&id) = queue.get(next) {
                let blocked = self
                    .commands
                    .get(&id)
                    .map(|command| command.operation)
                    .filter(|&operation| self.at_concurrency_limit(operation));
                match blocked {
                    // An operation that waits everywhere keeps no command behind it from a host.
                    Some(operation) if self.slowdowns.operations.excess(operation) > 0.0 => {
                        next += 1;
                    }
                    Some(_) => break,
                    None => {
                        queue.remove(next);
                        self.route(id, out);
                    }
                }
            }
            self.waiting.put_back(tenant, queue);
        }
    }

    /// Gives up on the commands that have waited in vain while the hosts were full.
    pub(super) fn expire_waiting(&mut self, out: Out) {
        let commands = &self.commands;
        let now = self.now;
        let operations = &self.operations;
        let due = self.waiting.remove(|id| {
            commands
                .get(id)
                .filter(|command| !command.answered)
                .is_none_or(|command| {
                    now >= waits_until(command, operations[command.operation].latency_objective)
                })
        });
        for id in due {
            self.route(id, out);
        }
    }

    fn waits_until(&self, command: &Command) -> Micros {
        let objective = self.operations[command.operation].latency_objective;
        waits_until(command, objective)
    }
}

fn waits_until(command: &Command, latency_objective: f64) -> Micros {
    let longest = (latency_objective * WAIT_OBJECTIVE_FRACTION) as Micros;
    (command.received_at + longest).min(command.deadline - WAIT_MARGIN)
}
