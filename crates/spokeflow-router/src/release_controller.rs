//! The link to the release controller: rollout status and statistics come in, votes go out.

use std::time::Duration;

use spokeflow_engine::Input;
use spokeflow_proto::{FrameError, FromController, Hello, ToController, WORK_LIMIT};
use tokio::sync::mpsc;
use tracing::{info, warn};

use crate::links::{LinkProtocol, RELEASE_CONTROLLER_LINK};

/// The protocol of the [`crate::links::ServiceLink`] to the release controller.
pub(crate) struct ReleaseControllerProtocol;

impl LinkProtocol for ReleaseControllerProtocol {
    type Incoming = FromController;
    type Outgoing = ToController;

    const LINK: u64 = RELEASE_CONTROLLER_LINK;
    const FRAME_LIMIT: usize = WORK_LIMIT;

    fn hello(&self, hello: Hello) -> ToController {
        ToController::Hello(hello)
    }

    fn is_welcome(message: &FromController) -> bool {
        matches!(message, FromController::Welcome)
    }

    fn on_connected(&mut self, _queue: &mut mpsc::Receiver<ToController>) {
        info!("release controller connected");
    }

    fn first_message(&self) -> Option<ToController> {
        None
    }

    fn on_message(&mut self, message: FromController) -> Input {
        Input::FromController(message)
    }

    /// There is no timeout: the release controller sends after each change and periodically, and the protocol does not
    /// bound the time between two messages.
    fn silence_timeout(&self) -> Option<Duration> {
        None
    }

    fn on_silence(&mut self) -> Result<ToController, FrameError> {
        Err(FrameError::TooSlow)
    }

    fn on_lost(&mut self, queue: &mut mpsc::Receiver<ToController>) -> Input {
        // A vote that was sent before the link broke may have been counted. Queued votes are dropped, not sent on the
        // next connection, so that none is sent twice.
        while queue.try_recv().is_ok() {}
        Input::ControllerUnavailable
    }

    fn log_lost(&self, failures: u32, error: &FrameError) {
        warn!(failures, %error, "release controller link lost");
    }
}
