//! One request to whichever keeper answers it.

use std::net::SocketAddr;
use std::time::Duration;

use futures_util::{SinkExt, StreamExt};
use spokeflow_coordination::wire::{Caller, FromNode, Request, Response, ToNode, LIMIT};
use spokeflow_proto::FrameCodec;
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout, Instant};
use tokio_util::codec::Framed;

/// One keeper is given this long.
const EACH: Duration = Duration::from_millis(2500);
const PAUSE: Duration = Duration::from_millis(100);

/// Asks one keeper, once. Errors: it is not reached, or says nothing, in one line.
pub async fn ask_one(keeper: SocketAddr, ask: Request) -> Result<Response, String> {
    let asking = async {
        let stream = TcpStream::connect(keeper)
            .await
            .map_err(|e| format!("{keeper}: {e}"))?;
        let codec = FrameCodec::<FromNode, ToNode>::new(LIMIT);
        let mut link = Framed::with_capacity(stream, codec, 1024);
        let fault = |e: spokeflow_proto::FrameError| format!("{keeper}: {e}");
        link.send(ToNode::hello(Caller::Operator))
            .await
            .map_err(fault)?;
        link.send(ToNode::Request {
            number: 1,
            request: ask,
        })
        .await
        .map_err(fault)?;
        while let Some(read) = link.next().await {
            match read.map_err(fault)? {
                FromNode::Welcome { .. } => {}
                FromNode::Refused { text, .. } => return Err(format!("{keeper}: refused: {text}")),
                FromNode::Response {
                    response: answer, ..
                } => return Ok(answer),
            }
        }
        Err(format!("{keeper}: the connection was closed"))
    };
    timeout(EACH, asking)
        .await
        .unwrap_or_else(|_| Err(format!("{keeper}: no answer within {EACH:?}")))
}

/// Asks one keeper after the other, round and round, until one answers for the leader. A request with a token may be
/// asked again though it may have been done: it is done once. Others, where it is not clear, are not asked again.
///
/// Errors: nobody did within that time, with what the last one said.
pub async fn ask(
    keepers: &[SocketAddr],
    ask: Request,
    within: Duration,
) -> Result<Response, String> {
    let until = Instant::now() + within;
    let again = matches!(
        ask,
        Request::Propose(_) | Request::Status | Request::SetAddress { .. }
    );
    let mut last = "no keeper was named".to_string();
    while Instant::now() < until {
        for &keeper in keepers {
            match ask_one(keeper, ask.clone()).await {
                Ok(Response::NoLeader) => last = format!("{keeper}: knows no leader"),
                Ok(Response::Indeterminate) if again => {
                    last = format!("{keeper}: not clear whether it was done")
                }
                Ok(answer) => return Ok(answer),
                Err(what) => last = what,
            }
        }
        sleep(PAUSE).await;
    }
    Err(last)
}
