//! The sums of evidence against the newest build, and how much of it one host may bring.

use super::{Router, ROUTERS_PER_HOST};

/// Evidence at which a router votes to roll back; a failure that surely is the build's own counts
/// about 1.
pub(super) const ROLLBACK_EVIDENCE: f64 = 4.0;
/// Hosts that must show evidence against a build at most: a router meets few of many.
const MAX_HOSTS_TO_CONVICT: f64 = 8.0;
/// Hosts that must show evidence for builds with no, one and two ready hosts.
const HOSTS_TO_CONVICT_OF_FEW: [f64; 3] = [0.5, 0.5, 1.5];
/// Part of the hosts that must show evidence where there are more, and the least of them.
const CONVICTING_FRACTION: f64 = 0.4;
const MIN_HOSTS_TO_CONVICT: f64 = 2.0;
/// Least hosts that must show slowness: one alone may be slow by itself.
const MIN_HOSTS_TO_CONVICT_OF_SLOWNESS: f64 = 1.5;

/// What one answer proves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum EvidenceKind {
    /// Failures of one operation.
    Failure { operation: usize },
    /// Slowness of the build's own hosts.
    Slowness,
}

/// Evidence against the newest build, each sum 0 or above, and the answers it rests on.
#[derive(Debug)]
pub(super) struct Evidence {
    /// By operation.
    pub(super) failures: Vec<f64>,
    pub(super) slowness: f64,
    /// Wrong answers that were reported.
    pub(super) wrong_answers: f64,
    /// Slowness of all hosts since the canary began.
    pub(super) shared_slowness: f64,
    /// Own answers since the build became the newest.
    pub(super) answers: u32,
    /// Own answers in this stage.
    pub(super) answers_in_stage: u32,
    /// Deliveries in this stage that the release controller counted.
    pub(super) controller_answers_in_stage: f64,
}

impl Evidence {
    pub(super) fn new(operations: usize) -> Self {
        Evidence {
            failures: vec![0.0; operations],
            slowness: 0.0,
            wrong_answers: 0.0,
            shared_slowness: 0.0,
            answers: 0,
            answers_in_stage: 0,
            controller_answers_in_stage: 0.0,
        }
    }

    /// Another build has become the newest.
    pub(super) fn clear(&mut self) {
        self.answers = 0;
        self.failures.fill(0.0);
        self.slowness = 0.0;
        self.wrong_answers = 0.0;
        self.shared_slowness = 0.0;
    }

    pub(super) fn start_stage(&mut self) {
        self.answers_in_stage = 0;
        self.controller_answers_in_stage = 0.0;
    }

    /// Failures add up over the operations; each other kind is another proof, and one answer counts
    /// in one only.
    pub(super) fn total(&self) -> f64 {
        let failures: f64 = self.failures.iter().sum();
        failures
            .max(self.slowness)
            .max(self.wrong_answers)
            .max(self.shared_slowness)
    }

    pub(super) fn sum_mut(&mut self, kind: EvidenceKind) -> &mut f64 {
        match kind {
            EvidenceKind::Failure { operation } => &mut self.failures[operation],
            EvidenceKind::Slowness => &mut self.slowness,
        }
    }
}

/// Adds to a sum of evidence, which stays 0 or above.
pub(super) fn add_to(sum: &mut f64, gain: f64) {
    *sum = (*sum + gain).max(0.0);
}

impl Router {
    /// Two in five of a build's hosts (in a large fleet of those observed) convict it, two at least
    /// of three, for slowness always: each brings its part. It could harm where a build fails
    /// rarely on many hosts.
    pub(super) fn add_evidence(&mut self, host: usize, kind: EvidenceKind, gain: f64) {
        let before = self.hosts.evidence(host);
        let gain = if gain > 0.0 {
            let most = ROLLBACK_EVIDENCE / self.hosts_to_convict(host, kind);
            gain.min((most - before).max(0.0))
        } else {
            gain
        };
        self.hosts.set_evidence(host, (before + gain).max(0.0));
        add_to(self.evidence.sum_mut(kind), gain);
        if self.evidence.total() <= 0.0 {
            self.hosts.clear_evidence();
        }
    }

    /// How many hosts of a host's build have to show evidence for a rollback.
    fn hosts_to_convict(&self, host: usize, kind: EvidenceKind) -> f64 {
        let ready = self.hosts.ready_with(self.hosts.build(host));
        let peers = ready.len();
        let observed = if self.config.fleet_size > ROUTERS_PER_HOST {
            ready.observed()
        } else {
            peers
        };
        let hosts = HOSTS_TO_CONVICT_OF_FEW
            .get(peers)
            .copied()
            .unwrap_or_else(|| {
                (CONVICTING_FRACTION * observed as f64)
                    .clamp(MIN_HOSTS_TO_CONVICT, MAX_HOSTS_TO_CONVICT)
            });
        match kind {
            EvidenceKind::Slowness => hosts.max(MIN_HOSTS_TO_CONVICT_OF_SLOWNESS),
            EvidenceKind::Failure { .. } => hosts,
        }
    }
}
