//! What connections to and from other processes have in common.

use serde::de::DeserializeOwned;
use serde::Serialize;
use spokeflow_proto::{FrameCodec, FrameError};
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio_util::codec::Framed;

use futures_util::SinkExt;

/// A connection on which `In` is read and `Out` is written.
pub(crate) type Link<In, Out> = Framed<TcpStream, FrameCodec<In, Out>>;

/// Writes `first` and everything that waits in `queue` behind it, then flushes once.
///
/// # Errors
///
/// The connection takes no more bytes.
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
