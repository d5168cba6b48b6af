//! Runs each phase: stops, suspends and cuts off parts of the fleet, and proposes revisions.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};
use tokio::time::{sleep, Instant};

use super::error::RunError;
use super::flags::Phase;
use super::proposer::Proposer;
use super::rig::Rig;
use crate::Micros;

/// Share of the routers, and of the hosts, that is absent at a time in the phase churn.
const CHURN_SHARE: f64 = 0.01;
/// How long the routers and hosts drawn in the phase churn stay absent.
const CHURN_ABSENCE: Duration = Duration::from_secs(1);
/// Time between the stop of all routers and their start.
const RESTART_DELAY: Duration = Duration::from_secs(1);
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Times measured in the phase leader, from the kill of the leader.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Election {
    /// Time from the kill to the first message of the next leader; `None`: no new leader was observed.
    pub leaderless: Option<Micros>,
    /// Time from the kill to the first lease granted after that; `None`: none was observed.
    pub first_grant: Option<Micros>,
}

/// Runs phases on a rig.
pub(super) struct Phases {
    rig: Arc<Rig>,
    random: StdRng,
    /// Numbers of the revisions that were announced in this phase.
    pub revisions: Vec<u64>,
    /// Result of the phase leader, if that was run.
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

    /// Runs one phase. Errors: a process cannot be started or has ended.
    pub(super) async fn run(
        &mut self,
        phase: Phase,
        proposer: &mut Proposer,
    ) -> Result<(), RunError> {
        let flags = self.rig.flags.clone();
        match phase {
            Phase::Quiet => sleep(flags.quiet_lasts).await,
            Phase::Changes => self
                .revisions
                .extend(proposer.propose_at_rate(flags.changes_last).await),
            Phase::Churn => self.churn(proposer, flags.changes_last).await?,
            Phase::Zone => self.zone(proposer).await?,
            Phase::Start => self.start(proposer).await?,
            Phase::Leader => self.leader(proposer).await?,
            Phase::Region => self.region(proposer).await,
            Phase::Stalled => self.stalled(proposer).await,
        }
        Ok(())
    }

    async fn propose(&mut self, proposer: &mut Proposer) {
        let number = proposer.propose().await;
        self.revisions.extend(number);
    }

    /// Draws the share of these numbers that is absent at a time in the phase churn, at least one if there are any.
    fn draw(&mut self, from: std::ops::Range<u32>) -> BTreeSet<u32> {
        let all: Vec<u32> = from.collect();
        let count = (all.len() as f64 * CHURN_SHARE).ceil() as usize;
        all.sample(&mut self.random, count).copied().collect()
    }

    /// Returns the routers of which some stop in the phase churn: the hollow ones if there are any, or else all.
    fn churn_candidates(&self) -> std::ops::Range<u32> {
        let flags = &self.rig.flags;
        match flags.hollow_routers() {
            0 => 0..flags.routers,
            _ => flags.real..flags.routers,
        }
    }

    async fn churn(&mut self, proposer: &mut Proposer, duration: Duration) -> Result<(), RunError> {
        let rig = self.rig.clone();
        let deadline = Instant::now() + duration;
        let churning = async {
            while Instant::now() < deadline {
                let routers = self.draw(self.churn_candidates());
                let hosts: Vec<u32> = self.draw(0..rig.flags.hosts).into_iter().collect();
                rig.stop_routers(&routers).await?;
                rig.list.remove(&hosts);
                sleep(CHURN_ABSENCE).await;
                rig.restart_routers(&routers).await?;
                rig.list.restore(&hosts);
            }
            Ok(())
        };
        let (numbers, result) = tokio::join!(proposer.propose_at_rate(duration), churning);
        self.revisions.extend(numbers);
        result
    }

    async fn zone(&mut self, proposer: &mut Proposer) -> Result<(), RunError> {
        let rig = self.rig.clone();
        let flags = &rig.flags;
        let lost_zone = self.random.random_range(0..flags.zones);
        let routers: BTreeSet<u32> = (0..flags.routers)
            .filter(|router| flags.zone(*router) == lost_zone)
            .collect();
        let hosts: Vec<u32> = (0..flags.hosts)
            .filter(|host| flags.zone(*host) == lost_zone)
            .collect();
        let zone_loss = async {
            rig.list.remove(&hosts);
            rig.stop_routers(&routers).await?;
            sleep(flags.away_lasts).await;
            rig.list.restore(&hosts);
            rig.restart_routers(&routers).await?;
            sleep(flags.away_lasts).await;
            Ok(())
        };
        let (numbers, result) =
            tokio::join!(proposer.propose_at_rate(flags.away_lasts * 2), zone_loss);
        self.revisions.extend(numbers);
        result
    }

    async fn start(&mut self, proposer: &mut Proposer) -> Result<(), RunError> {
        let all: BTreeSet<u32> = (0..self.rig.flags.routers).collect();
        self.rig.stop_routers(&all).await?;
        sleep(RESTART_DELAY).await;
        self.rig.restart_routers(&all).await?;
        self.propose(proposer).await;
        wait_until_ready(&self.rig).await;
        sleep(self.rig.flags.away_lasts).await;
        Ok(())
    }

    async fn leader(&mut self, proposer: &mut Proposer) -> Result<(), RunError> {
        let rig = self.rig.clone();
        let before = rig.tap.record().leadership;
        let killed_at = rig.tap.now();
        rig.kill_voter(before.voter).await;
        self.propose(proposer).await;
        sleep(rig.flags.away_lasts).await;
        let after = rig.tap.record().leadership;
        let has_new_leader = after.term > before.term;
        let since_kill =
            |at: Option<Micros>| at.filter(|_| has_new_leader).map(|at| at - killed_at);
        self.election = Some(Election {
            leaderless: since_kill(Some(after.since)),
            first_grant: since_kill(after.first_grant),
        });
        rig.start_voter(before.voter).await?;
        sleep(rig.flags.away_lasts).await;
        Ok(())
    }

    async fn region(&mut self, proposer: &mut Proposer) {
        let rig = self.rig.clone();
        let flags = &rig.flags;
        let lost_region = self.random.random_range(0..flags.regions);
        let is_cut_off = |router: &u32| flags.region(flags.zone(*router)) == lost_region;
        let routers: BTreeSet<u32> = (0..flags.routers).filter(is_cut_off).collect();
        self.record_absent(&routers);
        rig.tap.cut_off(routers.clone());
        self.propose(proposer).await;
        sleep(flags.away_lasts).await;
        rig.tap.cut_off(BTreeSet::new());
        self.record_present(&routers);
        sleep(flags.away_lasts).await;
    }

    async fn stalled(&mut self, proposer: &mut Proposer) {
        let rig = self.rig.clone();
        let routers = rig.set_suspended(true).await;
        self.record_absent(&routers);
        self.propose(proposer).await;
        sleep(rig.flags.away_lasts).await;
        rig.set_suspended(false).await;
        self.record_present(&routers);
        sleep(rig.flags.away_lasts).await;
    }

    fn record_absent(&self, routers: &BTreeSet<u32>) {
        let now = self.rig.tap.now();
        let mut record = self.rig.tap.record();
        routers
            .iter()
            .for_each(|router| record.propagation.left(now, *router));
    }

    fn record_present(&self, routers: &BTreeSet<u32>) {
        let now = self.rig.tap.now();
        let mut record = self.rig.tap.record();
        routers
            .iter()
            .for_each(|router| record.propagation.returned(now, *router));
    }
}

/// Waits until every router that was started is ready, but at most for the time that the flags allow.
pub(super) async fn wait_until_ready(rig: &Rig) {
    let deadline = Instant::now() + rig.flags.ready_within;
    while Instant::now() < deadline && !rig.tap.record().propagation.starting().is_empty() {
        sleep(POLL_INTERVAL).await;
    }
}

/// Waits until every router that is present has all revisions in force, but at most for the time that the flags allow.
pub(super) async fn wait_until_in_force(rig: &Rig) {
    let deadline = Instant::now() + rig.flags.in_force_within;
    while Instant::now() < deadline
        && !rig
            .tap
            .record()
            .propagation
            .missing(rig.flags.routers)
            .is_empty()
    {
        sleep(POLL_INTERVAL).await;
    }
}
