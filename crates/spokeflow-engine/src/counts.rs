//! Counters of one engine.

/// Totals since the engine was created.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Commands received, except those refused because their id was in use.
    pub accepted: u64,
    /// Commands answered with the result of a host.
    pub acked: u64,
    /// Commands answered as safe to retry.
    pub nacked: u64,
    /// Commands answered as failed.
    pub failed: u64,
    /// Commands whose client stopped waiting or disconnected.
    pub abandoned: u64,
    /// Deliveries started.
    pub deliveries: u64,
    /// Answers from hosts to deliveries that had already ended.
    pub late: u64,
    /// Votes on builds, including those that could not be sent to the release controller.
    pub votes: u64,
    /// Commands that the engine failed because the decision module had not answered them in time: 0 unless the
    /// decision module has a bug.
    pub overdue: u64,
    /// Commands nacked because [`crate::EngineConfig::max_waiting`] commands were already pending.
    pub over_capacity: u64,
}
