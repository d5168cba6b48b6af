//! The switchboard: a proxy in front of the control-plane nodes that records every frame and disturbs links. It reads
//! the caller of a connection from its opening message, and treats frames according to the condition that the faults of
//! the run have set for the link between caller and node.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use spokeflow_coordination::wire::{Caller, FromNode, ToNode};
use spokeflow_raft::NodeId;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::{sleep, Instant};

use super::pump::{read_frame, write_frame, Pump};
use crate::locked;
use crate::Micros;

/// Interval at which a blocked link is checked again.
const BLOCKED_POLL: Duration = Duration::from_millis(5);

/// A process at one end of a link.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Participant {
    /// A control-plane node, by its number.
    Node(u32),
    /// A router, by its number.
    Router(u32),
    /// An operator, as which the rig sends its own requests.
    Operator,
}

/// One direction between two participants.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Link {
    /// The participant that sends.
    pub from: Participant,
    /// The participant that receives.
    pub to: Participant,
}

impl Link {
    /// Creates the direction from one participant to another.
    pub fn new(from: Participant, to: Participant) -> Link {
        Link { from, to }
    }

    /// Creates both directions between two participants.
    pub fn both(one: Participant, other: Participant) -> [Link; 2] {
        [Link::new(one, other), Link::new(other, one)]
    }

    fn reversed(self) -> Link {
        Link::new(self.to, self.from)
    }
}

/// How the switchboard treats the frames of a link. Shares are in 0..=1.
///
/// The opening message of a caller only waits while the link is blocked; nothing else applies to it. The first frame
/// after it from the caller, and the first frame from the node, are never lost, truncated or reordered, but they
/// are delayed, duplicated and trickled as all later frames are.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LinkCondition {
    /// Whether frames wait until the link is no longer blocked.
    pub blocked: bool,
    /// Share of frames that are lost.
    pub loss: f64,
    /// Share of frames that arrive twice.
    pub duplication: f64,
    /// Share of frames that arrive after the next one.
    pub reordering: f64,
    /// Longest delay of a frame.
    pub delay: Duration,
    /// Whether frames arrive a few bytes at a time.
    pub trickle: bool,
    /// Share of frames that are cut off in the middle, where the connection then ends.
    pub truncation: f64,
}

impl LinkCondition {
    /// Frames are forwarded at once and unchanged.
    pub const HEALTHY: LinkCondition = LinkCondition {
        blocked: false,
        loss: 0.0,
        duplication: 0.0,
        reordering: 0.0,
        delay: Duration::ZERO,
        trickle: false,
        truncation: 0.0,
    };

    /// No frames are forwarded.
    pub const BLOCKED: LinkCondition = LinkCondition {
        blocked: true,
        ..LinkCondition::HEALTHY
    };
}

/// The message of a frame, by direction.
#[derive(Clone, Debug)]
pub enum FramePayload {
    /// From the caller to the node.
    ToNode(ToNode),
    /// From the node to its caller.
    FromNode(FromNode),
}

/// A frame as its sender sent it.
#[derive(Clone, Debug)]
pub struct Frame {
    /// When the switchboard received it.
    pub at: Micros,
    /// When it was forwarded; `None` if it never was.
    pub forwarded_at: Option<Micros>,
    /// Its sender and receiver.
    pub link: Link,
    /// Number of the connection.
    pub connection: u64,
    /// Length in bytes, with the length prefix.
    pub bytes: usize,
    /// The decoded message.
    pub payload: FramePayload,
}

/// A request to end the connections between the two participants of a link.
struct ResetRequest {
    /// Count of requests.
    number: u64,
    link: Link,
}

/// Direction of frames over a connection.
#[derive(Clone, Copy)]
pub(super) enum Direction {
    ToNode,
    FromNode,
}

/// Index of a recorded frame.
#[derive(Clone, Copy)]
pub(super) struct FrameIndex(usize);

/// Forwards and records all frames between nodes and their callers.
pub(super) struct Switchboard {
    start: Instant,
    conditions: Mutex<HashMap<Link, LinkCondition>>,
    node_addresses: Mutex<HashMap<u32, SocketAddr>>,
    frames: Mutex<Vec<Frame>>,
    /// Number of the last connection; they are numbered from 1.
    last_connection: Mutex<u64>,
    resets: watch::Sender<ResetRequest>,
}

impl Switchboard {
    pub(super) fn new(start: Instant) -> Arc<Self> {
        let no_reset = ResetRequest {
            number: 0,
            link: Link::new(Participant::Operator, Participant::Operator),
        };
        Arc::new(Switchboard {
            start,
            conditions: Mutex::default(),
            node_addresses: Mutex::default(),
            frames: Mutex::default(),
            last_connection: Mutex::default(),
            resets: watch::Sender::new(no_reset),
        })
    }

    pub(super) fn now(&self) -> Micros {
        self.start.elapsed().as_micros() as Micros
    }

    pub(super) fn condition(&self, link: Link) -> LinkCondition {
        locked(&self.conditions)
            .get(&link)
            .copied()
            .unwrap_or(LinkCondition::HEALTHY)
    }

    pub(super) fn set_condition(&self, link: Link, condition: LinkCondition) {
        locked(&self.conditions).insert(link, condition);
    }

    /// Makes all links healthy.
    pub(super) fn restore(&self) {
        locked(&self.conditions).clear();
    }

    /// Ends all present connections between the two participants of a link.
    pub(super) fn reset(&self, link: Link) {
        self.resets.send_modify(|request| {
            request.number += 1;
            request.link = link;
        });
    }

    /// Sets the address to which the switchboard forwards connections to a node; `None` while the node does not run.
    pub(super) fn set_node_address(&self, node: u32, address: Option<SocketAddr>) {
        let mut addresses = locked(&self.node_addresses);
        match address {
            Some(address) => {
                addresses.insert(node, address);
            }
            None => {
                addresses.remove(&node);
            }
        }
    }

    /// Returns all frames so far in the order of arrival, and clears them.
    pub(super) fn take_frames(&self) -> Vec<Frame> {
        std::mem::take(&mut *locked(&self.frames))
    }

    /// Starts to accept connections to a node, and returns the address at which callers reach it.
    ///
    /// # Errors
    ///
    /// Fails if no port is available.
    pub(super) async fn open(self: &Arc<Self>, node: u32) -> std::io::Result<SocketAddr> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let switchboard = self.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(switchboard.clone().forward_connection(node, stream));
            }
        });
        Ok(address)
    }

    async fn forward_connection(self: Arc<Self>, node: u32, mut caller: TcpStream) {
        let Some(hello) = read_frame(&mut caller).await else {
            return;
        };
        let Some(caller_participant) = calling_participant(&hello) else {
            return;
        };
        let link = Link::new(caller_participant, Participant::Node(node));
        let address = locked(&self.node_addresses).get(&node).copied();
        let Some(address) = address else { return };
        self.wait_until_unblocked(link).await;
        let Ok(mut node_stream) = TcpStream::connect(address).await else {
            return;
        };
        let connection = self.next_connection();
        // A failure is ignored: it only delays small frames and does not affect what is checked.
        let _ = caller.set_nodelay(true);
        let _ = node_stream.set_nodelay(true);
        let resets = self.resets.subscribe();
        self.record(link, connection, Direction::ToNode, &hello);
        if write_frame(&mut node_stream, &hello).await.is_err() {
            return;
        }
        let (caller_input, caller_output) = caller.split();
        let (node_input, node_output) = node_stream.split();
        let to_node = Pump {
            switchboard: &self,
            link,
            connection,
            direction: Direction::ToNode,
        };
        let from_node = Pump {
            link: link.reversed(),
            direction: Direction::FromNode,
            ..to_node
        };
        tokio::select! {
            () = to_node.run(caller_input, node_output) => {}
            () = from_node.run(node_input, caller_output) => {}
            () = wait_for_reset(resets, link) => {}
        }
    }

    pub(super) async fn wait_until_unblocked(&self, link: Link) {
        while self.condition(link).blocked {
            sleep(BLOCKED_POLL).await;
        }
    }

    fn next_connection(&self) -> u64 {
        let mut last = locked(&self.last_connection);
        *last += 1;
        *last
    }

    /// Records a frame. Returns `None` if its message cannot be decoded.
    pub(super) fn record(
        &self,
        link: Link,
        connection: u64,
        direction: Direction,
        body: &[u8],
    ) -> Option<FrameIndex> {
        let payload = match direction {
            Direction::ToNode => FramePayload::ToNode(postcard::from_bytes(body).ok()?),
            Direction::FromNode => FramePayload::FromNode(postcard::from_bytes(body).ok()?),
        };
        let mut frames = locked(&self.frames);
        frames.push(Frame {
            at: self.now(),
            forwarded_at: None,
            link,
            connection,
            bytes: body.len() + size_of::<u32>(),
            payload,
        });
        Some(FrameIndex(frames.len() - 1))
    }

    pub(super) fn record_forwarded(&self, index: Option<FrameIndex>) {
        let now = self.now();
        let mut frames = locked(&self.frames);
        if let Some(frame) = index.and_then(|index| frames.get_mut(index.0)) {
            frame.forwarded_at = Some(now);
        }
    }
}

/// Returns the participant that opened a connection, from its opening message; `None` if that is not valid.
fn calling_participant(hello: &[u8]) -> Option<Participant> {
    let Ok(ToNode::Hello { caller, .. }) = postcard::from_bytes(hello) else {
        return None;
    };
    Some(match caller {
        Caller::Node { id: NodeId(id), .. } => Participant::Node(id),
        Caller::Router { index } => Participant::Router(index),
        Caller::Operator => Participant::Operator,
    })
}

/// Waits until a reset of the connections between the two participants of a link is requested.
async fn wait_for_reset(mut resets: watch::Receiver<ResetRequest>, link: Link) {
    while resets.changed().await.is_ok() {
        let reset_link = resets.borrow_and_update().link;
        if reset_link == link || reset_link.reversed() == link {
            return;
        }
    }
}
