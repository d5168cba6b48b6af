//! What is done to the fleet in each phase.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};
use tokio::time::{sleep, Instant};

use super::error::RunError;
use super::flags::Phase;
use super::offers::Offers;
use super::rig::Rig;
use crate::Micros;

/// Part of the routers, and of the hosts, that is away at a time in the phase of churn.
const CHURN_SHARE: f64 = 0.01;
const CHURN_EVERY: Duration = Duration::from_secs(1);
/// Between the end of all routers and their start.
const ALL_DOWN: Duration = Duration::from_secs(1);
const LOOK_EVERY: Duration = Duration::from_millis(20);

/// What only the phase of the killed leader measures.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Election {
    /// From the kill to the first message of the next leader.
    pub leaderless: Option<Micros>,
    /// From the kill to the first lease after that.
    pub first_grant: Option<Micros>,
}

/// Plays phases on a rig.
pub(super) struct Phases {
    rig: Arc<Rig>,
    random: StdRng,
    /// Numbers of the revisions that were taken in this phase.
    pub revisions: Vec<u64>,
    pub election: Option<Election>,
}

impl Phases {
    pub(super) fn new(rig: Arc<Rig>) -> Self {
        let random = StdRng::seed_from_u64(rig.flags.seed ^ 0x5ca1e);
        Phases {
            rig,
            random,
            revisions: Vec::new(),
            election: None,
        }
    }

    /// Plays one phase. Errors: a process that cannot be started, or has ended.
    pub(super) async fn play(&mut self, phase: Phase, offers: &mut Offers) -> Result<(), RunError> {
        let flags = self.rig.flags.clone();
        match phase {
            Phase::Quiet => sleep(flags.quiet_lasts).await,
            Phase::Changes => self
                .revisions
                .extend(offers.at_rate(flags.changes_last).await),
            Phase::Churn => self.churn(offers, flags.changes_last).await?,
            Phase::Zone => self.zone(offers).await?,
            Phase::Start => self.start(offers).await?,
            Phase::Leader => self.leader(offers).await?,
            Phase::Region => self.region(offers).await,
            Phase::Stalled => self.stalled(offers).await,
        }
        Ok(())
    }

    async fn offer(&mut self, offers: &mut Offers) {
        let number = offers.offer().await;
        self.revisions.extend(number);
    }

    /// Draws some of these numbers, at least one where there are any.
    fn draw(&mut self, from: std::ops::Range<u32>) -> BTreeSet<u32> {
        let all: Vec<u32> = from.collect();
        let count = (all.len() as f64 * CHURN_SHARE).ceil() as usize;
        all.sample(&mut self.random, count).copied().collect()
    }

    /// Routers that leave in churn: hollow ones where there are any.
    fn leaving(&self) -> std::ops::Range<u32> {
        let flags = &self.rig.flags;
        match flags.hollow() {
            0 => 0..flags.routers,
            _ => flags.real..flags.routers,
        }
    }

    async fn churn(&mut self, offers: &mut Offers, lasts: Duration) -> Result<(), RunError> {
        let rig = self.rig.clone();
        let until = Instant::now() + lasts;
        let churning = async {
            while Instant::now() < until {
                let routers = self.draw(self.leaving());
                let hosts: Vec<u32> = self.draw(0..rig.flags.hosts).into_iter().collect();
                rig.leave(&routers).await?;
                rig.list.remove(&hosts);
                sleep(CHURN_EVERY).await;
                rig.come_back(&routers).await?;
                rig.list.bring_back(&hosts);
            }
            Ok(())
        };
        let (numbers, churned) = tokio::join!(offers.at_rate(lasts), churning);
        self.revisions.extend(numbers);
        churned
    }

    async fn zone(&mut self, offers: &mut Offers) -> Result<(), RunError> {
        let rig = self.rig.clone();
        let flags = &rig.flags;
        let lost = self.random.random_range(0..flags.zones);
        let routers: BTreeSet<u32> = (0..flags.routers)
            .filter(|router| flags.zone(*router) == lost)
            .collect();
        let hosts: Vec<u32> = (0..flags.hosts)
            .filter(|host| flags.zone(*host) == lost)
            .collect();
        let losing = async {
            rig.list.remove(&hosts);
            rig.leave(&routers).await?;
            sleep(flags.away_lasts).await;
            rig.list.bring_back(&hosts);
            rig.come_back(&routers).await?;
            sleep(flags.away_lasts).await;
            Ok(())
        };
        let (numbers, lost) = tokio::join!(offers.at_rate(flags.away_lasts * 2), losing);
        self.revisions.extend(numbers);
        lost
    }

    async fn start(&mut self, offers: &mut Offers) -> Result<(), RunError> {
        let all: BTreeSet<u32> = (0..self.rig.flags.routers).collect();
        self.rig.leave(&all).await?;
        sleep(ALL_DOWN).await;
        self.rig.come_back(&all).await?;
        self.offer(offers).await;
        until_ready(&self.rig).await;
        sleep(self.rig.flags.away_lasts).await;
        Ok(())
    }

    async fn leader(&mut self, offers: &mut Offers) -> Result<(), RunError> {
        let rig = self.rig.clone();
        let before = rig.tap.record().leadership;
        let killed = rig.tap.now();
        rig.kill_voter(before.voter).await;
        self.offer(offers).await;
        sleep(rig.flags.away_lasts).await;
        let after = rig.tap.record().leadership;
        let led = after.term > before.term;
        let since = |at: Option<Micros>| at.filter(|_| led).map(|at| at - killed);
        self.election = Some(Election {
            leaderless: since(Some(after.since)),
            first_grant: since(after.first_grant),
        });
        rig.start_voter(before.voter).await?;
        sleep(rig.flags.away_lasts).await;
        Ok(())
    }

    async fn region(&mut self, offers: &mut Offers) {
        let rig = self.rig.clone();
        let flags = &rig.flags;
        let lost = self.random.random_range(0..flags.regions);
        let within = |router: &u32| flags.region(flags.zone(*router)) == lost;
        let routers: BTreeSet<u32> = (0..flags.routers).filter(within).collect();
        self.absent(&routers);
        rig.tap.cut(routers.clone());
        self.offer(offers).await;
        sleep(flags.away_lasts).await;
        rig.tap.cut(BTreeSet::new());
        self.present(&routers);
        sleep(flags.away_lasts).await;
    }

    async fn stalled(&mut self, offers: &mut Offers) {
        let rig = self.rig.clone();
        let routers = rig.stall(true).await;
        self.absent(&routers);
        self.offer(offers).await;
        sleep(rig.flags.away_lasts).await;
        rig.stall(false).await;
        self.present(&routers);
        sleep(rig.flags.away_lasts).await;
    }

    fn absent(&self, routers: &BTreeSet<u32>) {
        let now = self.rig.tap.now();
        let mut record = self.rig.tap.record();
        routers
            .iter()
            .for_each(|router| record.propagation.left(now, *router));
    }

    fn present(&self, routers: &BTreeSet<u32>) {
        let now = self.rig.tap.now();
        let mut record = self.rig.tap.record();
        routers
            .iter()
            .for_each(|router| record.propagation.returned(now, *router));
    }
}

/// Waits until every router that was started is ready, for the time that the flags allow.
pub(super) async fn until_ready(rig: &Rig) {
    let until = Instant::now() + rig.flags.ready_within;
    while Instant::now() < until && !rig.tap.record().propagation.starting().is_empty() {
        sleep(LOOK_EVERY).await;
    }
}

/// Waits until every router that is there has all revisions, for the time that the flags allow.
pub(super) async fn until_in_force(rig: &Rig) {
    let until = Instant::now() + rig.flags.in_force_within;
    while Instant::now() < until
        && !rig
            .tap
            .record()
            .propagation
            .missing(rig.flags.routers)
            .is_empty()
    {
        sleep(LOOK_EVERY).await;
    }
}
