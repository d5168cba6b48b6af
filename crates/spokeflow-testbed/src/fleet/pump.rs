//! Forwards the frames of one direction of a connection, as the condition of its link demands.

use std::time::Duration;

use rand::RngExt;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::time::sleep;

use super::switchboard::{Direction, FrameIndex, Link, Switchboard};

/// Bytes that a trickling link passes at once.
const TRICKLE_BYTES: usize = 16;
/// Between two parts on a trickling link.
const TRICKLE_PAUSE: Duration = Duration::from_millis(1);

/// One direction of a connection.
#[derive(Clone, Copy)]
pub(super) struct Pump<'a> {
    pub(super) switchboard: &'a Switchboard,
    pub(super) link: Link,
    pub(super) connection: u64,
    pub(super) direction: Direction,
}

/// A frame that was recorded and is not forwarded yet.
#[derive(Clone)]
struct PendingFrame {
    index: Option<FrameIndex>,
    body: Vec<u8>,
}

impl Pump<'_> {
    /// Runs until either end closes or the link's condition ends the connection.
    pub(super) async fn run(
        self,
        mut input: impl AsyncReadExt + Unpin,
        mut output: impl AsyncWriteExt + Unpin,
    ) {
        let mut overtaken: Option<PendingFrame> = None;
        let mut opening = true;
        while let Some(body) = read_frame(&mut input).await {
            let index = self
                .switchboard
                .record(self.link, self.connection, self.direction, &body);
            let frame = PendingFrame { index, body };
            let condition = self.switchboard.condition(self.link);
            delay(condition.delay).await;
            self.switchboard.wait_until_unblocked(self.link).await;
            // Opening messages pass: without them no connection would come about.
            if !opening {
                if drawn(condition.loss) {
                    continue;
                }
                if drawn(condition.truncation) {
                    // Either outcome ends the connection.
                    let _ = write_truncated(&mut output, &frame.body).await;
                    return;
                }
                if overtaken.is_none() && drawn(condition.reordering) {
                    overtaken = Some(frame);
                    continue;
                }
            }
            opening = false;
            let copies = 1 + usize::from(drawn(condition.duplication));
            let frames = std::iter::repeat_n(frame, copies).chain(overtaken.take());
            for frame in frames {
                let written = match condition.trickle {
                    true => write_trickling(&mut output, &frame.body).await,
                    false => write_frame(&mut output, &frame.body).await,
                };
                if written.is_err() {
                    return;
                }
                self.switchboard.record_forwarded(frame.index);
            }
        }
    }
}

fn drawn(share: f64) -> bool {
    share > 0.0 && rand::rng().random_bool(share)
}

async fn delay(longest: Duration) {
    if !longest.is_zero() {
        let part = rand::rng().random_range(0.2..1.0);
        sleep(longest.mul_f64(part)).await;
    }
}

/// The body of the next frame; `None` at the end of the connection.
pub(super) async fn read_frame(input: &mut (impl AsyncReadExt + Unpin)) -> Option<Vec<u8>> {
    let length = input.read_u32().await.ok()?;
    let mut body = vec![0; (length as usize).min(spokeflow_coordination::wire::LIMIT)];
    input.read_exact(&mut body).await.ok()?;
    Some(body)
}

/// Writes a body behind its length.
pub(super) async fn write_frame(
    output: &mut (impl AsyncWriteExt + Unpin),
    body: &[u8],
) -> std::io::Result<()> {
    output.write_all(&framed(body)).await
}

async fn write_trickling(
    output: &mut (impl AsyncWriteExt + Unpin),
    body: &[u8],
) -> std::io::Result<()> {
    for part in framed(body).chunks(TRICKLE_BYTES) {
        output.write_all(part).await?;
        output.flush().await?;
        sleep(TRICKLE_PAUSE).await;
    }
    Ok(())
}

/// The whole length, and half of the body.
async fn write_truncated(
    output: &mut (impl AsyncWriteExt + Unpin),
    body: &[u8],
) -> std::io::Result<()> {
    output.write_all(&(body.len() as u32).to_be_bytes()).await?;
    output.write_all(&body[..body.len() / 2]).await
}

fn framed(body: &[u8]) -> Vec<u8> {
    let mut frame = (body.len() as u32).to_be_bytes().to_vec();
    frame.extend(body);
    frame
}
