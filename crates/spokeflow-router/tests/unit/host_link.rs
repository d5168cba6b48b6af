//! The queue of messages to a host.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use spokeflow_proto::{FrameCodec, FromHost, Hello, Role, WORK_LIMIT};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;

use super::*;

/// Maximum number of messages queued for the host.
const QUEUE: usize = 8;

/// A host that answers the hello and never reads again.
async fn accept_and_never_read(listener: TcpListener) {
    let (stream, _) = listener.accept().await.unwrap();
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
}

fn config() -> LinkConfig {
    LinkConfig {
        hello: Hello::new(Role::Router, 0, 0),
        connect_timeout: Duration::from_secs(5),
        seed: 3,
        min_reconnect_delay: Duration::from_millis(50),
        max_reconnect_delay: Duration::from_secs(2),
        idle_timeout: Duration::from_secs(60),
        ping_timeout: Duration::from_secs(60),
    }
}

fn deliver(delivery: u64, body: Bytes) -> ToHost {
    ToHost::Deliver {
        delivery,
        op: 0,
        tenant: 0,
        key: 0,
        idempotency_key: 0,
        left_us: 60_000_000,
        body,
    }
}

/// The queue of a host that never reads must fill, so that the engine learns that the host is full. When the task moved all
/// messages into a list of its own, the bound of the queue had no effect.
#[test]
fn messages_that_a_host_does_not_read_fill_its_queue() {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    runtime.block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap().to_string();
        tokio::spawn(accept_and_never_read(listener));
        let (messages, message_queue) = mpsc::channel(QUEUE);
        let (events, mut engine_events) = mpsc::channel(4096);
        let listing = HostListing {
            address,
            incarnation: 1,
            is_open: true,
            is_gone: false,
            drain_deadline: None,
        };
        let (_listing, listing_updates) = watch::channel(listing);
        let link = HostLink {
            host: HostId(1),
            config: Arc::new(config()),
            clock: Clock::starting_now(),
            events,
            messages: message_queue,
            listing: listing_updates,
        };
        tokio::spawn(link.run());
        let body = Bytes::from(vec![0; 60_000]);
        let mut taken = 0;
        let mut refused = 0;
        for delivery in 0..1000 {
            let queued = QueuedMessage {
                message: deliver(delivery, body.clone()),
                send_deadline: Micros::MAX,
            };
            match messages.try_send(queued) {
                Ok(()) => taken += 1,
                Err(_) => refused += 1,
            }
            tokio::time::sleep(Duration::from_micros(300)).await;
        }
        // The socket buffers of both ends hold some megabytes at most.
        assert!(matches!(
            engine_events.recv().await,
            Some(EngineEvent::Input(Input::FromHost { .. }))
        ));
        assert!(
            taken < 400 && refused > 600,
            "{taken} taken, {refused} refused"
        );
    });
}
