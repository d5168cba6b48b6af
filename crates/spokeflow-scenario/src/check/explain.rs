//! Puts the messages that concern a break beside it.

use super::{attempt_name, host_name, router_name, Broken, Trace};
use crate::observation::Observation;
use crate::{Micros, SECOND};

/// Breaks that are explained; the first ones tell the cause.
const EXPLAINED: usize = 20;
/// How far from a break a message may be to be shown beside it.
const AROUND: Micros = 12 * SECOND;
/// Messages shown beside one break.
const MESSAGES: usize = 24;

/// Replaces the names in the first breaks by the messages that concern them.
pub fn explain(broken: &mut [Broken], trace: &Trace) {
    for found in broken.iter_mut().take(EXPLAINED) {
        let concerned = std::mem::take(&mut found.messages);
        found.messages = messages(trace, &concerned, found.at);
    }
}

/// Messages around `at` that concern an attempt, host or router named in `concerned`.
fn messages(trace: &Trace, concerned: &[String], at: Micros) -> Vec<String> {
    trace
        .iter()
        .filter(|(time, _)| (at - time).abs() < AROUND)
        .filter(|(_, observation)| concerns(observation, concerned))
        .take(MESSAGES)
        .map(|(time, observation)| format!("{:.3} {observation:?}", *time as f64 / SECOND as f64))
        .collect()
}

fn concerns(observation: &Observation, concerned: &[String]) -> bool {
    match observation {
        Observation::Taken { attempt: tried, .. }
        | Observation::Answered { attempt: tried, .. }
        | Observation::Left { attempt: tried }
        | Observation::Delivered { attempt: tried, .. }
        | Observation::Replied { attempt: tried, .. }
        | Observation::Ran { attempt: tried, .. } => concerned.contains(&attempt_name(*tried)),
        Observation::Listed { lines, .. } => lines
            .iter()
            .any(|(host, ..)| concerned.contains(&host_name(*host))),
        Observation::Fell { host } => concerned.contains(&host_name(*host)),
        Observation::News { to, .. } => concerned.contains(&router_name(to.router)),
        _ => false,
    }
}
