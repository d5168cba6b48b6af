use spokeflow_core::{HostId, Micros};
use spokeflow_proto::{ToClient, ToController, ToHost, ToList};

/// Where the engine's messages go. None of these may wait: what cannot be taken at once is answered `false`
/// or dropped with its link.
pub trait Transport {
    /// To the client on connection `conn`. One that cannot take it is closed, and then told to the engine as
    /// [`crate::Input::ClientGone`].
    fn to_client(&mut self, conn: u64, message: ToClient);
    /// To the host, over a connection that is there or is being made. `false`: no room, the message is not
    /// taken. What is taken and is not `Cancel` ends as [`crate::Input::FromHost`] or
    /// [`crate::Input::NotDelivered`], or is given up by the engine.
    fn to_host(&mut self, host: HostId, message: ToHost, leave_by: Micros) -> bool;
    fn to_list(&mut self, message: ToList) -> bool;
    fn to_controller(&mut self, message: ToController) -> bool;
    /// To one router of the fleet or all others.
    fn to_routers(&mut self, router: Option<u32>, text: &[u8]);
    /// The host may get work: connections to it are wanted, at this address and of this process.
    fn host_open(&mut self, host: HostId, address: &str, incarnation: u64);
    /// The host drains or is gone: what has not left for it yet must not. `gone`: nothing is expected back.
    fn host_closed(&mut self, host: HostId, gone: bool);
    /// What has not left for this host yet must not: all of it, or one delivery. It ends as
    /// [`crate::Input::NotDelivered`] with `NotSent`; what has left goes on. Where nothing waits on its way there is
    /// nothing to do.
    fn recall(&mut self, _host: HostId, _delivery: Option<u64>) {}
    /// How long after [`Transport::host_closed`] something may still leave for the host; told where keepers change it.
    fn drain_grace(&mut self, _grace: Micros) {}
}
