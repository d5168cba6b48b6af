//! The request client: sends one request to whichever node answers it.

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

/// Time that one node has to answer a request, from the start of the connection.
const NODE_TIMEOUT: Duration = Duration::from_millis(2500);
/// Initial size of the read buffer of a connection, in bytes.
const READ_BUFFER: usize = 1024;
/// Pause before the nodes are tried again after none of them has answered.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// Why a request got no response.
#[derive(Debug, Error)]
pub enum RequestError {
    /// The list of nodes is empty, or there was no time to try one.
    #[error("no control-plane node was tried: no address is given, or no time is left")]
    NoNode,
    /// The connection to the node cannot be opened.
    #[error("control-plane node {node}: cannot connect: {source}")]
    Connect {
        /// The node's address.
        node: SocketAddr,
        /// The cause.
        source: io::Error,
    },
    /// The connection failed, or a frame on it cannot be decoded.
    #[error("control-plane node {node}: connection failed: {source}")]
    Frame {
        /// The node's address.
        node: SocketAddr,
        /// The cause.
        source: FrameError,
    },
    /// The node refused the connection.
    #[error("control-plane node {node}: connection refused: {text}")]
    Refused {
        /// The node's address.
        node: SocketAddr,
        /// The reason given by the node.
        text: String,
    },
    /// The node closed the connection before it answered.
    #[error("control-plane node {node}: connection closed before the response")]
    Closed {
        /// The node's address.
        node: SocketAddr,
    },
    /// The node did not answer in time.
    #[error("control-plane node {node}: no response within {NODE_TIMEOUT:?}")]
    TimedOut {
        /// The node's address.
        node: SocketAddr,
    },
    /// The node knows no leader: the request was not carried out.
    #[error("control-plane node {node}: knows no leader")]
    NoLeader {
        /// The node's address.
        node: SocketAddr,
    },
    /// The request may have been carried out or not.
    #[error("control-plane node {node}: unknown whether the request was carried out")]
    Indeterminate {
        /// The node's address.
        node: SocketAddr,
    },
}

/// Sends a request to one node, once.
///
/// # Errors
///
/// The node cannot be reached, refuses the connection or does not answer within 2.5 s.
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

/// Sends a request to the nodes in turn, repeatedly, until one of them answers for the leader.
///
/// An idempotent request, such as one with a token, is sent again although it may have been carried out: it takes
/// effect once only. For other requests [`Response::Indeterminate`] is returned as the response.
///
/// # Errors
///
/// No node answered within `within`; the error is that of the node that was tried last.
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
