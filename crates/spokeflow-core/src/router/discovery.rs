//! The host list and the subscription to it.

use super::{Out, Router, SECOND};
use crate::{Endpoint, ListKind, Micros, Rng};

/// How long after asking for the list the router asks again; a list usually comes within a fraction
/// of it.
const RESUBSCRIBE_AFTER: Micros = 5 * SECOND;
/// Bounds of the pause after a failure: short enough to miss little, long enough to spare a server
/// in trouble.
const MIN_BACKOFF: Micros = SECOND / 2;
const MAX_BACKOFF: Micros = 4 * SECOND;

/// When to ask for the host list again.
#[derive(Debug, Default)]
pub(super) struct ListSubscription {
    /// `None` while the list comes by itself.
    subscribe_at: Option<Micros>,
    backoff: Micros,
}

impl ListSubscription {
    pub(super) fn new(required: bool, now: Micros) -> Self {
        ListSubscription {
            subscribe_at: required.then_some(now + RESUBSCRIBE_AFTER),
            backoff: 0,
        }
    }

    fn succeeded(&mut self) {
        self.subscribe_at = None;
        self.backoff = 0;
    }

    fn failed(&mut self, now: Micros, rng: &mut Rng) {
        self.backoff = (self.backoff * 2).clamp(MIN_BACKOFF, MAX_BACKOFF);
        let backoff = self.backoff as usize;
        let jitter = rng.below(backoff / 2);
        self.subscribe_at = Some(now + (backoff + jitter) as Micros);
    }

    /// Whether to subscribe now; counts as done where it is.
    pub(super) fn take_due(&mut self, now: Micros) -> bool {
        let due = self.subscribe_at.is_some_and(|at| now >= at);
        if due {
            self.subscribe_at = Some(now + RESUBSCRIBE_AFTER);
        }
        due
    }
}

impl Router {
    /// The host list, or a part of it, has come.
    pub fn on_endpoints(&mut self, kind: ListKind, endpoints: &[Endpoint], out: Out) {
        if kind != ListKind::Cached {
            self.subscription.succeeded();
        }
        if kind != ListKind::Changes {
            self.hosts.retain_listed(endpoints);
        }
        for endpoint in endpoints {
            let host = *self
                .host_index
                .entry(endpoint.host)
                .or_insert_with(|| self.hosts.add(endpoint));
            self.hosts.update(host, endpoint);
        }
        self.route_waiting(out);
    }

    /// The host list could not be had, or a subscription has ended.
    pub fn on_list_failure(&mut self) {
        // The notice does not say whether a subscription still exists: asking again is the only
        // safe reading.
        self.subscription.failed(self.now, &mut self.rng);
    }
}
