//! What is known of each operation: its configured rules and figures learned from its answers.

use crate::{DeduplicationScope, Micros, OperationConfig, Repeat};

/// Answers and the sum of their latencies.
#[derive(Clone, Copy, Debug, Default)]
pub struct LatencyCount {
    /// Deliveries with an answer.
    pub answered: f64,
    /// The sum of their latencies, in seconds.
    pub seconds: f64,
}

/// One operation's rules and figures.
#[derive(Clone, Debug)]
pub struct OperationState {
    /// Whether a command may be executed twice.
    pub repeat: Repeat,
    /// Which hosts drop the repeat of a deduplicated command.
    pub scope: DeduplicationScope,
    /// How long hosts remember a command to drop its repeat.
    pub deduplication_window: Micros,
    /// Latency that the service aims at, in microseconds.
    pub latency_objective: f64,
    /// Mean logarithm of the latency in microseconds at builds not on trial.
    pub baseline: f64,
    /// Answers that the baseline rests on.
    pub baseline_samples: u32,
    /// Acks of about the last second, fading.
    pub acks: f64,
    /// Estimate of the median latency over the objective, as a logarithm.
    pub overload: f64,
    /// Open deliveries.
    pub in_flight: u32,
    /// What the release controller counted of late at builds not on trial, fading.
    pub controller_count: LatencyCount,
    /// The share lost there, which rises at once and sinks slowly.
    pub controller_loss: f64,
    /// Mean latency in seconds that the release controller counted before the canary.
    pub controller_baseline: f64,
}

impl OperationState {
    /// An operation of which nothing has been learned yet.
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
            controller_loss: 0.0,
            controller_baseline: 0.0,
        }
    }
}
