use crate::{BuildId, CommandId, HostId, Micros};

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RolloutVote {
    Abstain,
    Promote,
    Hold,
    RollBack,
}

/// What the module asks of the world. Calls are carried out in the order they are made.
pub trait Egress {
    /// Sends a command to a host; the delivery is given up at `until`, or with the client where `None`.
    fn deliver(&mut self, cmd: CommandId, host: HostId, until: Option<Micros>);
    /// Final answer: trying again is harmless, best after `come_back` where given.
    fn nack(&mut self, cmd: CommandId, come_back: Option<Micros>);
    /// Final answer that promises nothing.
    fn fail(&mut self, cmd: CommandId);
    /// Ends the wait for one delivery, numbered from 0 in the order of the commands' deliveries.
    fn cancel(&mut self, cmd: CommandId, delivery: u8);
    /// Asks for [`crate::Router::woken`] at `at` or soon after.
    fn wake(&mut self, at: Micros);
    fn vote(&mut self, build: BuildId, stage: u8, verdict: RolloutVote);
    fn probe(&mut self, host: HostId);
    /// Subscribes to the host list.
    fn watch_list(&mut self);
    fn fetch_list(&mut self);
    /// Sends a short message to one router of the fleet, or to all.
    fn gossip(&mut self, router: Option<u32>, text: &[u8]);
}
