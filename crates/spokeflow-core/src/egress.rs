//! The actions that a router asks its caller to carry out.

use crate::{BuildId, CommandId, HostId, Micros};

/// A router's vote on the newest build; it replaces the router's previous vote.
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

/// Receives the actions of a router. Calls must be carried out in the order they are made.
///
/// Implementations must provide every method, including those that the decision module does not
/// call at present.
pub trait Egress {
    /// Sends a command to a host. The delivery times out at `until`; with `None` it stays open
    /// until the client gives up.
    fn deliver(&mut self, cmd: CommandId, host: HostId, until: Option<Micros>);
    /// Answers a command for good with a nack: the client may safely send it again, preferably
    /// after `retry_after` if given.
    fn nack(&mut self, cmd: CommandId, retry_after: Option<Micros>);
    /// Answers a command for good with a failure: it may have been executed, and sending it again
    /// may not be safe.
    fn fail(&mut self, cmd: CommandId);
    /// Cancels one delivery, numbered from 0 in the order of the command's deliveries.
    fn cancel(&mut self, cmd: CommandId, delivery: u8);
    /// Requests a call of [`crate::Router::on_timer`] at `at` or soon after.
    fn wake(&mut self, at: Micros);
    /// Votes on a build in a stage; [`crate::Router::on_vote_outcome`] must follow.
    fn vote(&mut self, build: BuildId, stage: u8, vote: RolloutVote);
    /// Sends a health probe to a host. The decision module does not call this at present.
    fn probe(&mut self, host: HostId);
    /// Subscribes to the host list.
    fn watch_list(&mut self);
    /// Requests the complete host list once. The decision module does not call this at present: it
    /// only subscribes.
    fn fetch_list(&mut self);
    /// Sends a short message to one router of the fleet, or to all if `router` is `None`. The
    /// decision module does not call this at present.
    fn gossip(&mut self, router: Option<u32>, text: &[u8]);
}
