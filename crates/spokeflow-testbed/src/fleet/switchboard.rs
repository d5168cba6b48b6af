//! Every connection to a keeper passes here, frame by frame. Who calls is read from the opening message; what each way
//! between two processes does to a frame is set by the plan of the day.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use rand::RngExt;
use spokeflow_coordination::wire::{Caller, FromNode, ToNode};
use spokeflow_raft::NodeId;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::{sleep, Instant};

use crate::Micros;

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Node {
    Keeper(u32),
    Router(u32),
    Person,
}

/// What happens to frames from one process to another.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Way {
    /// Nothing passes; it waits, and passes when the way is mended.
    pub held: bool,
    /// Shares of the frames after the opening ones.
    pub lost: f64,
    pub twice: f64,
    /// Put behind the next one.
    pub late: f64,
    pub delay: Duration,
    /// A few bytes at a time.
    pub trickles: bool,
    /// The connection ends within a frame, by this chance for each.
    pub torn: f64,
}

impl Way {
    pub const SOUND: Way = Way {
        held: false,
        lost: 0.0,
        twice: 0.0,
        late: 0.0,
        delay: Duration::ZERO,
        trickles: false,
        torn: 0.0,
    };
}

/// A frame, as it left its sender.
#[derive(Clone, Debug)]
pub enum Crossed {
    Up(ToNode),
    Down(FromNode),
}

#[derive(Clone, Debug)]
pub struct Frame {
    pub at: Micros,
    /// When it was handed on; `None` where it never was.
    pub on: Option<Micros>,
    pub from: Node,
    pub to: Node,
    /// Number of the connection.
    pub conn: u64,
    pub bytes: usize,
    pub what: Crossed,
}

pub struct Switchboard {
    start: Instant,
    ways: Mutex<HashMap<(Node, Node), Way>>,
    targets: Mutex<HashMap<u32, SocketAddr>>,
    frames: Mutex<Vec<Frame>>,
    conns: Mutex<u64>,
    /// Ends all connections of a pair of processes: the pair, and a count that grows.
    resets: watch::Sender<(u64, Node, Node)>,
}

impl Switchboard {
    pub fn new(start: Instant) -> Arc<Self> {
        let resets = watch::Sender::new((0, Node::Person, Node::Person));
        let (ways, targets, frames, conns) = Default::default();
        Arc::new(Switchboard {
            start,
            ways,
            targets,
            frames,
            conns,
            resets,
        })
    }

    pub fn now(&self) -> Micros {
        self.start.elapsed().as_micros() as Micros
    }

    pub fn way(&self, from: Node, to: Node) -> Way {
        self.ways
            .lock()
            .expect("no holder panics")
            .get(&(from, to))
            .copied()
            .unwrap_or(Way::SOUND)
    }

    pub fn set(&self, from: Node, to: Node, way: Way) {
        self.ways
            .lock()
            .expect("no holder panics")
            .insert((from, to), way);
    }

    pub fn mend(&self) {
        self.ways.lock().expect("no holder panics").clear();
    }

    /// Ends the connections between two processes now.
    pub fn reset(&self, a: Node, b: Node) {
        self.resets.send_modify(|r| *r = (r.0 + 1, a, b));
    }

    /// Where a keeper now listens, behind the address that everybody knows.
    pub fn target(&self, keeper: u32, address: Option<SocketAddr>) {
        let mut targets = self.targets.lock().expect("no holder panics");
        match address {
            Some(address) => drop(targets.insert(keeper, address)),
            None => drop(targets.remove(&keeper)),
        }
    }

    /// All frames so far, in the order of their numbers.
    pub fn take(&self) -> Vec<Frame> {
        std::mem::take(&mut *self.frames.lock().expect("no holder panics"))
    }

    /// Opens the address of one keeper. Errors: no port can be had.
    pub async fn open(self: &Arc<Self>, keeper: u32) -> std::io::Result<SocketAddr> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let board = self.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(board.clone().carry(keeper, stream));
            }
        });
        Ok(address)
    }

    async fn carry(self: Arc<Self>, keeper: u32, mut caller: TcpStream) {
        let Some(first) = read_frame(&mut caller).await else {
            return;
        };
        let Ok(ToNode::Hello { caller: who, .. }) = postcard::from_bytes(&first) else {
            return;
        };
        let from = match who {
            Caller::Node { id: NodeId(id), .. } => Node::Keeper(id),
            Caller::Router { index } => Node::Router(index),
            Caller::Operator => Node::Person,
        };
        let to = Node::Keeper(keeper);
        let target = self
            .targets
            .lock()
            .expect("no holder panics")
            .get(&keeper)
            .copied();
        let Some(target) = target else { return };
        while self.way(from, to).held {
            sleep(Duration::from_millis(5)).await;
        }
        let Ok(mut called) = TcpStream::connect(target).await else {
            return;
        };
        let conn = {
            let mut conns = self.conns.lock().expect("no holder panics");
            *conns += 1;
            *conns
        };
        let _ = (caller.set_nodelay(true), called.set_nodelay(true));
        let mut resets = self.resets.subscribe();
        self.note(from, to, conn, true, &first);
        if write_frame(&mut called, &first).await.is_err() {
            return;
        }
        let (up_in, up_out) = caller.split();
        let (down_in, down_out) = called.split();
        tokio::select! {
            _ = self.pump((from, to), conn, true, up_in, down_out) => {}
            _ = self.pump((to, from), conn, false, down_in, up_out) => {}
            _ = async {
                loop {
                    if resets.changed().await.is_err() {
                        return;
                    }
                    let (_, a, b) = *resets.borrow_and_update();
                    if (a, b) == (from, to) || (b, a) == (from, to) {
                        return;
                    }
                }
            } => {}
        }
    }

    /// Notes a frame, which runs up from the caller or down to it; answers its number.
    fn note(&self, from: Node, to: Node, conn: u64, up: bool, body: &[u8]) -> Option<usize> {
        let what = match up {
            true => Crossed::Up(postcard::from_bytes(body).ok()?),
            false => Crossed::Down(postcard::from_bytes(body).ok()?),
        };
        let mut frames = self.frames.lock().expect("no holder panics");
        let bytes = body.len() + 4;
        frames.push(Frame {
            at: self.now(),
            on: None,
            from,
            to,
            conn,
            bytes,
            what,
        });
        Some(frames.len() - 1)
    }

    fn handed_on(&self, number: Option<usize>) {
        let (now, mut frames) = (self.now(), self.frames.lock().expect("no holder panics"));
        if let Some(frame) = number.and_then(|n| frames.get_mut(n)) {
            frame.on = Some(now);
        }
    }

    async fn pump(
        &self,
        (from, to): (Node, Node),
        conn: u64,
        up: bool,
        mut input: impl AsyncReadExt + Unpin,
        mut output: impl AsyncWriteExt + Unpin,
    ) {
        let mut behind: Option<(Option<usize>, Vec<u8>)> = None;
        let mut first = true;
        while let Some(frame) = read_frame(&mut input).await {
            let number = self.note(from, to, conn, up, &frame);
            let way = self.way(from, to);
            let drawn = |p: f64| p > 0.0 && rand::rng().random_bool(p);
            if !way.delay.is_zero() {
                let part = rand::rng().random_range(0.2..1.0);
                sleep(way.delay.mul_f64(part)).await;
            }
            while self.way(from, to).held {
                sleep(Duration::from_millis(5)).await;
            }
            // Opening messages pass: without them nothing would be tried at all.
            if !std::mem::take(&mut first) {
                if drawn(way.lost) {
                    continue;
                }
                if drawn(way.torn) {
                    let half = frame.len() as u32;
                    let _ = output.write_all(&half.to_be_bytes()).await;
                    let _ = output.write_all(&frame[..frame.len() / 2]).await;
                    return;
                }
                if behind.is_none() && drawn(way.late) {
                    behind = Some((number, frame));
                    continue;
                }
            }
            let copies = 1 + usize::from(drawn(way.twice));
            let now: Vec<_> = std::iter::repeat_n((number, frame), copies)
                .chain(behind.take())
                .collect();
            for (number, frame) in now {
                let sent = match way.trickles {
                    true => trickle(&mut output, &frame).await,
                    false => write_frame(&mut output, &frame).await,
                };
                if sent.is_err() {
                    return;
                }
                self.handed_on(number);
            }
        }
    }
}

async fn read_frame(from: &mut (impl AsyncReadExt + Unpin)) -> Option<Vec<u8>> {
    let length = from.read_u32().await.ok()?;
    let mut body = vec![0; (length as usize).min(spokeflow_coordination::wire::LIMIT)];
    from.read_exact(&mut body).await.ok()?;
    Some(body)
}

async fn write_frame(to: &mut (impl AsyncWriteExt + Unpin), body: &[u8]) -> std::io::Result<()> {
    let mut frame = (body.len() as u32).to_be_bytes().to_vec();
    frame.extend(body);
    to.write_all(&frame).await
}

async fn trickle(to: &mut (impl AsyncWriteExt + Unpin), body: &[u8]) -> std::io::Result<()> {
    let mut frame = (body.len() as u32).to_be_bytes().to_vec();
    frame.extend(body);
    for part in frame.chunks(16) {
        to.write_all(part).await?;
        to.flush().await?;
        sleep(Duration::from_millis(1)).await;
    }
    Ok(())
}
