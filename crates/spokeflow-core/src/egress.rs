//! What the router asks of the world around it.

use crate::{BuildId, CommandId, HostId, Micros};

/// A router's vote on the newest build, which replaces its vote before.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RolloutVote {
    /// No opinion.
    Abstain,
    /// Go on to the next stage.
    Promote,
    /// Stay in this stage.
    Hold,
    /// Return to the earlier build.
    RollBack,
}

/// What the router asks of the world. Calls are carried out in the order they are made.
pub trait Egress {
    /// Sends a command to a host; the delivery is given up at `until`, or with the client where
    /// `None`.
    fn deliver(&mut self, cmd: CommandId, host: HostId, until: Option<Micros>);
    /// Final answer: trying again is harmless, best after `retry_after` where given.
    fn nack(&mut self, cmd: CommandId, retry_after: Option<Micros>);
    /// Final answer that promises nothing.
    fn fail(&mut self, cmd: CommandId);
    /// Ends the wait for one delivery, numbered from 0 in the order of the command's deliveries.
    fn cancel(&mut self, cmd: CommandId, delivery: u8);
    /// Asks for [`crate::Router::on_timer`] at `at` or soon after.
    fn wake(&mut self, at: Micros);
    /// Votes on a build in a stage; [`crate::Router::on_vote_outcome`] follows.
    fn vote(&mut self, build: BuildId, stage: u8, vote: RolloutVote);
    /// Sends a health probe to a host.
    fn probe(&mut self, host: HostId);
    /// Subscribes to the host list.
    fn watch_list(&mut self);
    /// Asks for the complete host list once.
    fn fetch_list(&mut self);
    /// Sends a short message to one router of the fleet, or to all.
    fn gossip(&mut self, router: Option<u32>, text: &[u8]);
}
