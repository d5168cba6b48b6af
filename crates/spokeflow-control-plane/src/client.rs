//! The request client: one request to whichever node answers it.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use futures_util::{SinkExt, StreamExt};
use spokeflow_coordination::wire::{Caller, FromNode, Request, Response, ToNode, LIMIT};
use spokeflow_proto::{FrameCodec, FrameError};
use thiserror::Error;
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout, Instant};
use tokio_util::codec::Framed;

/// How long one node is given to answer.
const NODE_TIMEOUT: Duration = Duration::from_millis(2500);
/// First size of the buffer for the response, in bytes.
const READ_BUFFER: usize = 1024;
/// Pause after no node has answered.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// Why a request has no response.
#[derive(Debug, Error)]
pub enum RequestError {
    /// The list of nodes is empty, or there was no time to try one.
    #[error("no control-plane node was tried")]
    NoNode,
    /// The node cannot be connected to.
    #[error("{node}: {source}")]
    Connect {
        /// The node's address.
        node: SocketAddr,
        /// The cause.
        source: io::Error,
    },
    /// The connection failed, or what came on it cannot be read.
    #[error("{node}: {source}")]
    Frame {
        /// The node's address.
        node: SocketAddr,
        /// What is wrong.
        source: FrameError,
    },
    /// The node refuses the connection.
    #[error("{node}: refused: {text}")]
    Refused {
        /// The node's address.
        node: SocketAddr,
        /// The reason that the node gives.
        text: String,
    },
    /// The node closed the connection before it answered.
    #[error("{node}: the connection was closed")]
    Closed {
        /// The node's address.
        node: SocketAddr,
    },
    /// The node did not answer in time.
    #[error("{node}: no answer within {NODE_TIMEOUT:?}")]
    TimedOut {
        /// The node's address.
        node: SocketAddr,
    },
    /// The node knows no leader: nothing was done.
    #[error("{node}: knows no leader")]
    NoLeader {
        /// The node's address.
        node: SocketAddr,
    },
    /// The request may have been done or not.
    #[error("{node}: unknown whether it was done")]
    Indeterminate {
        /// The node's address.
        node: SocketAddr,
    },
}

/// Sends a request to one node, once.
///
/// # Errors
///
/// The node is not reached, refuses the connection or does not answer within 2.5 s.
pub async fn send_request_to(node: SocketAddr, request: Request) -> Result<Response, RequestError> {
    timeout(NODE_TIMEOUT, exchange(node, request))
        .await
        .unwrap_or(Err(RequestError::TimedOut { node }))
}

async fn exchange(node: SocketAddr, request: Request) -> Result<Response, RequestError> {
    let stream = TcpStream::connect(node)
        .await
        .map_err(|source| RequestError::Connect { node, source })?;
    let frame_error = |source| RequestError::Frame { node, source };
    let codec = FrameCodec::<FromNode, ToNode>::new(LIMIT);
    let mut link = Framed::with_capacity(stream, codec, READ_BUFFER);
    link.send(ToNode::hello(Caller::Operator))
        .await
        .map_err(frame_error)?;
    let numbered = ToNode::Request { number: 1, request };
    link.send(numbered).await.map_err(frame_error)?;
    while let Some(read) = link.next().await {
        match read.map_err(frame_error)? {
            FromNode::Welcome { .. } => {}
            FromNode::Refused { text, .. } => return Err(RequestError::Refused { node, text }),
            FromNode::Response { response, .. } => return Ok(response),
        }
    }
    Err(RequestError::Closed { node })
}

/// Sends a request to one node after the other, round and round, until one answers for the leader.
///
/// A request that is idempotent, such as one with a token, is sent again though it may have been done: it is done
/// once. For others [`Response::Indeterminate`] is returned as the response.
///
/// # Errors
///
/// No node answered within `within`; the error is that of the node tried last.
pub async fn send_request(
    nodes: &[SocketAddr],
    request: Request,
    within: Duration,
) -> Result<Response, RequestError> {
    let deadline = Instant::now() + within;
    let is_idempotent = matches!(
        request,
        Request::Propose(_) | Request::Status | Request::SetAddress { .. }
    );
    let mut last_error = RequestError::NoNode;
    while Instant::now() < deadline {
        for &node in nodes {
            match send_request_to(node, request.clone()).await {
                Ok(Response::NoLeader) => last_error = RequestError::NoLeader { node },
                Ok(Response::Indeterminate) if is_idempotent => {
                    last_error = RequestError::Indeterminate { node };
                }
                Ok(response) => return Ok(response),
                Err(error) => last_error = error,
            }
        }
        sleep(RETRY_DELAY).await;
    }
    Err(last_error)
}
