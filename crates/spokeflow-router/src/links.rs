//! What the links to list, desk and keepers have in common.

use std::net::SocketAddr;
use std::time::Duration;

use futures_util::{SinkExt, StreamExt};
use serde::de::DeserializeOwned;
use serde::Serialize;
use spokeflow_proto::{FrameCodec, FrameError};
use tokio::net::TcpStream;
use tokio::time::timeout;
use tokio_util::codec::Framed;

/// Numbers of the ways beside those to hosts, whose ids are below them.
pub const LIST_WAY: u64 = 1 << 32;
pub const DESK_WAY: u64 = LIST_WAY + 1;
pub const KEEPER_WAY: u64 = LIST_WAY + 2;

pub type Link<In, Out> = Framed<TcpStream, FrameCodec<In, Out>>;

/// Connects, says who calls and waits for the welcome.
pub async fn open<In, Out>(
    address: SocketAddr,
    limit: usize,
    wait: Duration,
    hello: Out,
    welcome: impl Fn(&In) -> bool,
) -> Result<Link<In, Out>, FrameError>
where
    In: DeserializeOwned,
    Out: Serialize,
{
    let opening = async {
        let stream = TcpStream::connect(address).await?;
        let _ = stream.set_nodelay(true);
        let mut link: Link<In, Out> = Framed::with_capacity(stream, FrameCodec::new(limit), 1024);
        link.send(hello).await?;
        match link.next().await {
            Some(first) if welcome(first.as_ref().map_err(|_| FrameError::OutOfOrder)?) => Ok(link),
            _ => Err(FrameError::OutOfOrder),
        }
    };
    timeout(wait, opening)
        .await
        .unwrap_or(Err(FrameError::TooSlow))
}
