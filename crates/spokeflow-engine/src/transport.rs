//! The engine's outputs. The router implements them over sockets, the simulator in simulated time.

use spokeflow_core::{HostId, Micros};
use spokeflow_proto::{ToClient, ToController, ToHost, ToList};

/// Takes the engine's messages. No method may block: a message that cannot be taken at once is refused with `false`, or
/// dropped together with its connection.
pub trait Transport {
    /// Sends a message to the client on connection `conn`. A client that cannot take it is disconnected, which then
    /// comes back as [`crate::Input::ClientDisconnected`].
    fn to_client(&mut self, conn: u64, message: ToClient);
    /// Sends a message to the host, over a connection that is open or being opened. A delivery whose sending has not
    /// begun by `send_deadline`, in microseconds of the engine's clock, must not be sent. Returns `false` if the queue
    /// is full and the message is not taken. A delivery that is taken ends with [`crate::Input::FromHost`] or
    /// [`crate::Input::DeliveryFailed`], or the engine times it out or cancels it.
    fn to_host(&mut self, host: HostId, message: ToHost, send_deadline: Micros) -> bool;
    /// Sends a message to the endpoint list. Returns `false` if it is not taken.
    fn to_list(&mut self, message: ToList) -> bool;
    /// Sends a message to the release controller. Returns `false` if it is not taken.
    fn to_controller(&mut self, message: ToController) -> bool;
    /// Sends a message to one router of the fleet, or to all others if `router` is `None`.
    fn to_routers(&mut self, router: Option<u32>, text: &[u8]);
    /// Announces that the host may get deliveries: the transport should connect to this incarnation of it at `address`.
    fn host_open(&mut self, host: HostId, address: &str, incarnation: u64);
    /// Announces that the host drains or is gone: deliveries that wait for it must not be sent. If it is `gone`,
    /// no answers are expected from it.
    fn host_closed(&mut self, host: HostId, gone: bool);
    /// Recalls one delivery, or all if `delivery` is `None`, that wait to be sent to this host. A recalled delivery
    /// ends with [`crate::Input::DeliveryFailed`] and [`crate::TransportFailure::NotSent`]; one that is being sent or
    /// was sent goes on. A transport that queues nothing has nothing to do.
    fn recall(&mut self, _host: HostId, _delivery: Option<u64>) {}
    /// Sets how long after [`Transport::host_closed`] a frame may still be sent to the host, in microseconds. Called
    /// whenever a lease's configuration takes effect or expires.
    fn set_drain_grace(&mut self, _grace: Micros) {}
}
