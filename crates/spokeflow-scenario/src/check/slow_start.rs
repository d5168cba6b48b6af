//! Rule 4: no cold host is sent more than it can process.

use super::{host_name, Checker};
use crate::Micros;

impl Checker {
    /// Reports a cold host that crashed because it was sent too much.
    pub(super) fn on_overload(&mut self, at: Micros, host: u32) {
        let what = format!("cold host {host} crashed because it was sent more than it can process");
        self.report(4, at, what, vec![host_name(host)]);
    }
}
