//! The state of each host, under a dense index, and statistics over all hosts that are updated as
//! hosts change. Nothing here decides; `docs/scaling.md` lists the statistics.

mod figures;
mod record;
mod selection;

use std::collections::{BTreeMap, BTreeSet};

use super::{ReadyHost, ReadyHosts, RecentStarts};
use crate::{hash_to_unit_interval, BuildId, Endpoint, EndpointState, HostId, Micros};
use record::HostRecord;

/// The age assumed for a process whose start time is not known.
const LONG_AGO: Micros = Micros::MAX / 2;

/// How long after its start a process counts as recent, for each use of that.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StartSpans {
    /// Time in which the capacity of the process still grows.
    pub slow_start: Micros,
    /// Time in which the number of deliveries to the process is bounded.
    pub bounded: Micros,
    /// Time in which the process counts as recently started; slowness is excused while most hosts
    /// are.
    pub recent: Micros,
}

/// A host with open deliveries, ordered by the time since which it has been quiet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct QuietHost {
    since: Micros,
    host: usize,
}

/// All hosts that have ever been listed, with statistics over them.
#[derive(Debug, Default)]
pub struct Hosts {
    own_index: u32,
    now: Micros,
    records: Vec<HostRecord>,
    /// The rank of each host in the order by hash, from 0 to 1.
    ranks: Vec<f64>,
    /// Number of hosts last listed with each build, ready or not.
    builds: BTreeMap<BuildId, usize>,
    ready: BTreeMap<BuildId, ReadyHosts>,
    /// Empty; returned for a build without ready hosts.
    none_ready: ReadyHosts,
    ready_count: usize,
    spans: StartSpans,
    cold: RecentStarts,
    bounded: RecentStarts,
    recent: RecentStarts,
    /// Ready hosts that have failed since their last success, or that were ejected; some of these
    /// ejections may be over.
    suspects: BTreeSet<usize>,
    quiet: BTreeSet<QuietHost>,
    /// Hosts that have contributed evidence against their build.
    with_evidence: BTreeSet<usize>,
}

impl Hosts {
    /// Creates the state without hosts. The order of hosts by hash depends on the router's own
    /// index.
    pub fn new(own_index: u32, spans: StartSpans, now: Micros) -> Self {
        let mut hosts = Hosts {
            own_index,
            now,
            ..Hosts::default()
        };
        hosts.set_spans(spans);
        hosts
    }

    /// Changes the spans and applies them to all hosts.
    pub fn set_spans(&mut self, spans: StartSpans) {
        if spans == self.spans {
            return;
        }
        let ready: Vec<usize> = self
            .ready
            .values()
            .flat_map(|ready| ready.by_index().iter().copied())
            .collect();
        for &host in &ready {
            self.remove_ready(host);
        }
        self.spans = spans;
        self.cold = RecentStarts::new(spans.slow_start);
        self.bounded = RecentStarts::new(spans.bounded);
        self.recent = RecentStarts::new(spans.recent);
        for &host in &ready {
            self.insert_ready(host);
        }
    }

    /// Sets the present time, which must not go backwards.
    pub fn advance(&mut self, now: Micros) {
        self.now = now;
        while let Some(host) = self.cold.pop_expired(now) {
            let record = &self.records[host];
            self.ready
                .entry(record.build)
                .or_default()
                .add_warm(record.endpoint.size);
        }
        while let Some(host) = self.bounded.pop_expired(now) {
            self.ready
                .entry(self.records[host].build)
                .or_default()
                .remove_bound(host);
        }
        while self.recent.pop_expired(now).is_some() {}
    }

    /// Adds a host that is listed for the first time, as gone, and returns its index. A call of
    /// [`Hosts::update`] must follow.
    pub fn add(&mut self, endpoint: &Endpoint) -> usize {
        let host = self.records.len();
        let record = HostRecord::new(endpoint);
        *self.builds.entry(record.build).or_default() += 1;
        self.records.push(record);
        self.ranks.push(hash_to_unit_interval(
            u64::from(endpoint.host.0) << 32 | u64::from(self.own_index),
        ));
        host
    }

    /// Applies a new list entry of a host.
    pub fn update(&mut self, host: usize, endpoint: &Endpoint) {
        let record = &mut self.records[host];
        let before = record.endpoint;
        let build = endpoint.build.unwrap_or(record.build);
        let is_other_process = before.started_at != endpoint.started_at || record.build != build;
        if !is_other_process && before.state == endpoint.state && before.size == endpoint.size {
            record.endpoint = *endpoint;
            return;
        }
        self.remove_ready(host);
        if is_other_process {
            // Another process, possibly on another machine: what was learned of the previous one no
            // longer applies.
            self.change_build(host, build);
            self.records[host].forget_process();
            self.with_evidence.remove(&host);
        }
        self.records[host].endpoint = *endpoint;
        self.insert_ready(host);
    }

    /// Marks the hosts that are missing from a complete list as gone.
    pub fn retain_listed(&mut self, endpoints: &[Endpoint]) {
        let listed: BTreeSet<HostId> = endpoints.iter().map(|endpoint| endpoint.host).collect();
        for host in 0..self.records.len() {
            let endpoint = *self.endpoint(host);
            if !listed.contains(&endpoint.host) {
                let gone = Endpoint {
                    state: EndpointState::Gone,
                    ..endpoint
                };
                self.update(host, &gone);
            }
        }
    }

    fn change_build(&mut self, host: usize, build: BuildId) {
        let before = std::mem::replace(&mut self.records[host].build, build);
        *self.builds.entry(build).or_default() += 1;
        if let Some(count) = self.builds.get_mut(&before) {
            *count -= 1;
            if *count == 0 {
                self.builds.remove(&before);
            }
        }
    }

    fn ready_host(&self, host: usize, warm: bool, bounded: bool) -> ReadyHost {
        let record = &self.records[host];
        ReadyHost {
            host,
            size: record.endpoint.size,
            started_at: record.endpoint.started_at.unwrap_or(0),
            warm,
            bounded,
            observed: record.is_observed(),
        }
    }

    fn insert_ready(&mut self, host: usize) {
        if !self.is_ready(host) {
            return;
        }
        let started_at = self.endpoint(host).started_at;
        let is_cold = self.cold.insert(started_at, host, self.now);
        let bounded = self.bounded.insert(started_at, host, self.now);
        self.recent.insert(started_at, host, self.now);
        let member = self.ready_host(host, !is_cold, bounded);
        self.ready
            .entry(self.records[host].build)
            .or_default()
            .insert(member, &self.ranks);
        self.ready_count += 1;
        self.add_if_suspect(host);
    }

    fn remove_ready(&mut self, host: usize) {
        if !self.is_ready(host) {
            return;
        }
        let build = self.build(host);
        let started_at = self.endpoint(host).started_at;
        let is_cold = self.cold.remove(started_at, host);
        let bounded = self.bounded.remove(started_at, host);
        self.recent.remove(started_at, host);
        let member = self.ready_host(host, !is_cold, bounded);
        if let Some(ready) = self.ready.get_mut(&build) {
            ready.remove(member, &self.ranks);
            if ready.is_empty() {
                self.ready.remove(&build);
            }
        }
        self.ready_count -= 1;
        self.suspects.remove(&host);
    }

    /// Adds a host to the suspects if it is ready and a suspect.
    fn add_if_suspect(&mut self, host: usize) {
        let record = &self.records[host];
        if record.is_ready() && record.is_suspect(self.now) {
            self.suspects.insert(host);
        }
    }

    /// Removes from the suspects the hosts whose ejection is over and that have not failed since
    /// their last success.
    pub fn forget_suspects(&mut self) {
        let records = &self.records;
        let now = self.now;
        self.suspects.retain(|&host| records[host].is_suspect(now));
    }

    /// The present time, as last set.
    pub fn now(&self) -> Micros {
        self.now
    }

    /// How long after its start a process counts as recent.
    pub fn spans(&self) -> StartSpans {
        self.spans
    }

    /// Number of hosts that have ever been listed; the host indexes are below it.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether no host has ever been listed.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Number of ready hosts.
    pub fn ready_count(&self) -> usize {
        self.ready_count
    }

    /// The builds that have ready hosts, each with these hosts, oldest build first.
    pub fn ready_builds(&self) -> impl DoubleEndedIterator<Item = (BuildId, &ReadyHosts)> {
        self.ready.iter().map(|(build, ready)| (*build, ready))
    }

    /// The ready hosts of a build; empty if there are none.
    pub fn ready_with(&self, build: BuildId) -> &ReadyHosts {
        self.ready.get(&build).unwrap_or(&self.none_ready)
    }

    /// The oldest build of any host, ready or not; `None` if no host was ever listed.
    pub fn oldest_build(&self) -> Option<BuildId> {
        self.builds.keys().next().copied()
    }

    /// Ready hosts whose capacity still grows after their start.
    pub fn cold_hosts(&self) -> impl Iterator<Item = usize> + '_ {
        self.cold.iter()
    }

    /// Ready hosts to which the number of deliveries is bounded because they started recently.
    pub fn bounded(&self) -> impl Iterator<Item = usize> + '_ {
        self.bounded.iter()
    }

    /// Number of ready hosts that have started recently.
    pub fn recently_started(&self) -> usize {
        self.recent.len()
    }

    /// Ready hosts that have failed since their last success, or that were ejected; some of these
    /// ejections may be over.
    pub fn suspects(&self) -> impl Iterator<Item = usize> + '_ {
        self.suspects.iter().copied()
    }

    /// Hosts with open deliveries that have been quiet since before a time.
    pub fn hosts_quiet_since(&self, before: Micros) -> impl Iterator<Item = usize> + '_ {
        let end = QuietHost {
            since: before,
            host: 0,
        };
        self.quiet.range(..end).map(|quiet| quiet.host)
    }

    /// Hosts that have contributed evidence against their build.
    pub fn with_evidence(&self) -> impl Iterator<Item = usize> + '_ {
        self.with_evidence.iter().copied()
    }
}
