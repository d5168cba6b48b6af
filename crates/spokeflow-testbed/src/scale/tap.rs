//! The tap of a scale run: a proxy for all connections to voters that forwards and counts them frame by frame, and can
//! cut off routers. The recorder of the observations of a scenario run is `crate::tap`.

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

/// Length in bytes of the length prefix of a frame.
const LENGTH_BYTES: u64 = 4;
/// Maximum number of lease requests that are remembered per connection until their response.
const MAX_PENDING_REQUESTS: usize = 32;

type Input = FramedRead<OwnedReadHalf, LengthDelimitedCodec>;
type Output = FramedWrite<OwnedWriteHalf, LengthDelimitedCodec>;

fn codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder()
        .max_frame_length(LIMIT)
        .new_codec()
}

/// Listens for the callers of each voter and forwards their connections.
pub(super) struct Tap {
    start: Instant,
    /// Duration of a lease by the router's clock, counted from the sending of its request.
    holder_duration: Micros,
    /// Whether routers take the host list from the voters.
    with_list: bool,
    /// Address at which each running voter listens. Callers know only the address of the tap.
    targets: Mutex<BTreeMap<u32, SocketAddr>>,
    /// Routers that are cut off: no frame from or to them is forwarded.
    cut_off: watch::Sender<Arc<BTreeSet<u32>>>,
    record: Mutex<TapRecord>,
}

/// One forwarded connection, counted as open until it is dropped.
struct Connection {
    tap: Arc<Tap>,
    caller: Participant,
    voter: Participant,
    /// Lease requests without a response yet: their number and when the tap forwarded them.
    pending_requests: Mutex<VecDeque<(u64, Micros)>>,
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
    pub(super) fn new(holder_duration: Micros, with_list: bool) -> Arc<Tap> {
        let (targets, record) = Default::default();
        Arc::new(Tap {
            start: Instant::now(),
            holder_duration,
            with_list,
            targets,
            cut_off: watch::Sender::default(),
            record,
        })
    }

    /// Returns the time since the start of the run.
    pub(super) fn now(&self) -> Micros {
        self.start.elapsed().as_micros() as Micros
    }

    pub(super) fn record(&self) -> MutexGuard<'_, TapRecord> {
        self.record.lock().expect("no holder panics")
    }

    /// Sets the address at which a voter listens; `None`: it does not run.
    pub(super) fn set_target(&self, voter: u32, address: Option<SocketAddr>) {
        let mut targets = self.targets.lock().expect("no holder panics");
        match address {
            Some(address) => targets.insert(voter, address),
            None => targets.remove(&voter),
        };
    }

    /// Cuts off these routers, and no others, from the voters.
    pub(super) fn cut_off(&self, routers: BTreeSet<u32>) {
        self.cut_off.send_replace(Arc::new(routers));
    }

    /// Listens for the callers of one voter and returns the address. Errors: no port can be opened.
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

    /// Waits while a router is cut off. Returns at once for other participants.
    async fn wait_until_connected(&self, node: Participant) {
        let Participant::Router(router) = node else {
            return;
        };
        let _ = self
            .cut_off
            .subscribe()
            .wait_for(|cut_off| !cut_off.contains(&router))
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
        let Ok(ToNode::Hello {
            caller: identity, ..
        }) = postcard::from_bytes(&first)
        else {
            return;
        };
        let participant = match identity {
            Caller::Node { id: NodeId(id), .. } => Participant::Node(id),
            Caller::Router { index } => Participant::Router(index),
            Caller::Operator => Participant::Operator,
        };
        // A connection that its caller closes while it is cut off never reaches the voter.
        tokio::select! {
            () = self.wait_until_connected(participant) => {}
            _ = wait_until_closed(caller_in.get_mut()), if matches!(participant, Participant::Router(_)) => return,
        }
        let target = self
            .targets
            .lock()
            .expect("no holder panics")
            .get(&voter)
            .copied();
        let Some(target) = target else { return };
        let Ok(voter_stream) = TcpStream::connect(target).await else {
            return;
        };
        let _ = voter_stream.set_nodelay(true);
        let (voter_in, voter_out) = voter_stream.into_split();
        let mut voter_in = Input::new(voter_in, codec());
        let mut voter_out = Output::new(voter_out, codec());
        let connection = self
            .clone()
            .connection(participant, Participant::Node(voter));
        let length = first.len() as u64;
        if voter_out.send(first.freeze()).await.is_err() {
            return;
        }
        self.record()
            .forwarded(participant, connection.voter, length + LENGTH_BYTES);
        tokio::select! {
            () = connection.pump(Direction::ToVoter, &mut caller_in, &mut voter_out) => {}
            () = connection.pump(Direction::FromVoter, &mut voter_in, &mut caller_out) => {}
        }
        // While the router is cut off, the connection on the other side stays open: the close cannot reach it.
        self.wait_until_connected(participant).await;
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
            pending_requests: Mutex::default(),
        }
    }
}

/// Waits until a connection is closed. Waits forever once a byte arrives.
async fn wait_until_closed(input: &mut OwnedReadHalf) {
    if matches!(input.peek(&mut [0]).await, Ok(length) if length > 0) {
        std::future::pending::<()>().await;
    }
}

impl Connection {
    /// Forwards frames in one direction until either end closes.
    async fn pump(&self, direction: Direction, input: &mut Input, output: &mut Output) {
        let (from, to) = match direction {
            Direction::ToVoter => (self.caller, self.voter),
            Direction::FromVoter => (self.voter, self.caller),
        };
        while let Some(Ok(body)) = input.next().await {
            self.tap.wait_until_connected(self.caller).await;
            let length = body.len() as u64 + LENGTH_BYTES;
            let (request, response) = match direction {
                Direction::ToVoter => (to_node_head(&body), FromNodeHead::Other),
                Direction::FromVoter => (ToNodeHead::Other, from_node_head(&body)),
            };
            // Recorded before it is forwarded, so that its response cannot be recorded first.
            self.record_request(request);
            if output.send(body.freeze()).await.is_err() {
                return;
            }
            self.tap.record().forwarded(from, to, length);
            self.record_response(response);
        }
    }

    fn record_request(&self, request: ToNodeHead) {
        let now = self.tap.now();
        match (request, self.caller) {
            (ToNodeHead::Lease { number, in_force }, Participant::Router(router)) => {
                let mut requests = self.pending_requests.lock().expect("no holder panics");
                requests.push_back((number, now));
                if requests.len() > MAX_PENDING_REQUESTS {
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

    fn record_response(&self, response: FromNodeHead) {
        let FromNodeHead::Granted {
            number,
            in_force,
            with_list,
        } = response
        else {
            return;
        };
        let Participant::Router(router) = self.caller else {
            return;
        };
        let now = self.tap.now();
        let requested_at = {
            let mut requests = self.pending_requests.lock().expect("no holder panics");
            let index = requests.iter().position(|(n, _)| *n == number);
            index
                .and_then(|index| requests.remove(index))
                .map_or(now, |(_, at)| at)
        };
        let mut record = self.tap.record();
        record.granted(now, router, requested_at, self.tap.holder_duration);
        record
            .propagation
            .granted(now, router, in_force, with_list, self.tap.with_list);
    }
}
