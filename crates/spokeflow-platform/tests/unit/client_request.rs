//! Requests of many clients at once, and the memory that they hold together.

use std::collections::HashMap;

use bytes::BytesMut;
use spokeflow_core::Repeat;
use spokeflow_http::{RequestPart, ServerCodec};
use tokio_util::codec::Decoder;

use super::*;
use crate::limits::{ConnectionLimits, Limits, BODY_LIMIT};
use crate::memory_limits::MemoryLimits;
use crate::memory_pool::MemoryPool;
use crate::memory_pool::PAGE_SIZE;
use crate::request_schema::Operation;

fn schema() -> RequestSchema {
    let operation = Operation {
        number: 0,
        repeat: Repeat::AtMostOnce,
    };
    RequestSchema {
        operations: HashMap::from([("seal".into(), operation)]),
        tenants: HashMap::from([("acme".into(), 0)]),
    }
}

fn request_head(id: usize, framing: &str) -> String {
    format!("POST /seal/k{id} HTTP/1.1\r\nRequest-Id: r{id}\r\nRequest-Class: seal\r\nTenant: acme\r\nRequest-Timeout: 900m\r\n{framing}\r\n\r\n")
}

/// A client's connection without its socket.
struct Client {
    codec: ServerCodec,
    partial: Option<PartialRequest>,
    request: Option<ClientRequest>,
}

impl Client {
    fn new() -> Self {
        Client {
            codec: ServerCodec::new(BODY_LIMIT),
            partial: None,
            request: None,
        }
    }

    fn read(&mut self, bytes: &[u8], schema: &RequestSchema, memory: &MessageMemory) {
        let mut buffer = BytesMut::from(bytes);
        while let Some(part) = self.codec.decode(&mut buffer).unwrap() {
            match part {
                RequestPart::Head(head) => {
                    self.partial = Some(PartialRequest::new(&head, schema, memory));
                }
                RequestPart::Data(data) => self.partial.as_mut().unwrap().push(&data, memory),
                RequestPart::End => {
                    self.request = Some(self.partial.take().unwrap().complete());
                }
            }
        }
    }

    /// Returns the number of bytes that the client holds on the heap: of a short message, and the forwarded head.
    fn on_heap(&self, memory: &MessageMemory) -> usize {
        let length = match (&self.partial, &self.request) {
            (Some(partial), _) => match &partial.kind {
                PartialKind::Command { body, .. } => body.len(),
                PartialKind::Dropped(_) => 0,
            },
            (_, Some(request)) => match &request.kind {
                RequestKind::Command { command, .. } => command.body.len(),
                _ => 0,
            },
            _ => 0,
        };
        if length <= memory.short_message {
            length
        } else {
            0
        }
    }

    fn has_no_room(&self) -> bool {
        let request = self.request.as_ref();
        request.is_some_and(|request| matches!(request.kind, RequestKind::NoRoom))
    }
}

/// Plays all clients that the descriptors allow, each with a body of full length, read in turns piece by piece.
fn play(limits: Limits, framing: &str, chunk_head: &str, chunk_end: &str) {
    let connections = ConnectionLimits::new(&limits, 3, 15, 10.0);
    let memory_limits = MemoryLimits::new(limits.memory_mb);
    let memory = MessageMemory {
        pool: MemoryPool::new(memory_limits.requests),
        short_message: memory_limits.short_message(connections.clients + connections.hosts),
    };
    let schema = schema();
    let mut clients: Vec<_> = (0..connections.clients).map(|_| Client::new()).collect();
    let most_on_heap = connections.clients * memory.short_message;
    let check = |clients: &[Client]| {
        let on_heap: usize = clients.iter().map(|client| client.on_heap(&memory)).sum();
        assert!(
            memory.pool.reserved() <= memory_limits.requests,
            "{limits:?}"
        );
        assert!(
            on_heap <= most_on_heap,
            "{limits:?}: {on_heap} bytes on the heap"
        );
    };
    for (n, client) in clients.iter_mut().enumerate() {
        let head = request_head(n, framing) + chunk_head;
        client.read(head.as_bytes(), &schema, &memory);
    }
    let piece = vec![b'x'; 4 << 10];
    for _ in 0..BODY_LIMIT / piece.len() {
        for client in &mut clients {
            client.read(&piece, &schema, &memory);
        }
        check(&clients);
    }
    for client in &mut clients {
        client.read(chunk_end.as_bytes(), &schema, &memory);
        assert!(client.request.is_some(), "each request is read to its end");
    }
    check(&clients);
    let refused = clients.iter().filter(|client| client.has_no_room()).count();
    let fits = memory_limits.requests / (BODY_LIMIT + 2 * PAGE_SIZE);
    let kept = clients.len() - refused;
    assert!(kept >= fits.min(clients.len()), "{limits:?}: {kept} kept");
    drop(clients);
    assert_eq!(memory.pool.reserved(), 0);
}

/// Guards against requests that are held without a bound over all clients: a router was killed for memory when 200 clients
/// sent bodies of 64 KiB at once.
#[test]
fn long_bodies_of_all_clients_hold_no_more_than_their_share() {
    for memory_mb in [32, 48, 96, 192] {
        for sockets in [256, 608, 1_024] {
            let limits = Limits {
                cores: 1.0,
                memory_mb,
                sockets,
            };
            play(limits, &format!("Content-Length: {BODY_LIMIT}"), "", "");
            let chunk = format!("{BODY_LIMIT:x}\r\n");
            play(
                limits,
                "Transfer-Encoding: chunked",
                &chunk,
                "\r\n0\r\n\r\n",
            );
        }
    }
}

/// A request that finds no room does not stand in the way of short ones, and the next long one is kept once there is room.
#[test]
fn short_requests_need_no_room_in_the_pool() {
    let memory = MessageMemory {
        pool: MemoryPool::new(BODY_LIMIT + 2 * PAGE_SIZE),
        short_message: 1_000,
    };
    let schema = schema();
    let read = |id: usize, length: usize| {
        let mut client = Client::new();
        let head = request_head(id, &format!("Content-Length: {length}"));
        client.read(head.as_bytes(), &schema, &memory);
        client.read(&vec![b'x'; length], &schema, &memory);
        client
    };
    let first = read(0, BODY_LIMIT);
    let second = read(1, BODY_LIMIT);
    let short = read(2, 700);
    assert!(!first.has_no_room() && second.has_no_room() && !short.has_no_room());
    drop(first);
    assert!(!read(3, BODY_LIMIT).has_no_room());
}

/// Guards against long heads that are held without a bound: a command without a body needs room for its head.
#[test]
fn long_heads_need_room_in_the_pool() {
    let memory = MessageMemory {
        pool: MemoryPool::new(PAGE_SIZE),
        short_message: 1_000,
    };
    let schema = schema();
    let read = |id: usize, query_length: usize| {
        let head = request_head(id, "Content-Length: 0");
        let query = "q".repeat(query_length);
        let head = head.replace(" HTTP", &format!("?{query} HTTP"));
        let mut client = Client::new();
        client.read(head.as_bytes(), &schema, &memory);
        client
    };
    let first = read(0, 2_000);
    assert_eq!(memory.pool.reserved(), PAGE_SIZE);
    assert!(!first.has_no_room() && read(1, 2_000).has_no_room());
    assert!(!read(2, 100).has_no_room());
}

/// The body of a request that is not valid is never kept.
#[test]
fn invalid_requests_hold_nothing() {
    let memory = MessageMemory {
        pool: MemoryPool::new(4 * BODY_LIMIT),
        short_message: 1_000,
    };
    let schema = schema();
    let mut client = Client::new();
    let head = request_head(0, &format!("Content-Length: {BODY_LIMIT}"));
    let head = head.replace("Tenant: acme", "Tenant: nobody");
    client.read(head.as_bytes(), &schema, &memory);
    client.read(&vec![b'x'; BODY_LIMIT - 1], &schema, &memory);
    assert_eq!(memory.pool.reserved(), 0);
    client.read(b"x", &schema, &memory);
    let kind = client.request.unwrap().kind;
    assert!(matches!(kind, RequestKind::Invalid(400)), "{kind:?}");
}
