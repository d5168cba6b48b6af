//! Where the engine's messages go: implemented over sockets by the router, and in simulated time by the simulator.

use spokeflow_core::{HostId, Micros};
use spokeflow_proto::{ToClient, ToController, ToHost, ToList};

/// Takes the engine's messages. No method may block: what cannot be taken at once is answered `false` or dropped with
/// its connection.
pub trait Transport {
    /// To the client on connection `conn`. One that cannot take it is disconnected, which then comes back as
    /// [`crate::Input::ClientDisconnected`].
    fn to_client(&mut self, conn: u64, message: ToClient);
    /// To the host, over a connection that is open or being opened, unless it has not left by `leave_by`. `false`:
    /// the queue is full and the message is not taken. What is taken and is not `Cancel` ends as
    /// [`crate::Input::FromHost`] or [`crate::Input::DeliveryFailed`], or is given up by the engine.
    fn to_host(&mut self, host: HostId, message: ToHost, leave_by: Micros) -> bool;
    /// To the endpoint list. `false`: not taken.
    fn to_list(&mut self, message: ToList) -> bool;
    /// To the release controller. `false`: not taken.
    fn to_controller(&mut self, message: ToController) -> bool;
    /// To one router of the fleet or all others.
    fn to_routers(&mut self, router: Option<u32>, text: &[u8]);
    /// The host may get work: connections to it are wanted, at this address and of this process.
    fn host_open(&mut self, host: HostId, address: &str, incarnation: u64);
    /// The host drains or is gone: what has not left for it yet must not. `gone`: nothing is expected back.
    fn host_closed(&mut self, host: HostId, gone: bool);
    /// What has not left for this host yet must not: all of it, or one delivery. It ends as
    /// [`crate::Input::DeliveryFailed`] with [`crate::TransportFailure::NotSent`]; what has left goes on. A transport
    /// that queues nothing has nothing to do.
    fn recall(&mut self, _host: HostId, _delivery: Option<u64>) {}
    /// How long after [`Transport::host_closed`] something may still leave for the host, in microseconds; called
    /// where the control plane changes it.
    fn drain_grace(&mut self, _grace: Micros) {}
}
