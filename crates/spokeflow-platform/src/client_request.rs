//! A client's request while it is read, and once it has been read whole.

use bytes::Bytes;
use spokeflow_http::RequestHead;
use spokeflow_proto::Command;

use crate::message_buffer::{MessageBuffer, MessageMemory};
use crate::request_schema::{CommandHead, RequestSchema, Status};

/// Target of the health check.
const HEALTH_CHECK: &[u8] = b"/up";

/// A request that has been read whole.
#[derive(Debug)]
pub(crate) struct ClientRequest {
    pub(crate) kind: RequestKind,
    /// Whether the client keeps the connection open after the response.
    pub(crate) keep_alive: bool,
}

/// What a client requests.
#[derive(Debug)]
pub(crate) enum RequestKind {
    HealthCheck,
    /// A command for the engine, with the `Request-Id` as the client sent it.
    Command {
        id: Bytes,
        command: Command,
    },
    /// A request that is not valid in this deployment; it is answered with this status.
    Invalid(Status),
    /// A command whose body was read and dropped: there was no room for it.
    NoRoom,
}

/// A request whose head has been read and whose body has not.
#[derive(Debug)]
pub(crate) struct PartialRequest {
    kind: PartialKind,
    keep_alive: bool,
}

#[derive(Debug)]
enum PartialKind {
    Command {
        head: CommandHead,
        body: MessageBuffer,
    },
    /// The rest of the body is dropped.
    Dropped(RequestKind),
}

impl PartialRequest {
    /// Checks the head of a request, whose body is to follow.
    pub(crate) fn new(head: &RequestHead, schema: &RequestSchema, memory: &MessageMemory) -> Self {
        let kind = if head.target.as_ref() == HEALTH_CHECK {
            PartialKind::Dropped(RequestKind::HealthCheck)
        } else {
            match schema.check(head) {
                Ok(command) => {
                    let prefix_limit = command.max_forwarded_length();
                    PartialKind::Command {
                        head: command,
                        body: MessageBuffer::new(memory, head.body_length, prefix_limit),
                    }
                }
                Err(status) => PartialKind::Dropped(RequestKind::Invalid(status)),
            }
        };
        let mut request = PartialRequest {
            kind,
            keep_alive: head.keep_alive,
        };
        // A head may be too long by itself to be held without room in the pool.
        request.push(&[], memory);
        request
    }

    /// Adds bytes of the body. A command for whose body `memory` has no room is given up, and its body is dropped.
    pub(crate) fn push(&mut self, data: &[u8], memory: &MessageMemory) {
        let PartialKind::Command { body, .. } = &mut self.kind else {
            return;
        };
        let missing = body.missing_room(data.len());
        let has_room = missing == 0
            || memory
                .pool
                .try_reserve(missing)
                .is_some_and(|reservation| body.move_to(reservation).is_ok());
        if has_room {
            body.push(data);
        } else {
            self.kind = PartialKind::Dropped(RequestKind::NoRoom);
        }
    }

    /// Returns the request, whose end has been read.
    pub(crate) fn complete(self) -> ClientRequest {
        let kind = match self.kind {
            PartialKind::Dropped(kind) => kind,
            PartialKind::Command { head, body } => {
                let id = head.id.clone();
                match head.into_command(body) {
                    Ok(command) => RequestKind::Command { id, command },
                    Err(status) => RequestKind::Invalid(status),
                }
            }
        };
        ClientRequest {
            kind,
            keep_alive: self.keep_alive,
        }
    }
}

#[cfg(test)]
#[path = "../tests/unit/client_request.rs"]
mod tests;
