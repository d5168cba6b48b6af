//! Rule 3: no new delivery to a draining or gone host after the drain grace.

use super::{attempt_name, host_name, Checker};
use crate::observation::Process;
use crate::{Micros, SECOND};

impl Checker {
    pub(super) fn check_draining(&mut self, at: Micros, from: Process, host: u32, attempt: u64) {
        let grace = self.config.drain_grace + self.config.slack;
        let router = self.router(from);
        // A host that was on no list since the router got its first complete list counts as gone.
        let closed_since = match router.hosts.get(&host) {
            Some(known) => known.closed_since,
            None => router.first_full_list,
        };
        let Some(since) = closed_since.filter(|since| at - since > grace) else {
            return;
        };
        let late = (at - since) as f64 / SECOND as f64;
        let what =
            format!("attempt {attempt} was delivered to host {host} {late:.2} s after its router learned of the drain");
        let concerned = vec![attempt_name(attempt), host_name(host)];
        self.report(3, at, what, concerned);
    }
}
