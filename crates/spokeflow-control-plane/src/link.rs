//! The framed connection to another process, inbound or outbound.

use serde::de::DeserializeOwned;
use serde::Serialize;
use spokeflow_proto::{FrameCodec, FrameError};
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio_util::codec::Framed;

use futures_util::SinkExt;

/// A connection on which `In` is read and `Out` is written.
pub(crate) type Link<In, Out> = Framed<TcpStream, FrameCodec<In, Out>>;

/// Writes `first` and all messages queued behind it, then flushes once.
///
/// # Errors
///
/// The connection has failed, or a message cannot be encoded.
pub(crate) async fn send_queued<In, Out>(
    link: &mut Link<In, Out>,
    first: Out,
    queue: &mut mpsc::Receiver<Out>,
) -> Result<(), FrameError>
where
    In: DeserializeOwned,
    Out: Serialize,
{
    link.feed(first).await?;
    while let Ok(message) = queue.try_recv() {
        link.feed(message).await?;
    }
    link.flush().await
}
