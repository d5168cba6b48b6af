//! The host list and the subscription to it.

use super::{Out, Router, SECOND};
use crate::{Endpoint, ListKind, Micros, Rng};

/// Time after which a subscription without a list is repeated; a list usually arrives within a
/// fraction of it.
const RESUBSCRIBE_AFTER: Micros = 5 * SECOND;
/// Bounds of the back-off after a failure: short enough to miss few changes, long enough not to
/// overload a failing server.
const MIN_BACKOFF: Micros = SECOND / 2;
const MAX_BACKOFF: Micros = 4 * SECOND;

/// The retry state of the subscription to the host list.
#[derive(Debug, Default)]
pub(super) struct ListSubscription {
    /// When to subscribe again; `None` while the list arrives without a new subscription.
    subscribe_at: Option<Micros>,
    /// The back-off after the last failure; 0 after a success.
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

    /// Whether to subscribe now. If so, schedules the next attempt.
    pub(super) fn take_due(&mut self, now: Micros) -> bool {
        let due = self.subscribe_at.is_some_and(|at| now >= at);
        if due {
            self.subscribe_at = Some(now + RESUBSCRIBE_AFTER);
        }
        due
    }
}

impl Router {
    /// Handles a host list, or a part of one.
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

    /// Handles a failed request for the host list, or the end of a subscription.
    pub fn on_list_failure(&mut self) {
        // The event does not say whether a subscription still exists, so the router always
        // subscribes again.
        self.subscription.failed(self.now, &mut self.rng);
    }
}
