//! One task for each host: its connection, made when there is work, kept, and made anew with growing pauses.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::BytesMut;
use futures_util::StreamExt;
use spokeflow_core::{HostId, Micros};
use spokeflow_engine::{Input, Outgoing, TransportFailure};
use spokeflow_proto::{FrameCodec, FromHost, Hello, ToHost, WORK_LIMIT};
use tokio::io::AsyncWriteExt;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::TcpSocket;
use tokio::sync::{mpsc, watch};
use tokio::time::{sleep_until, timeout, Instant};
use tokio_util::codec::FramedRead;
use tracing::{debug, info};

use spokeflow_runtime::{Backoff, Clock};

use crate::event::EngineEvent;

/// Encoded and not yet taken by the system at most, beside what one message adds.
const WRITE_AHEAD: usize = 16 << 10;
/// Messages taken from the queue of `--host-queue` ahead of the connection: what a host does not read stays in
/// that queue and fills it, and does not pile up here.
const TAKEN_AHEAD: usize = 16;
/// Bytes that the system queues for a host at most.
const SYSTEM_QUEUE: u32 = 64 << 10;

/// What the list says of the host.
#[derive(Clone, Debug, PartialEq)]
pub struct Listed {
    pub address: String,
    pub incarnation: u64,
    pub open: bool,
    pub gone: bool,
    /// When an order to drain must have been carried out.
    pub close_by: Option<Instant>,
}

/// How connections are made.
#[derive(Clone, Debug)]
pub struct LinkTerms {
    pub hello: Hello,
    pub connect_timeout: Duration,
    /// Of all chance in pauses.
    pub seed: u64,
    pub first_pause: Duration,
    pub longest_pause: Duration,
    pub idle: Duration,
    /// A way on which nothing has come for so long, a ping among it, is cut.
    pub way_timeout: Duration,
}

impl LinkTerms {
    /// Backoff of one of this router's ways, by its number.
    pub fn backoff(&self, peer: u64) -> Backoff {
        Backoff::new(self.seed, peer, self.first_pause, self.longest_pause)
    }
}

pub struct HostLink {
    pub host: HostId,
    pub terms: Arc<LinkTerms>,
    pub clock: Arc<Clock>,
    pub core: mpsc::Sender<EngineEvent>,
    pub orders: mpsc::Receiver<(ToHost, Micros)>,
    pub listed: watch::Receiver<Listed>,
}

type Reader = FramedRead<OwnedReadHalf, FrameCodec<FromHost, ToHost>>;

/// Why the connection is no more.
enum Ended {
    Idle,
    Broken,
    /// Dropped by the router, since nothing has come on it.
    Silent,
    /// The router is ending, or the host is gone and has nothing left.
    Done,
}

impl HostLink {
    pub async fn run(mut self) {
        let mut outgoing = Outgoing::default();
        let mut backoff = self.terms.backoff(u64::from(self.host.0));
        let mut failures = 0_u32;
        let mut not_before = Instant::now();
        loop {
            if !outgoing.has_waiting() {
                tokio::select! {
                    order = self.orders.recv() => match order {
                        Some(order) => self.order(&mut outgoing, order).await,
                        None => return,
                    },
                    changed = self.listed.changed() => match changed {
                        Ok(()) => if self.heed(&mut outgoing).await { return },
                        Err(_) => return,
                    },
                }
                continue;
            }
            if Instant::now() < not_before {
                self.lost(
                    outgoing.on_disconnected(0).unsent,
                    TransportFailure::NotConnected,
                )
                .await;
                continue;
            }
            match self.connect(&mut outgoing).await {
                Ok((reader, writer)) => {
                    let since = Instant::now();
                    match self.work(&mut outgoing, reader, writer).await {
                        Ended::Idle => {}
                        Ended::Done => return,
                        Ended::Broken | Ended::Silent => {
                            // A host that takes connections and breaks them at once is left alone as well.
                            failures = if since.elapsed() > self.terms.longest_pause {
                                0
                            } else {
                                failures + 1
                            };
                            not_before = Instant::now() + backoff.delay(failures.saturating_sub(1));
                        }
                    }
                }
                Err(fault) => {
                    not_before = Instant::now() + backoff.delay(failures);
                    failures += 1;
                    if let Some(kept_back) = self.clock.allow_log_line() {
                        info!(
                            host = self.host.0,
                            failures, kept_back, fault, "host not connected"
                        );
                    }
                    self.lost(
                        outgoing.on_disconnected(0).unsent,
                        TransportFailure::NotConnected,
                    )
                    .await;
                }
            }
        }
    }

    async fn order(&self, outgoing: &mut Outgoing, (message, leave_by): (ToHost, Micros)) {
        if let Some(delivery) = outgoing.push(message, leave_by) {
            self.lost(vec![delivery], TransportFailure::NotSent).await;
        }
    }

    /// Carries out what the list has said; true where this task is to end.
    async fn heed(&mut self, outgoing: &mut Outgoing) -> bool {
        let listed = self.listed.borrow_and_update().clone();
        if listed.open {
            outgoing.open();
        } else {
            let unsent = outgoing.close();
            self.lost(unsent, TransportFailure::NotSent).await;
        }
        listed.gone && outgoing.is_idle()
    }

    async fn lost(&self, deliveries: Vec<u64>, end: TransportFailure) {
        for delivery in deliveries {
            let input = Input::DeliveryFailed {
                host: self.host.0,
                delivery,
                failure: end,
            };
            let _ = self.core.send(EngineEvent::Input(input)).await;
        }
    }

    /// Makes the connection; orders are taken meanwhile, so that a drain or a cancel does not wait for it.
    async fn connect(
        &mut self,
        outgoing: &mut Outgoing,
    ) -> Result<(Reader, OwnedWriteHalf), String> {
        let listed = self.listed.borrow().clone();
        let (host, hello) = (self.host, self.terms.hello.clone());
        let opening = timeout(self.terms.connect_timeout, open(host, hello, listed));
        tokio::pin!(opening);
        let (reader, writer, welcome) = loop {
            tokio::select! {
                opened = &mut opening => break opened.map_err(|_| "not connected in time".to_string())??,
                Some(order) = self.orders.recv(), if outgoing.waiting() < TAKEN_AHEAD => {
                    self.order(outgoing, order).await
                }
                Ok(()) = self.listed.changed() => { self.heed(outgoing).await; }
            }
        };
        // The engine hears of the process first: what is placed on it from now on counts it as cold.
        let FromHost::Welcome { incarnation, .. } = welcome else {
            return Err("no welcome".into());
        };
        let known = self.listed.borrow().incarnation;
        let _ = self
            .core
            .send(EngineEvent::Input(Input::FromHost {
                host: host.0,
                message: welcome,
            }))
            .await;
        if incarnation != known {
            // What waits was meant for another process, maybe another build.
            self.lost(
                outgoing.on_disconnected(0).unsent,
                TransportFailure::NotConnected,
            )
            .await;
        }
        debug!(host = host.0, incarnation, "host connected");
        Ok((reader, writer))
    }

    async fn work(
        &mut self,
        outgoing: &mut Outgoing,
        mut reader: Reader,
        mut writer: OwnedWriteHalf,
    ) -> Ended {
        let codec = FrameCodec::<FromHost, ToHost>::new(WORK_LIMIT);
        let mut bytes = BytesMut::new();
        let mut idle_at = Instant::now() + self.terms.idle;
        let way = self.terms.way_timeout;
        let (mut quiet_since, mut pinged, mut was_idle) = (Instant::now(), false, true);
        let ended = loop {
            let mut late = Vec::new();
            while bytes.len() < WRITE_AHEAD {
                let Some(message) = outgoing.next(self.clock.now(), &mut late) else {
                    break;
                };
                let before = bytes.len();
                if codec.write(&message, &mut bytes).is_err() {
                    // Too long for the host's link: it never leaves.
                    if let ToHost::Deliver { delivery, .. } = message {
                        late.push(delivery);
                    }
                    continue;
                }
                outgoing.on_encoded(&message, bytes.len() - before);
            }
            if !late.is_empty() {
                self.lost(late, TransportFailure::NotSent).await;
            }
            if !outgoing.is_idle() {
                idle_at = Instant::now() + self.terms.idle;
                if std::mem::take(&mut was_idle) {
                    (quiet_since, pinged) = (Instant::now(), false);
                }
            }
            was_idle = outgoing.is_idle();
            let listen_until = quiet_since + if pinged { way } else { way / 2 };
            let close_by = self
                .listed
                .borrow()
                .close_by
                .filter(|_| outgoing.is_closed() && outgoing.is_mid_frame());
            tokio::select! {
                biased;
                changed = self.listed.changed() => match changed {
                    Ok(()) => if self.heed(outgoing).await { break Ended::Done },
                    Err(_) => break Ended::Done,
                },
                // A frame that the host has not taken by the end of the grace must not arrive after it.
                _ = sleep_until(close_by.unwrap_or_else(Instant::now)), if close_by.is_some() => {
                    info!(host = self.host.0, "draining host does not read: connection dropped");
                    let _ = writer.as_ref().set_zero_linger();
                    break Ended::Broken;
                }
                taken = writer.write_buf(&mut bytes), if !bytes.is_empty() => match taken {
                    Ok(n) if n > 0 => outgoing.on_written(bytes.len()),
                    _ => break Ended::Broken,
                },
                read = reader.next() => match read {
                    Some(Ok(FromHost::Pong)) => {
                        outgoing.on_pong();
                        (quiet_since, pinged) = (Instant::now(), false);
                    }
                    Some(Ok(message)) => {
                        (quiet_since, pinged) = (Instant::now(), false);
                        match &message {
                            FromHost::Acked { delivery, .. } | FromHost::Error { delivery }
                                | FromHost::Full { delivery } => outgoing.on_answered(*delivery),
                            FromHost::Welcome { .. } => break Ended::Broken,
                            _ => {}
                        }
                        let input = Input::FromHost { host: self.host.0, message };
                        if self.core.send(EngineEvent::Input(input)).await.is_err() {
                            break Ended::Done;
                        }
                    }
                    Some(Err(fault)) => {
                        if let Some(kept_back) = self.clock.allow_log_line() {
                            info!(host = self.host.0, kept_back, %fault, "host connection broken");
                        }
                        break Ended::Broken;
                    }
                    None => break Ended::Broken,
                },
                order = self.orders.recv(), if outgoing.waiting() < TAKEN_AHEAD => match order {
                    Some(order) => self.order(outgoing, order).await,
                    None => break Ended::Done,
                },
                _ = sleep_until(idle_at), if outgoing.is_idle() => break Ended::Idle,
                _ = sleep_until(listen_until), if !outgoing.is_idle() => {
                    if !pinged {
                        pinged = true;
                        outgoing.push(ToHost::Ping, Micros::MAX);
                        continue;
                    }
                    // What the system still holds for a way that is cut would arrive when the cut ends, after
                    // hosts have forgotten the mark of a repeat: it is dropped with the connection.
                    if let Some(kept_back) = self.clock.allow_log_line() {
                        info!(host = self.host.0, kept_back, "the way to the host is silent: connection dropped");
                    }
                    let _ = writer.as_ref().set_zero_linger();
                    break Ended::Silent;
                }
            }
        };
        let undelivered = outgoing.on_disconnected(bytes.len());
        let end = if matches!(ended, Ended::Silent) {
            TransportFailure::Unresponsive
        } else {
            TransportFailure::Reset
        };
        self.lost(undelivered.unsent, TransportFailure::NotSent)
            .await;
        self.lost(undelivered.unconfirmed, end).await;
        ended
    }
}

async fn open(
    host: HostId,
    hello: Hello,
    listed: Listed,
) -> Result<(Reader, OwnedWriteHalf, FromHost), String> {
    let address: SocketAddr = listed
        .address
        .parse()
        .map_err(|_| format!("'{}' is no address", listed.address))?;
    let socket = if address.is_ipv4() {
        TcpSocket::new_v4()
    } else {
        TcpSocket::new_v6()
    };
    let socket = socket.map_err(|e| e.to_string())?;
    // What the system has taken cannot be taken back when the host drains: little of it, then.
    let _ = socket.set_send_buffer_size(SYSTEM_QUEUE);
    let stream = socket.connect(address).await.map_err(|e| e.to_string())?;
    let _ = stream.set_nodelay(true);
    let (read, mut write) = stream.into_split();
    let mut bytes = BytesMut::new();
    let codec = FrameCodec::<FromHost, ToHost>::new(WORK_LIMIT);
    codec
        .write(&ToHost::Hello(hello), &mut bytes)
        .map_err(|e| e.to_string())?;
    write.write_all(&bytes).await.map_err(|e| e.to_string())?;
    let mut reader = FramedRead::with_capacity(read, codec, 1024);
    match reader.next().await {
        Some(Ok(welcome @ FromHost::Welcome { .. })) => {
            let FromHost::Welcome { host: named, .. } = &welcome else {
                unreachable!("matched above")
            };
            if *named != host.0 {
                return Err(format!(
                    "host {named} answers at the address of host {}",
                    host.0
                ));
            }
            Ok((reader, write, welcome))
        }
        Some(Ok(FromHost::Refused(refused))) => Err(format!("refused: {}", refused.text)),
        Some(Ok(_)) => Err("no welcome".into()),
        Some(Err(fault)) => Err(fault.to_string()),
        None => Err("closed before its welcome".into()),
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use spokeflow_proto::Role;
    use tokio::net::TcpListener;

    /// A host that greets and never reads again: its queue must fill, so that the engine hears `Full`. The task
    /// once took all that came into a list of its own, and the bound of the queue bound nothing.
    #[test]
    fn what_a_host_does_not_read_fills_its_queue() {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
            .unwrap();
        runtime.block_on(async {
            let port = TcpListener::bind("127.0.0.1:0").await.unwrap();
            let address = port.local_addr().unwrap().to_string();
            tokio::spawn(async move {
                let (stream, _) = port.accept().await.unwrap();
                let (_read, mut write) = stream.into_split();
                let codec = FrameCodec::<ToHost, FromHost>::new(WORK_LIMIT);
                let mut bytes = BytesMut::new();
                let welcome = FromHost::Welcome {
                    host: 1,
                    build: 1,
                    incarnation: 1,
                    up_us: 0,
                };
                codec.write(&welcome, &mut bytes).unwrap();
                write.write_all(&bytes).await.unwrap();
                std::future::pending::<()>().await
            });
            let terms = LinkTerms {
                hello: Hello::new(Role::Router, 0, 0),
                connect_timeout: Duration::from_secs(5),
                seed: 3,
                first_pause: Duration::from_millis(50),
                longest_pause: Duration::from_secs(2),
                idle: Duration::from_secs(60),
                way_timeout: Duration::from_secs(60),
            };
            const QUEUE: usize = 8;
            let (orders, inbox) = mpsc::channel(QUEUE);
            let (core, mut heard) = mpsc::channel(4096);
            let listed = Listed {
                address,
                incarnation: 1,
                open: true,
                gone: false,
                close_by: None,
            };
            let (_tell, told) = watch::channel(listed);
            let link = HostLink {
                host: HostId(1),
                terms: Arc::new(terms),
                clock: Clock::starting_now(),
                core,
                orders: inbox,
                listed: told,
            };
            tokio::spawn(link.run());
            let body = bytes::Bytes::from(vec![0; 60_000]);
            let deliver = |delivery| {
                let body = body.clone();
                let left_us = 60_000_000;
                ToHost::Deliver {
                    delivery,
                    op: 0,
                    tenant: 0,
                    key: 0,
                    idempotency_key: 0,
                    left_us,
                    body,
                }
            };
            let (mut taken, mut refused) = (0, 0);
            for delivery in 0..1000 {
                match orders.try_send((deliver(delivery), Micros::MAX)) {
                    Ok(()) => taken += 1,
                    Err(_) => refused += 1,
                }
                tokio::time::sleep(Duration::from_micros(300)).await;
            }
            // What the two systems hold between them is some megabytes at most.
            assert!(matches!(
                heard.recv().await,
                Some(EngineEvent::Input(Input::FromHost { .. }))
            ));
            assert!(
                taken < 400 && refused > 600,
                "{taken} taken, {refused} refused"
            );
        });
    }
}
