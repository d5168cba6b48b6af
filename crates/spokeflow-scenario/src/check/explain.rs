//! Adds the related messages to violations.

use super::{attempt_name, host_name, router_name, RuleViolation, Trace};
use crate::observation::Observation;
use crate::{Micros, SECOND};

/// Number of violations that are explained. The first ones are enough to find the cause.
const MAX_EXPLAINED: usize = 20;
/// Maximum time between a violation and a message shown with it.
const MAX_DISTANCE: Micros = 12 * SECOND;
/// Maximum number of messages shown with one violation.
const MAX_MESSAGES: usize = 24;

/// Replaces the names in the first violations by the messages about the named attempts, hosts and routers.
pub fn explain(violations: &mut [RuleViolation], trace: &Trace) {
    for violation in violations.iter_mut().take(MAX_EXPLAINED) {
        let concerned = std::mem::take(&mut violation.messages);
        violation.messages = messages_about(trace, &concerned, violation.at);
    }
}

/// Returns the messages around `at` about an attempt, host or router named in `concerned`.
fn messages_about(trace: &Trace, concerned: &[String], at: Micros) -> Vec<String> {
    trace
        .iter()
        .filter(|(time, _)| (at - time).abs() < MAX_DISTANCE)
        .filter(|(_, observation)| is_about(observation, concerned))
        .take(MAX_MESSAGES)
        .map(|(time, observation)| format!("{:.3} {observation:?}", *time as f64 / SECOND as f64))
        .collect()
}

/// Returns whether an observation is about an attempt, host or router named in `concerned`.
fn is_about(observation: &Observation, concerned: &[String]) -> bool {
    match observation {
        Observation::Taken { attempt, .. }
        | Observation::Answered { attempt, .. }
        | Observation::Left { attempt }
        | Observation::Delivered { attempt, .. }
        | Observation::Replied { attempt, .. }
        | Observation::Ran { attempt, .. } => concerned.contains(&attempt_name(*attempt)),
        Observation::Listed { lines, .. } => lines
            .iter()
            .any(|(host, ..)| concerned.contains(&host_name(*host))),
        Observation::Fell { host } => concerned.contains(&host_name(*host)),
        Observation::News { to, .. } => concerned.contains(&router_name(to.router)),
        _ => false,
    }
}
