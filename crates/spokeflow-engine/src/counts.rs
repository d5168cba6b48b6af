//! Counters of one engine.

/// Counted since the start of the engine.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Commands received, without those whose number was in use.
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
    /// Answers of hosts to deliveries that had already ended.
    pub late: u64,
    /// Votes cast with the release controller.
    pub votes: u64,
    /// Commands failed by the engine because the decision module had not answered in time: 0 unless it has a fault.
    pub overdue: u64,
    /// Commands nacked because [`crate::EngineConfig::max_waiting`] were pending.
    pub over_capacity: u64,
}
