//! The state of each operation: its configured rules and the statistics learned from its
//! deliveries.

use crate::{DeduplicationScope, Micros, OperationConfig, Repeat};

/// A number of acks and the sum of their latencies.
#[derive(Clone, Copy, Debug, Default)]
pub struct LatencyCount {
    /// Deliveries that ended with an ack.
    pub acked: f64,
    /// Sum of the latencies of these deliveries, in seconds.
    pub seconds: f64,
}

/// The rules and statistics of one operation.
#[derive(Clone, Debug)]
pub struct OperationState {
    /// Whether commands of this operation may be executed twice.
    pub repeat: Repeat,
    /// Which hosts drop the repeat of a deduplicated command.
    pub scope: DeduplicationScope,
    /// How long hosts remember a command to drop its repeat.
    pub deduplication_window: Micros,
    /// Latency objective, in microseconds.
    pub latency_objective: f64,
    /// Mean logarithm of the latency in microseconds, learned from acks that are no evidence about
    /// the newest build.
    pub baseline: f64,
    /// Number of acks that `baseline` was learned from.
    pub baseline_samples: u32,
    /// Exponentially decaying count of the acks, over about one second.
    pub acks: f64,
    /// Logarithm of the ratio of the estimated median latency to the latency objective; negative
    /// infinity before the first ack or time-out.
    pub overload: f64,
    /// Open deliveries.
    pub in_flight: u32,
    /// Exponentially decaying sum of the release controller's counts at builds that count as
    /// a baseline.
    pub controller_count: LatencyCount,
    /// Fraction of the deliveries that ended without an ack according to these counts; it rises at
    /// once and falls slowly.
    pub controller_unacked: f64,
    /// Mean latency in seconds by the release controller's counts, as it was before the canary
    /// began.
    pub controller_baseline: f64,
}

impl OperationState {
    /// Creates the state of an operation without any statistics.
    pub fn new(config: &OperationConfig) -> Self {
        OperationState {
            repeat: config.repeat,
            scope: config.deduplication_scope,
            deduplication_window: config.deduplication_window,
            latency_objective: config.latency_objective as f64,
            baseline: 0.0,
            baseline_samples: 0,
            acks: 0.0,
            overload: f64::NEG_INFINITY,
            in_flight: 0,
            controller_count: LatencyCount::default(),
            controller_unacked: 0.0,
            controller_baseline: 0.0,
        }
    }
}
