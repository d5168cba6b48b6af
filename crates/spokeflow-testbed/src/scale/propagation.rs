//! Records when each revision came into force at each router, as observed on the router's link.

use std::collections::{BTreeMap, BTreeSet};

use crate::Micros;

/// When a revision arrived at each router, by router.
type Arrivals = BTreeMap<u32, Micros>;

/// A time during which a router was stopped, suspended or cut off.
#[derive(Clone, Copy, Debug)]
struct Absence {
    from: Micros,
    /// `None`: it is still absent.
    to: Option<Micros>,
}

/// Delays, in microseconds, with which one revision reached the routers.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PropagationDelays {
    /// Time from the proposal, or from the router's return if that was later, to the first grant that names the
    /// revision as in force.
    pub granted: Vec<Micros>,
    /// Time from the same instant to the router's first request that names the revision as in force.
    pub confirmed: Vec<Micros>,
    /// Routers that are present and have not confirmed the revision.
    pub missing: BTreeSet<u32>,
}

/// Arrivals of the revisions at the routers, and absences and starts of routers.
#[derive(Debug, Default)]
pub struct Propagation {
    /// When each revision was first proposed.
    proposed: BTreeMap<u64, Micros>,
    granted: BTreeMap<u64, Arrivals>,
    confirmed: BTreeMap<u64, Arrivals>,
    /// Newest revision granted to each router.
    newest_granted: BTreeMap<u32, u64>,
    /// Newest revision that each router has confirmed.
    newest_confirmed: BTreeMap<u32, u64>,
    absences: BTreeMap<u32, Vec<Absence>>,
    /// Routers that were started and do not have their lease and list yet, and when they were started.
    starting: BTreeMap<u32, Micros>,
    /// Duration of each start, in the order in which routers became ready.
    ready: Vec<Micros>,
}

/// Records that a revision and all earlier ones have arrived at a router, if they had not before.
fn record_arrival(
    at: Micros,
    router: u32,
    number: u64,
    newest: &mut BTreeMap<u32, u64>,
    arrivals: &mut BTreeMap<u64, Arrivals>,
) {
    let before = newest.entry(router).or_default();
    for revision in *before + 1..=number {
        arrivals.entry(revision).or_default().insert(router, at);
    }
    *before = number.max(*before);
}

impl Propagation {
    /// Records that a revision was announced; `at` is when it was first proposed.
    pub fn proposed(&mut self, number: u64, at: Micros) {
        self.proposed.entry(number).or_insert(at);
    }

    /// Records that a grant that names revision `number` as in force was forwarded to a router. The router is ready
    /// with its first grant, or with its first grant with a host list if `needs_list` is set.
    pub fn granted(
        &mut self,
        at: Micros,
        router: u32,
        number: u64,
        with_list: bool,
        needs_list: bool,
    ) {
        record_arrival(
            at,
            router,
            number,
            &mut self.newest_granted,
            &mut self.granted,
        );
        if with_list || !needs_list {
            if let Some(started) = self.starting.remove(&router) {
                self.ready.push(at - started);
            }
        }
    }

    /// Records that a router's request names revision `number` as in force.
    pub fn confirmed(&mut self, at: Micros, router: u32, number: u64) {
        record_arrival(
            at,
            router,
            number,
            &mut self.newest_confirmed,
            &mut self.confirmed,
        );
    }

    /// Records that a router is started.
    pub fn started(&mut self, at: Micros, router: u32) {
        self.starting.insert(router, at);
    }

    /// Returns the routers that were started and are not ready.
    pub fn starting(&self) -> BTreeSet<u32> {
        self.starting.keys().copied().collect()
    }

    /// Returns the duration, in microseconds, of each start that completed since the last call.
    pub fn take_ready(&mut self) -> Vec<Micros> {
        std::mem::take(&mut self.ready)
    }

    /// Records that a router is absent from now on.
    pub fn left(&mut self, at: Micros, router: u32) {
        self.starting.remove(&router);
        self.absences
            .entry(router)
            .or_default()
            .push(Absence { from: at, to: None });
    }

    /// Records that a router is present again.
    pub fn returned(&mut self, at: Micros, router: u32) {
        let last = self
            .absences
            .get_mut(&router)
            .and_then(|absences| absences.last_mut());
        if let Some(absence) = last {
            absence.to = absence.to.or(Some(at));
        }
    }

    /// Returns whether a router was present all the time from `from` to `to`.
    pub fn was_present(&self, router: u32, from: Micros, to: Micros) -> bool {
        let absences = self.absences.get(&router).into_iter().flatten();
        !absences
            .clone()
            .any(|absence| absence.from <= to && absence.to.is_none_or(|end| end >= from))
    }

    fn is_absent(&self, router: u32) -> bool {
        self.absences
            .get(&router)
            .and_then(|absences| absences.last())
            .is_some_and(|absence| absence.to.is_none())
    }

    /// Returns from when the delay of a router counts, for a revision proposed at `proposed` that arrived at `arrived`:
    /// from the proposal, or from the router's last return before the arrival if that was later.
    fn counts_from(&self, router: u32, proposed: Micros, arrived: Micros) -> Micros {
        let absences = self.absences.get(&router).into_iter().flatten();
        let ends = absences
            .filter(|absence| absence.from <= arrived)
            .filter_map(|absence| absence.to);
        ends.filter(|end| *end <= arrived)
            .fold(proposed, Micros::max)
    }

    fn arrival_delays(&self, proposed: Micros, arrivals: Option<&Arrivals>) -> Vec<Micros> {
        let arrivals = arrivals.into_iter().flatten();
        arrivals
            .map(|(router, at)| (at - self.counts_from(*router, proposed, *at)).max(0))
            .collect()
    }

    /// Returns the delays of one revision, and which of the first `routers` routers lack it. `None`: no such revision
    /// was proposed.
    pub fn delays(&self, number: u64, routers: u32) -> Option<PropagationDelays> {
        let proposed = *self.proposed.get(&number)?;
        let confirmed = self.confirmed.get(&number);
        let lacks = |router: &u32| {
            !confirmed.is_some_and(|arrivals| arrivals.contains_key(router))
                && !self.is_absent(*router)
        };
        Some(PropagationDelays {
            granted: self.arrival_delays(proposed, self.granted.get(&number)),
            confirmed: self.arrival_delays(proposed, confirmed),
            missing: (0..routers).filter(lacks).collect(),
        })
    }

    /// Returns the routers that are present and have not confirmed the newest revision proposed so far.
    pub fn missing(&self, routers: u32) -> BTreeSet<u32> {
        let newest = self
            .proposed
            .last_key_value()
            .map_or(0, |(number, _)| *number);
        let newest_at = |router: &u32| self.newest_confirmed.get(router).copied().unwrap_or(0);
        (0..routers)
            .filter(|router| newest_at(router) < newest && !self.is_absent(*router))
            .collect()
    }
}
