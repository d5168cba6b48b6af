//! Access to the statistics of one host.

use super::{Hosts, QuietHost, LONG_AGO};
use crate::{BuildId, Endpoint, Micros};

impl Hosts {
    /// The host's last entry in the host list.
    pub fn endpoint(&self, host: usize) -> &Endpoint {
        &self.records[host].endpoint
    }

    /// The build that the host list last named for the host.
    pub fn build(&self, host: usize) -> BuildId {
        self.records[host].build
    }

    /// The host's rank in the order of the hosts by hash, from 0 to 1.
    pub fn rank(&self, host: usize) -> f64 {
        self.ranks[host]
    }

    /// Whether the host is listed as ready.
    pub fn is_ready(&self, host: usize) -> bool {
        self.records[host].is_ready()
    }

    /// Time since the process started; `LONG_AGO` if the list does not say when.
    pub fn age(&self, host: usize) -> Micros {
        self.endpoint(host)
            .started_at
            .map_or(LONG_AGO, |at| (self.now - at).max(0))
    }

    /// Number of open deliveries at the host.
    pub fn in_flight(&self, host: usize) -> u32 {
        self.records[host].in_flight
    }

    /// Acks of the host's present process, reduced by its errors and resets.
    pub fn acks(&self, host: usize) -> u32 {
        self.records[host].acks
    }

    /// Number of failures of the host since its last success.
    pub fn consecutive_failures(&self, host: usize) -> u32 {
        self.records[host].consecutive_failures
    }

    /// End of the host's ejection: before it, the host gets no delivery that another host can take.
    pub fn ejected_until(&self, host: usize) -> Micros {
        self.records[host].ejected_until
    }

    /// Start of the time in which the host has been quiet: the last call of
    /// [`Hosts::restart_quiet_time`], or when the first of its open deliveries was sent if that is
    /// later.
    pub fn quiet_since(&self, host: usize) -> Micros {
        self.records[host].quiet_since
    }

    /// The evidence against its build that the host has contributed.
    pub fn evidence(&self, host: usize) -> f64 {
        self.records[host].evidence
    }

    /// Smoothed logarithm of the ratio of the host's latency to the baseline.
    pub fn slowdown(&self, host: usize) -> f64 {
        self.records[host].slowdown
    }

    /// Utilization of the host's cores by its last load report, 0 to 1; NaN before the first report
    /// of the process.
    pub fn utilization(&self, host: usize) -> f64 {
        self.records[host].utilization
    }

    /// When the last load report arrived.
    pub fn utilization_at(&self, host: usize) -> Micros {
        self.records[host].utilization_at
    }

    /// When the host last responded over a connection; [`Micros::MIN`] if it has refused one since,
    /// or has not responded yet.
    pub fn connected_at(&self, host: usize) -> Micros {
        self.records[host].connected_at
    }

    /// Number of deliveries sent to the host in an interval of its process's age, by the
    /// interval's number. Only the interval counted last is remembered; any other returns 0.
    pub fn sent_in_interval(&self, host: usize, interval: Micros) -> u32 {
        let record = &self.records[host];
        if record.interval == interval {
            record.sent_in_interval
        } else {
            0
        }
    }

    /// Counts a delivery to the host in an interval.
    pub fn count_sent(&mut self, host: usize, interval: Micros) {
        let before = self.sent_in_interval(host, interval);
        let record = &mut self.records[host];
        record.interval = interval;
        record.sent_in_interval = before + 1;
    }

    /// Counts a delivery that has been sent to the host as open.
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

    /// Counts an open delivery at the host as ended.
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

    /// Restarts the time for which the host has been quiet.
    pub fn restart_quiet_time(&mut self, host: usize) {
        let record = &mut self.records[host];
        let has_open_delivery = self.quiet.remove(&QuietHost {
            since: record.quiet_since,
            host,
        });
        record.quiet_since = self.now;
        if has_open_delivery {
            self.quiet.insert(QuietHost {
                since: self.now,
                host,
            });
        }
    }

    /// Sets how many acks count for the host's present process.
    pub fn set_acks(&mut self, host: usize, acks: u32) {
        let was_observed = self.records[host].is_observed();
        self.records[host].acks = acks;
        self.update_observed(host, was_observed);
    }

    /// Sets the evidence against its build that the host has contributed; 0 or above.
    pub fn set_evidence(&mut self, host: usize, evidence: f64) {
        let was_observed = self.records[host].is_observed();
        self.records[host].evidence = evidence;
        self.update_observed(host, was_observed);
        if evidence > 0.0 {
            self.with_evidence.insert(host);
        } else {
            self.with_evidence.remove(&host);
        }
    }

    /// Sets the evidence of all hosts to 0.
    pub fn clear_evidence(&mut self) {
        while let Some(host) = self.with_evidence.pop_first() {
            let was_observed = self.records[host].is_observed();
            self.records[host].evidence = 0.0;
            self.update_observed(host, was_observed);
        }
    }

    /// Updates the number of observed hosts of the host's build after the host has changed.
    fn update_observed(&mut self, host: usize, was_observed: bool) {
        let record = &self.records[host];
        let is_observed = record.is_observed();
        if was_observed != is_observed && record.is_ready() {
            self.ready
                .entry(record.build)
                .or_default()
                .set_observed(was_observed, is_observed);
        }
    }

    /// Sets the number of failures since the last success and the end of the ejection.
    pub fn set_suspicion(&mut self, host: usize, failures: u32, ejected_until: Micros) {
        let record = &mut self.records[host];
        record.consecutive_failures = failures;
        record.ejected_until = ejected_until;
        self.add_if_suspect(host);
    }

    /// Sets the smoothed logarithm of the ratio of the host's latency to the baseline.
    pub fn set_slowdown(&mut self, host: usize, slowdown: f64) {
        self.records[host].slowdown = slowdown;
    }

    /// Records a load report: the utilization of the host's cores, 0 to 1.
    pub fn set_utilization(&mut self, host: usize, utilization: f64) {
        let record = &mut self.records[host];
        record.utilization = utilization;
        record.utilization_at = self.now;
    }

    /// Sets when the host last responded over a connection; [`Micros::MIN`] if it refused one.
    pub fn set_connected_at(&mut self, host: usize, at: Micros) {
        self.records[host].connected_at = at;
    }
}
