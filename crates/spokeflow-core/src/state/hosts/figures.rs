//! Reading and changing the figures of one host.

use super::{Hosts, QuietHost, LONG_AGO};
use crate::{BuildId, Endpoint, Micros};

impl Hosts {
    /// What the list last said.
    pub fn endpoint(&self, host: usize) -> &Endpoint {
        &self.records[host].endpoint
    }

    /// The build that the list last named.
    pub fn build(&self, host: usize) -> BuildId {
        self.records[host].build
    }

    /// The host's rank, from 0 to 1, among all hosts in the order of their hash.
    pub fn rank(&self, host: usize) -> f64 {
        self.ranks[host]
    }

    /// Whether the list says that the host is ready.
    pub fn is_ready(&self, host: usize) -> bool {
        self.records[host].is_ready()
    }

    /// Time since the process started, a very long one where the list does not say.
    pub fn age(&self, host: usize) -> Micros {
        self.endpoint(host)
            .started_at
            .map_or(LONG_AGO, |at| (self.now - at).max(0))
    }

    /// Open deliveries.
    pub fn in_flight(&self, host: usize) -> u32 {
        self.records[host].in_flight
    }

    /// Acks of the present process; errors take them away again.
    pub fn answers(&self, host: usize) -> u32 {
        self.records[host].answers
    }

    /// How often the host has failed in a row.
    pub fn consecutive_failures(&self, host: usize) -> u32 {
        self.records[host].consecutive_failures
    }

    /// Until when the host gets no delivery where others can take it.
    pub fn ejected_until(&self, host: usize) -> Micros {
        self.records[host].ejected_until
    }

    /// Since when nothing has come back while something is out.
    pub fn quiet_since(&self, host: usize) -> Micros {
        self.records[host].quiet_since
    }

    /// The host's part of the evidence against its build.
    pub fn evidence(&self, host: usize) -> f64 {
        self.records[host].evidence
    }

    /// Latency over the baseline, as a logarithm.
    pub fn slowdown(&self, host: usize) -> f64 {
        self.records[host].slowdown
    }

    /// How busy the host last said its cores are, 0 to 1; NaN before the first report.
    pub fn utilization(&self, host: usize) -> f64 {
        self.records[host].utilization
    }

    /// When the last load report came.
    pub fn utilization_at(&self, host: usize) -> Micros {
        self.records[host].utilization_at
    }

    /// When the host last answered over a connection that has not been refused since.
    pub fn connected_at(&self, host: usize) -> Micros {
        self.records[host].connected_at
    }

    /// Deliveries sent in a numbered interval of the process's age; only the last one is
    /// remembered.
    pub fn sent_in_slot(&self, host: usize, slot: Micros) -> u32 {
        let record = &self.records[host];
        if record.slot == slot {
            record.sent_in_slot
        } else {
            0
        }
    }

    /// Counts a delivery in an interval of the process's age.
    pub fn count_sent(&mut self, host: usize, slot: Micros) {
        let before = self.sent_in_slot(host, slot);
        let record = &mut self.records[host];
        record.slot = slot;
        record.sent_in_slot = before + 1;
    }

    /// A delivery has gone out to the host.
    pub fn add_in_flight(&mut self, host: usize) {
        let record = &mut self.records[host];
        if record.in_flight == 0 {
            record.quiet_since = self.now;
            self.quiet.insert(QuietHost {
                since: self.now,
                host,
            });
        }
        record.in_flight += 1;
    }

    /// A delivery at the host has ended.
    pub fn remove_in_flight(&mut self, host: usize) {
        let record = &mut self.records[host];
        record.in_flight = record.in_flight.saturating_sub(1);
        if record.in_flight == 0 {
            self.quiet.remove(&QuietHost {
                since: record.quiet_since,
                host,
            });
        }
    }

    /// Something has come back from the host.
    pub fn response_received(&mut self, host: usize) {
        let record = &mut self.records[host];
        let waited = self.quiet.remove(&QuietHost {
            since: record.quiet_since,
            host,
        });
        record.quiet_since = self.now;
        if waited {
            self.quiet.insert(QuietHost {
                since: self.now,
                host,
            });
        }
    }

    /// Sets how many answers count for the present process.
    pub fn set_answers(&mut self, host: usize, answers: u32) {
        let before = self.records[host].is_observed();
        self.records[host].answers = answers;
        self.note_observed(host, before);
    }

    /// Sets the host's part of the evidence against its build, 0 or above.
    pub fn set_evidence(&mut self, host: usize, evidence: f64) {
        let before = self.records[host].is_observed();
        self.records[host].evidence = evidence;
        self.note_observed(host, before);
        if evidence > 0.0 {
            self.with_evidence.insert(host);
        } else {
            self.with_evidence.remove(&host);
        }
    }

    /// Sets all hosts' parts of the evidence to 0.
    pub fn clear_evidence(&mut self) {
        while let Some(host) = self.with_evidence.pop_first() {
            let before = self.records[host].is_observed();
            self.records[host].evidence = 0.0;
            self.note_observed(host, before);
        }
    }

    fn note_observed(&mut self, host: usize, before: bool) {
        let record = &self.records[host];
        let after = record.is_observed();
        if before != after && record.is_ready() {
            self.ready
                .entry(record.build)
                .or_default()
                .set_observed(before, after);
        }
    }

    /// Sets how often the host has failed in a row, and until when it is ejected.
    pub fn set_suspicion(&mut self, host: usize, failures: u32, ejected_until: Micros) {
        let record = &mut self.records[host];
        record.consecutive_failures = failures;
        record.ejected_until = ejected_until;
        self.note_suspect(host);
    }

    /// Sets the latency over the baseline, as a logarithm.
    pub fn set_slowdown(&mut self, host: usize, slowdown: f64) {
        self.records[host].slowdown = slowdown;
    }

    /// The host has reported how busy its cores are, 0 to 1.
    pub fn set_utilization(&mut self, host: usize, utilization: f64) {
        let record = &mut self.records[host];
        record.utilization = utilization;
        record.utilization_at = self.now;
    }

    /// Sets when the host last answered over a connection; [`Micros::MIN`] where it refused one.
    pub fn set_connected_at(&mut self, host: usize, at: Micros) {
        self.records[host].connected_at = at;
    }
}
