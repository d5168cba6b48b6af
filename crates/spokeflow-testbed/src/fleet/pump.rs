//! Forwards the frames of one direction of a connection according to the condition of its link.

use std::time::Duration;

use rand::RngExt;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::time::sleep;

use super::switchboard::{Direction, FrameIndex, Link, Switchboard};

/// Bytes that a trickling link forwards at a time.
const TRICKLE_BYTES: usize = 16;
/// Time between two parts on a trickling link.
const TRICKLE_PAUSE: Duration = Duration::from_millis(1);

/// One direction of a connection.
#[derive(Clone, Copy)]
pub(super) struct Pump<'a> {
    pub(super) switchboard: &'a Switchboard,
    pub(super) link: Link,
    pub(super) connection: u64,
    pub(super) direction: Direction,
}

/// A frame that has been received and not forwarded yet.
#[derive(Clone)]
struct PendingFrame {
    /// `None` if the frame could not be decoded, and is not recorded.
    index: Option<FrameIndex>,
    body: Vec<u8>,
}

impl Pump<'_> {
    /// Forwards frames until either end closes the connection or a frame is truncated.
    pub(super) async fn run(
        self,
        mut input: impl AsyncReadExt + Unpin,
        mut output: impl AsyncWriteExt + Unpin,
    ) {
        let mut held_back: Option<PendingFrame> = None;
        let mut is_first = true;
        while let Some(body) = read_frame(&mut input).await {
            let index = self
                .switchboard
                .record(self.link, self.connection, self.direction, &body);
            let frame = PendingFrame { index, body };
            let condition = self.switchboard.condition(self.link);
            delay(condition.delay).await;
            self.switchboard.wait_until_unblocked(self.link).await;
            // The first frame is always forwarded: without the opening messages no connection would be established.
            if !is_first {
                if is_drawn(condition.loss) {
                    continue;
                }
                if is_drawn(condition.truncation) {
                    // The connection ends whether or not the write succeeds.
                    let _ = write_truncated(&mut output, &frame.body).await;
                    return;
                }
                if held_back.is_none() && is_drawn(condition.reordering) {
                    held_back = Some(frame);
                    continue;
                }
            }
            is_first = false;
            let copies = 1 + usize::from(is_drawn(condition.duplication));
            let frames = std::iter::repeat_n(frame, copies).chain(held_back.take());
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

/// Returns `true` with the given probability. Draws nothing where that is 0.
fn is_drawn(probability: f64) -> bool {
    probability > 0.0 && rand::rng().random_bool(probability)
}

/// Waits for a random share of `max_delay`.
async fn delay(max_delay: Duration) {
    if !max_delay.is_zero() {
        let share = rand::rng().random_range(0.2..1.0);
        sleep(max_delay.mul_f64(share)).await;
    }
}

/// Reads the body of the next frame; `None` at the end of the connection. A longer body than the wire's `LIMIT` would
/// be cut there without an error, and its rest read as the next frame; no sender writes one, since [`FrameCodec`]
/// refuses to.
///
/// [`FrameCodec`]: spokeflow_proto::FrameCodec
pub(super) async fn read_frame(input: &mut (impl AsyncReadExt + Unpin)) -> Option<Vec<u8>> {
    let length = input.read_u32().await.ok()?;
    let mut body = vec![0; (length as usize).min(spokeflow_coordination::wire::LIMIT)];
    input.read_exact(&mut body).await.ok()?;
    Some(body)
}

/// Writes a frame: the length of a body, then the body.
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

/// Writes the length of the whole body, then only half of the body.
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
