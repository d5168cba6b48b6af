//! When each revision came into force at each router, as seen on its link.

use std::collections::{BTreeMap, BTreeSet};

use crate::Micros;

/// Instants at which routers had a revision, by router.
type Arrivals = BTreeMap<u32, Micros>;

/// A time for which a router was stopped, cut off or not there.
#[derive(Clone, Copy, Debug)]
struct Absence {
    from: Micros,
    /// `None`: still away.
    to: Option<Micros>,
}

/// How long one revision took, over the routers that were there. Times are in microseconds.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Spread {
    /// From the offer, or the router's return where that came later, to the grant that told the router of it.
    pub granted: Vec<Micros>,
    /// The same, to the router's next request, which names it as in force.
    pub confirmed: Vec<Micros>,
    /// Routers that are there and have not confirmed it.
    pub missing: BTreeSet<u32>,
}

/// Which router learned of which revision, and when.
#[derive(Debug, Default)]
pub struct Propagation {
    offered: BTreeMap<u64, Micros>,
    granted: BTreeMap<u64, Arrivals>,
    confirmed: BTreeMap<u64, Arrivals>,
    newest_granted: BTreeMap<u32, u64>,
    newest_confirmed: BTreeMap<u32, u64>,
    absences: BTreeMap<u32, Vec<Absence>>,
    /// Routers that were started and have no lease and list yet, and when they were started.
    starting: BTreeMap<u32, Micros>,
    /// How long each start took, in the order in which routers became ready.
    ready: Vec<Micros>,
}

fn arrived(
    at: Micros,
    router: u32,
    number: u64,
    newest: &mut BTreeMap<u32, u64>,
    to: &mut BTreeMap<u64, Arrivals>,
) {
    let before = newest.entry(router).or_default();
    for revision in *before + 1..=number {
        to.entry(revision).or_default().insert(router, at);
    }
    *before = number.max(*before);
}

impl Propagation {
    /// A revision was taken; `at`: when it was offered first.
    pub fn offered(&mut self, number: u64, at: Micros) {
        self.offered.entry(number).or_insert(at);
    }

    /// A grant that names the revision in force was handed on to a router.
    pub fn granted(
        &mut self,
        at: Micros,
        router: u32,
        number: u64,
        with_list: bool,
        needs_list: bool,
    ) {
        arrived(
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

    /// A router's request names the revision that it has in force.
    pub fn confirmed(&mut self, at: Micros, router: u32, number: u64) {
        arrived(
            at,
            router,
            number,
            &mut self.newest_confirmed,
            &mut self.confirmed,
        );
    }

    /// A router is started now.
    pub fn started(&mut self, at: Micros, router: u32) {
        self.starting.insert(router, at);
    }

    /// Routers that were started and are not ready.
    pub fn starting(&self) -> BTreeSet<u32> {
        self.starting.keys().copied().collect()
    }

    /// How long starts took since this was asked last, in microseconds.
    pub fn take_ready(&mut self) -> Vec<Micros> {
        std::mem::take(&mut self.ready)
    }

    /// A router is away from now on.
    pub fn left(&mut self, at: Micros, router: u32) {
        self.starting.remove(&router);
        self.absences
            .entry(router)
            .or_default()
            .push(Absence { from: at, to: None });
    }

    /// A router is there again.
    pub fn returned(&mut self, at: Micros, router: u32) {
        let last = self
            .absences
            .get_mut(&router)
            .and_then(|absences| absences.last_mut());
        if let Some(absence) = last {
            absence.to = absence.to.or(Some(at));
        }
    }

    /// Whether a router was there all the time from `from` to `to`.
    pub fn was_present(&self, router: u32, from: Micros, to: Micros) -> bool {
        let absences = self.absences.get(&router).into_iter().flatten();
        !absences
            .clone()
            .any(|absence| absence.from <= to && absence.to.is_none_or(|end| end >= from))
    }

    fn is_away(&self, router: u32) -> bool {
        self.absences
            .get(&router)
            .and_then(|absences| absences.last())
            .is_some_and(|absence| absence.to.is_none())
    }

    /// From when on a router's time counts for a revision offered at `offered` that it had at `arrived`.
    fn counts_from(&self, router: u32, offered: Micros, arrived: Micros) -> Micros {
        let absences = self.absences.get(&router).into_iter().flatten();
        let ends = absences
            .filter(|absence| absence.from <= arrived)
            .filter_map(|absence| absence.to);
        ends.filter(|end| *end <= arrived)
            .fold(offered, Micros::max)
    }

    fn times(&self, offered: Micros, arrivals: Option<&Arrivals>) -> Vec<Micros> {
        let arrivals = arrivals.into_iter().flatten();
        arrivals
            .map(|(router, at)| (at - self.counts_from(*router, offered, *at)).max(0))
            .collect()
    }

    /// How one revision spread over the first `routers` routers; `None`: it was not offered here.
    pub fn spread(&self, number: u64, routers: u32) -> Option<Spread> {
        let offered = *self.offered.get(&number)?;
        let confirmed = self.confirmed.get(&number);
        let lacks = |router: &u32| {
            !confirmed.is_some_and(|arrivals| arrivals.contains_key(router))
                && !self.is_away(*router)
        };
        Some(Spread {
            granted: self.times(offered, self.granted.get(&number)),
            confirmed: self.times(offered, confirmed),
            missing: (0..routers).filter(lacks).collect(),
        })
    }

    /// Routers that are there and lack one of the revisions offered so far.
    pub fn missing(&self, routers: u32) -> BTreeSet<u32> {
        let newest = self
            .offered
            .last_key_value()
            .map_or(0, |(number, _)| *number);
        let has = |router: &u32| self.newest_confirmed.get(router).copied().unwrap_or(0);
        (0..routers)
            .filter(|router| has(router) < newest && !self.is_away(*router))
            .collect()
    }
}
