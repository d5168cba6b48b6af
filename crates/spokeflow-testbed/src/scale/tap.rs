//! The tap: every connection to a voter passes here frame by frame, is counted, and may be held up.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};

use futures_util::{SinkExt, StreamExt};
use spokeflow_coordination::wire::{Caller, ToNode, LIMIT};
use spokeflow_raft::NodeId;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::Instant;
use tokio_util::codec::{FramedRead, FramedWrite, LengthDelimitedCodec};

use super::traffic::TapRecord;
use super::wire::{from_node_head, to_node_head, FromNodeHead, ToNodeHead};
use crate::fleet::Participant;
use crate::Micros;

/// Bytes of a frame before its body.
const LENGTH_BYTES: u64 = 4;
/// Requests of one connection that are remembered until they are answered.
const REQUESTS_KEPT: usize = 32;

type Input = FramedRead<OwnedReadHalf, LengthDelimitedCodec>;
type Output = FramedWrite<OwnedWriteHalf, LengthDelimitedCodec>;

fn codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder()
        .max_frame_length(LIMIT)
        .new_codec()
}

pub(super) struct Tap {
    start: Instant,
    /// How long a router may act on a grant, from the sending of its request.
    held: Micros,
    /// Whether routers take the host list from the voters.
    with_list: bool,
    /// Where each voter listens now, behind the address that everybody knows.
    targets: Mutex<BTreeMap<u32, SocketAddr>>,
    /// Routers from and to which nothing passes.
    cut: watch::Sender<Arc<BTreeSet<u32>>>,
    record: Mutex<TapRecord>,
}

/// One connection, counted as open while it lives.
struct Connection {
    tap: Arc<Tap>,
    caller: Participant,
    voter: Participant,
    /// Numbers of requests for a lease, and when they crossed.
    requests: Mutex<VecDeque<(u64, Micros)>>,
}

impl Drop for Connection {
    fn drop(&mut self) {
        let mut record = self.tap.record();
        record.closed(self.caller);
        record.closed(self.voter);
    }
}

#[derive(Clone, Copy)]
enum Direction {
    ToVoter,
    FromVoter,
}

impl Tap {
    pub(super) fn new(held: Micros, with_list: bool) -> Arc<Tap> {
        let (targets, record) = Default::default();
        Arc::new(Tap {
            start: Instant::now(),
            held,
            with_list,
            targets,
            cut: watch::Sender::default(),
            record,
        })
    }

    /// Microseconds since the start of the run.
    pub(super) fn now(&self) -> Micros {
        self.start.elapsed().as_micros() as Micros
    }

    pub(super) fn record(&self) -> MutexGuard<'_, TapRecord> {
        self.record.lock().expect("no holder panics")
    }

    /// Where a voter listens from now on; `None`: nowhere.
    pub(super) fn target(&self, voter: u32, address: Option<SocketAddr>) {
        let mut targets = self.targets.lock().expect("no holder panics");
        match address {
            Some(address) => targets.insert(voter, address),
            None => targets.remove(&voter),
        };
    }

    /// From now on nothing passes from and to these routers, and all others pass.
    pub(super) fn cut(&self, routers: BTreeSet<u32>) {
        self.cut.send_replace(Arc::new(routers));
    }

    /// Opens the address of one voter. Errors: no port can be had.
    pub(super) async fn open(self: &Arc<Self>, voter: u32) -> std::io::Result<SocketAddr> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let tap = self.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(tap.clone().forward_connection(voter, stream));
            }
        });
        Ok(address)
    }

    /// Waits while a router is cut off.
    async fn wait_until_connected(&self, node: Participant) {
        let Participant::Router(router) = node else {
            return;
        };
        let _ = self
            .cut
            .subscribe()
            .wait_for(|cut| !cut.contains(&router))
            .await;
    }

    async fn forward_connection(self: Arc<Self>, voter: u32, caller: TcpStream) {
        let _ = caller.set_nodelay(true);
        let (caller_in, caller_out) = caller.into_split();
        let mut caller_in = Input::new(caller_in, codec());
        let mut caller_out = Output::new(caller_out, codec());
        let Some(Ok(first)) = caller_in.next().await else {
            return;
        };
        let Ok(ToNode::Hello { caller: who, .. }) = postcard::from_bytes(&first) else {
            return;
        };
        let node = match who {
            Caller::Node { id: NodeId(id), .. } => Participant::Node(id),
            Caller::Router { index } => Participant::Router(index),
            Caller::Operator => Participant::Operator,
        };
        // A connection that is given up while it is held up never reaches the voter.
        tokio::select! {
            () = self.wait_until_connected(node) => {}
            _ = ended(caller_in.get_mut()), if matches!(node, Participant::Router(_)) => return,
        }
        let target = self
            .targets
            .lock()
            .expect("no holder panics")
            .get(&voter)
            .copied();
        let Some(target) = target else { return };
        let Ok(called) = TcpStream::connect(target).await else {
            return;
        };
        let _ = called.set_nodelay(true);
        let (voter_in, voter_out) = called.into_split();
        let mut voter_in = Input::new(voter_in, codec());
        let mut voter_out = Output::new(voter_out, codec());
        let connection = self.clone().connection(node, Participant::Node(voter));
        let length = first.len() as u64;
        if voter_out.send(first.freeze()).await.is_err() {
            return;
        }
        self.record()
            .passed(node, connection.voter, length + LENGTH_BYTES);
        tokio::select! {
            () = connection.pump(Direction::ToVoter, &mut caller_in, &mut voter_out) => {}
            () = connection.pump(Direction::FromVoter, &mut voter_in, &mut caller_out) => {}
        }
        // That it has ended is not known at the other side of a cut.
        self.wait_until_connected(node).await;
    }

    fn connection(self: Arc<Self>, caller: Participant, voter: Participant) -> Connection {
        {
            let mut record = self.record();
            record.opened(caller);
            record.opened(voter);
        }
        Connection {
            tap: self,
            caller,
            voter,
            requests: Mutex::default(),
        }
    }
}

/// Resolves when a connection on which nothing is expected ends.
async fn ended(input: &mut OwnedReadHalf) {
    if matches!(input.peek(&mut [0]).await, Ok(length) if length > 0) {
        std::future::pending::<()>().await;
    }
}

impl Connection {
    /// Hands frames on until one of both ends closes.
    async fn pump(&self, direction: Direction, input: &mut Input, output: &mut Output) {
        let (from, to) = match direction {
            Direction::ToVoter => (self.caller, self.voter),
            Direction::FromVoter => (self.voter, self.caller),
        };
        while let Some(Ok(body)) = input.next().await {
            self.tap.wait_until_connected(self.caller).await;
            let length = body.len() as u64 + LENGTH_BYTES;
            let (request, answer) = match direction {
                Direction::ToVoter => (to_node_head(&body), FromNodeHead::Other),
                Direction::FromVoter => (ToNodeHead::Other, from_node_head(&body)),
            };
            // Noted before it is handed on: its answer cannot come first.
            self.note_request(request);
            if output.send(body.freeze()).await.is_err() {
                return;
            }
            self.tap.record().passed(from, to, length);
            self.note_answer(answer);
        }
    }

    fn note_request(&self, request: ToNodeHead) {
        let now = self.tap.now();
        match (request, self.caller) {
            (ToNodeHead::Lease { number, in_force }, Participant::Router(router)) => {
                let mut requests = self.requests.lock().expect("no holder panics");
                requests.push_back((number, now));
                if requests.len() > REQUESTS_KEPT {
                    requests.pop_front();
                }
                self.tap
                    .record()
                    .propagation
                    .confirmed(now, router, in_force);
            }
            (ToNodeHead::Leads { term }, Participant::Node(voter)) => {
                self.tap.record().led(now, voter, term)
            }
            _ => {}
        }
    }

    fn note_answer(&self, answer: FromNodeHead) {
        let FromNodeHead::Granted {
            number,
            in_force,
            with_list,
        } = answer
        else {
            return;
        };
        let Participant::Router(router) = self.caller else {
            return;
        };
        let now = self.tap.now();
        let asked = {
            let mut requests = self.requests.lock().expect("no holder panics");
            let place = requests.iter().position(|(n, _)| *n == number);
            place
                .and_then(|place| requests.remove(place))
                .map_or(now, |(_, at)| at)
        };
        let mut record = self.tap.record();
        record.granted(now, router, asked, self.tap.held);
        record
            .propagation
            .granted(now, router, in_force, with_list, self.tap.with_list);
    }
}
