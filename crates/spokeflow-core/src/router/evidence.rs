//! The sums of evidence against the newest build, and the bound on the evidence from one host.

use super::Router;

/// Evidence at which a router votes to roll back. A failure that is certainly due to the build
/// counts about 1.
pub(super) const ROLLBACK_EVIDENCE: f64 = 4.0;
/// Upper bound of the number of hosts that must show evidence for a rollback: in a large fleet a
/// router sends to few hosts.
const MAX_HOSTS_FOR_ROLLBACK: f64 = 8.0;
/// Hosts that must show evidence for builds with zero, one and two ready hosts. The evidence from
/// one host is bounded to that for a rollback divided by this number: at 0.5 a single host can
/// bring twice that evidence, at 1.5 two thirds of it, so that a rollback needs both hosts.
const HOSTS_FOR_ROLLBACK_OF_FEW: [f64; 3] = [0.5, 0.5, 1.5];
/// Part of a build's hosts that must show evidence where it has three or more, and the lower bound
/// of their number.
const HOSTS_FOR_ROLLBACK_FRACTION: f64 = 0.4;
const MIN_HOSTS_FOR_ROLLBACK: f64 = 2.0;
/// Lower bound of the number of hosts that must show slowness: a single host may be slow for its
/// own reasons.
const MIN_HOSTS_FOR_SLOWNESS: f64 = 1.5;

/// A kind of evidence from this router's own deliveries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum EvidenceKind {
    /// Failures of one operation.
    Failure { operation: usize },
    /// Slowness of the build's own hosts.
    Slowness,
}

/// Evidence against the newest build, each sum 0 or above, and the number of deliveries behind it.
#[derive(Debug)]
pub(super) struct Evidence {
    /// Failures, by operation.
    pub(super) failures: Vec<f64>,
    /// Slowness of the build's own hosts.
    pub(super) slowness: f64,
    /// Wrong answers that clients reported.
    pub(super) wrong_answers: f64,
    /// Slowness of the hosts of all builds since the canary began.
    pub(super) shared_slowness: f64,
    /// Own analyzed deliveries since the build became the newest.
    pub(super) analyzed: u32,
    /// Own analyzed deliveries in this stage.
    pub(super) analyzed_in_stage: u32,
    /// Deliveries in this stage in the release controller's samples.
    pub(super) controller_sampled_in_stage: f64,
}

impl Evidence {
    pub(super) fn new(operations: usize) -> Self {
        Evidence {
            failures: vec![0.0; operations],
            slowness: 0.0,
            wrong_answers: 0.0,
            shared_slowness: 0.0,
            analyzed: 0,
            analyzed_in_stage: 0,
            controller_sampled_in_stage: 0.0,
        }
    }

    /// Resets the evidence when another build becomes the newest.
    pub(super) fn clear(&mut self) {
        self.analyzed = 0;
        self.failures.fill(0.0);
        self.slowness = 0.0;
        self.wrong_answers = 0.0;
        self.shared_slowness = 0.0;
    }

    pub(super) fn start_stage(&mut self) {
        self.analyzed_in_stage = 0;
        self.controller_sampled_in_stage = 0.0;
    }

    /// Returns the evidence that votes are based on: the largest of the sums. Failures add up over
    /// the operations; the other kinds are not added, so that one delivery is not counted twice.
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

/// Adds `gain` to a sum of evidence, which never drops below 0.
pub(super) fn add_to(sum: &mut f64, gain: f64) {
    *sum = (*sum + gain).max(0.0);
}

impl Router {
    /// Adds evidence from one host, bounded so that a rollback needs evidence from several hosts:
    /// two in five of the build's hosts (in a large fleet, of those observed), at least two where
    /// the build has three hosts or more; for slowness always more than one. Limitation: a build
    /// that fails rarely on many hosts is rolled back late or not at all.
    pub(super) fn add_evidence(&mut self, host: usize, kind: EvidenceKind, gain: f64) {
        let before = self.hosts.evidence(host);
        let gain = if gain > 0.0 {
            let most = ROLLBACK_EVIDENCE / self.hosts_for_rollback(host, kind);
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

    /// Returns how many hosts of the given host's build must show evidence for a rollback.
    fn hosts_for_rollback(&self, host: usize, kind: EvidenceKind) -> f64 {
        let ready = self.hosts.ready_with(self.hosts.build(host));
        let peers = ready.len();
        let observed = if self.config.is_large_fleet() {
            ready.observed()
        } else {
            peers
        };
        let hosts = HOSTS_FOR_ROLLBACK_OF_FEW
            .get(peers)
            .copied()
            .unwrap_or_else(|| {
                (HOSTS_FOR_ROLLBACK_FRACTION * observed as f64)
                    .clamp(MIN_HOSTS_FOR_ROLLBACK, MAX_HOSTS_FOR_ROLLBACK)
            });
        match kind {
            EvidenceKind::Slowness => hosts.max(MIN_HOSTS_FOR_SLOWNESS),
            EvidenceKind::Failure { .. } => hosts,
        }
    }
}
