//! Admission of commands, and the queues of commands that wait for a host. To *shed* a command is
//! to end it by `Router::abort` because the hosts or the exposure cap have no room for it.

use std::collections::{BTreeSet, VecDeque};

use super::placement::CONCURRENCY_OBJECTIVE_FRACTION;
use super::timers::TICK;
use super::{Out, Router, SECOND};
use crate::state::Command;
use crate::{hash_to_unit_interval, CommandId, Key, Micros, OpType, TenantId};

/// Part of the latency objective above which the median latency makes a router shed commands.
const SHED_OBJECTIVE_FRACTION: f64 = 0.5;
/// Longest wait for a host, as part of the latency objective: the rest is needed to execute the
/// command.
const WAIT_OBJECTIVE_FRACTION: f64 = 0.3;
/// Time before its deadline at which a command stops waiting.
const WAIT_MARGIN: Micros = 2 * TICK;
/// Concurrency below which traffic is too low for the concurrency limit to bound the queues.
const LOW_TRAFFIC_CONCURRENCY: f64 = 2.0;
/// Set in the hash input of a command without a key, so that it differs from every key.
const KEYLESS_BIT: u64 = 1 << 40;

/// The commands that wait for a host, by tenant, and each tenant's recent deliveries.
#[derive(Debug)]
pub(super) struct WaitingQueues {
    by_tenant: Vec<VecDeque<CommandId>>,
    /// Deliveries by tenant, decaying with a time constant of one second.
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

    /// Puts back the rest of a taken queue, behind the commands queued in the meantime.
    fn put_back(&mut self, tenant: usize, mut commands: VecDeque<CommandId>) {
        self.by_tenant[tenant].append(&mut commands);
    }

    /// Removes and returns the commands for which `is_due` holds, by tenant and then in queue
    /// order.
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

    /// Returns the tenants with waiting commands, ordered by the part of their quota that was
    /// served, lowest first.
    fn least_served_first(&self, quotas: &[f64]) -> Vec<usize> {
        let served = |tenant: &usize| self.served[*tenant] / quotas[*tenant];
        let mut order: Vec<usize> = (0..self.by_tenant.len())
            .filter(|tenant| !self.by_tenant[*tenant].is_empty())
            .collect();
        order.sort_by(|left, right| served(left).total_cmp(&served(right)));
        order
    }

    /// Counts a delivery of one of a tenant's commands.
    pub(super) fn count_served(&mut self, tenant: usize) {
        self.served[tenant] += 1.0;
    }

    pub(super) fn decay(&mut self, decay: f64) {
        self.served.iter_mut().for_each(|served| *served *= decay);
    }
}

impl Router {
    /// Handles a command from a client that waits `time_left` for the answer.
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
        let index = self.config.exposure_index(operation);
        self.exposure.count_received(self.now, index);
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

    /// Returns how overloaded an operation is, as a logarithm: commands are admitted with
    /// probability `exp(-overload)`; values up to 0 admit all.
    ///
    /// Guards against queues so long that most commands are served too late where traffic is too
    /// low for the concurrency limit to bound them: shedding brings the median latency back to half
    /// the objective.
    fn overload(&self, operation: usize) -> f64 {
        // The deliveries in flight at a latency equal to the objective; see `at_concurrency_limit`.
        let acks_within_objective: f64 = self
            .operations
            .iter()
            .map(|operation| operation.acks * operation.latency_objective / SECOND as f64)
            .sum();
        let low_traffic =
            CONCURRENCY_OBJECTIVE_FRACTION * acks_within_objective < LOW_TRAFFIC_CONCURRENCY;
        if low_traffic && self.slowdowns.operations.excess(operation) == 0.0 {
            self.operations[operation].overload - SHED_OBJECTIVE_FRACTION.ln()
        } else {
            0.0
        }
    }

    /// Sends an unanswered command to a host, queues it, or sheds it. Returns whether a delivery
    /// was sent.
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
        // Under forward-only rules, a command whose key is bound to a build at its exposure cap is
        // refused at once: its client can retry when the cap allows it.
        self.wait_or_shed(id, at_cap && rule.newest_build.is_some(), out);
        false
    }

    /// Queues a command without an open delivery, or sheds it where `refuse` is set or no time is
    /// left to wait.
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

    /// Routes waiting commands, those of the tenant with the smallest served part of its quota
    /// first, so that only tenants far above their quota starve. Stops at the concurrency limit, so
    /// that the cost of one event does not grow with the number of waiting commands.
    pub(super) fn route_waiting(&mut self, out: Out) {
        for tenant in self.waiting.least_served_first(&self.config.tenant_quotas) {
            let mut queue = self.waiting.take(tenant);
            let mut next = 0;
            while let Some(&id) = queue.get(next) {
                let blocked = self
                    .commands
                    .get(&id)
                    .map(|command| command.operation)
                    .filter(|&operation| self.at_concurrency_limit(operation));
                match blocked {
                    // An operation that is slow at every host must not block the commands queued
                    // behind it.
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

    /// Makes a last attempt to route the commands that have waited as long as allowed, and sheds
    /// them where the hosts are still full. Drops answered commands from the queues.
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

    /// Returns the time at which a command stops waiting for a host.
    fn waits_until(&self, command: &Command) -> Micros {
        let objective = self.operations[command.operation].latency_objective;
        waits_until(command, objective)
    }
}

fn waits_until(command: &Command, latency_objective: f64) -> Micros {
    let longest = (latency_objective * WAIT_OBJECTIVE_FRACTION) as Micros;
    (command.received_at + longest).min(command.deadline - WAIT_MARGIN)
}
