//! Every connection to a node passes through the switchboard, frame by frame. The caller is read from the opening
//! message; what a link between two processes does to a frame is set by the faults of the run.

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

/// How often a blocked link is looked at again.
const BLOCKED_POLL: Duration = Duration::from_millis(5);

/// One end of a link.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Participant {
    /// A control-plane node, by its number.
    Node(u32),
    /// A router, by its number.
    Router(u32),
    /// An operator, or the rig in its place.
    Operator,
}

/// One direction between two processes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Link {
    /// Who sends.
    pub from: Participant,
    /// Who receives.
    pub to: Participant,
}

impl Link {
    /// The direction from one process to another.
    pub fn new(from: Participant, to: Participant) -> Link {
        Link { from, to }
    }

    /// Both directions between two processes.
    pub fn both(one: Participant, other: Participant) -> [Link; 2] {
        [Link::new(one, other), Link::new(other, one)]
    }

    fn reversed(self) -> Link {
        Link::new(self.to, self.from)
    }
}

/// What happens to the frames of a link. Shares are of the frames after the opening ones, in 0..=1.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LinkCondition {
    /// Nothing passes: frames wait until the link is restored.
    pub blocked: bool,
    /// Share of frames that are lost.
    pub loss: f64,
    /// Share of frames that arrive twice.
    pub duplication: f64,
    /// Share of frames that arrive behind the next one.
    pub reordering: f64,
    /// Longest delay of a frame.
    pub delay: Duration,
    /// Frames arrive a few bytes at a time.
    pub trickle: bool,
    /// Share of frames within which the connection ends.
    pub truncation: f64,
}

impl LinkCondition {
    /// Frames pass at once and unchanged.
    pub const HEALTHY: LinkCondition = LinkCondition {
        blocked: false,
        loss: 0.0,
        duplication: 0.0,
        reordering: 0.0,
        delay: Duration::ZERO,
        trickle: false,
        truncation: 0.0,
    };

    /// Nothing passes.
    pub const BLOCKED: LinkCondition = LinkCondition {
        blocked: true,
        ..LinkCondition::HEALTHY
    };
}

/// The message in a frame, by its direction.
#[derive(Clone, Debug)]
pub enum FramePayload {
    /// From the caller to the node.
    ToNode(ToNode),
    /// From the node to its caller.
    FromNode(FromNode),
}

/// A frame, as it left its sender.
#[derive(Clone, Debug)]
pub struct Frame {
    /// When the switchboard received it.
    pub at: Micros,
    /// When it was forwarded; `None` where it never was.
    pub forwarded_at: Option<Micros>,
    /// Between which processes.
    pub link: Link,
    /// Number of the connection.
    pub connection: u64,
    /// Length with its prefix.
    pub bytes: usize,
    /// The decoded message.
    pub payload: FramePayload,
}

/// The two ends of a connection that is to be reset, and a count that grows with each order.
struct ResetOrder {
    number: u64,
    link: Link,
}

/// Which way frames run over a connection.
#[derive(Clone, Copy)]
pub(super) enum Direction {
    ToNode,
    FromNode,
}

/// Position of a frame in the record.
#[derive(Clone, Copy)]
pub(super) struct FrameIndex(usize);

/// Forwards and records all frames between nodes and their callers.
pub(super) struct Switchboard {
    start: Instant,
    conditions: Mutex<HashMap<Link, LinkCondition>>,
    node_addresses: Mutex<HashMap<u32, SocketAddr>>,
    frames: Mutex<Vec<Frame>>,
    connections: Mutex<u64>,
    resets: watch::Sender<ResetOrder>,
}

impl Switchboard {
    pub(super) fn new(start: Instant) -> Arc<Self> {
        let none = ResetOrder {
            number: 0,
            link: Link::new(Participant::Operator, Participant::Operator),
        };
        Arc::new(Switchboard {
            start,
            conditions: Mutex::default(),
            node_addresses: Mutex::default(),
            frames: Mutex::default(),
            connections: Mutex::default(),
            resets: watch::Sender::new(none),
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

    /// Ends the connections between two processes now.
    pub(super) fn reset(&self, link: Link) {
        self.resets.send_modify(|order| {
            order.number += 1;
            order.link = link;
        });
    }

    /// Sets where a node listens now, behind the address that its callers use; `None` while it does not run.
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

    /// Takes all frames so far, in the order of their arrival.
    pub(super) fn take_frames(&self) -> Vec<Frame> {
        std::mem::take(&mut *locked(&self.frames))
    }

    /// Opens the address at which callers reach a node.
    ///
    /// # Errors
    ///
    /// No port can be had.
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
        let Some(process) = caller_of(&hello) else {
            return;
        };
        let link = Link::new(process, Participant::Node(node));
        let address = locked(&self.node_addresses).get(&node).copied();
        let Some(address) = address else { return };
        self.wait_until_unblocked(link).await;
        let Ok(mut called) = TcpStream::connect(address).await else {
            return;
        };
        let connection = self.next_connection();
        // Without effect on what is checked: only the timing of small frames gets worse.
        let _ = caller.set_nodelay(true);
        let _ = called.set_nodelay(true);
        let resets = self.resets.subscribe();
        self.record(link, connection, Direction::ToNode, &hello);
        if write_frame(&mut called, &hello).await.is_err() {
            return;
        }
        let (caller_input, caller_output) = caller.split();
        let (called_input, called_output) = called.split();
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
            () = to_node.run(caller_input, called_output) => {}
            () = from_node.run(called_input, caller_output) => {}
            () = reset_ordered(resets, link) => {}
        }
    }

    pub(super) async fn wait_until_unblocked(&self, link: Link) {
        while self.condition(link).blocked {
            sleep(BLOCKED_POLL).await;
        }
    }

    fn next_connection(&self) -> u64 {
        let mut connections = locked(&self.connections);
        *connections += 1;
        *connections
    }

    /// Records a frame; `None` where its message cannot be decoded.
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

/// Who calls, by the opening message of a connection.
fn caller_of(hello: &[u8]) -> Option<Participant> {
    let Ok(ToNode::Hello { caller, .. }) = postcard::from_bytes(hello) else {
        return None;
    };
    Some(match caller {
        Caller::Node { id: NodeId(id), .. } => Participant::Node(id),
        Caller::Router { index } => Participant::Router(index),
        Caller::Operator => Participant::Operator,
    })
}

/// Waits until the connections between the two processes of a link are to end.
async fn reset_ordered(mut resets: watch::Receiver<ResetOrder>, link: Link) {
    while resets.changed().await.is_ok() {
        let ordered = resets.borrow_and_update().link;
        if ordered == link || ordered.reversed() == link {
            return;
        }
    }
}
