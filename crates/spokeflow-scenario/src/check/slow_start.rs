//! Rule 4: no cold host is sent more than it can bear.

use super::{host_name, Checker};
use crate::Micros;

impl Checker {
    /// A cold host is down since it was sent too much.
    pub(super) fn on_overrun(&mut self, at: Micros, host: u32) {
        let what = format!("cold host {host} was sent more than it can bear");
        self.report(4, at, what, vec![host_name(host)]);
    }
}
