//! Requests to the control plane, and waiting for their effect.

use std::net::SocketAddr;
use std::time::Duration;

use spokeflow_control_plane::client::send_request;
use spokeflow_coordination::wire::{ClusterStatus, Request, Response};
use tokio::time::{sleep, Instant};

use crate::error::CtlError;

/// Between two looks at the status.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// The control plane as one command sees it.
pub(crate) struct Session {
    /// The nodes, any of which may answer.
    pub(crate) nodes: Vec<SocketAddr>,
    /// How long each request, and the wait for its effect, may take.
    pub(crate) within: Duration,
}

impl Session {
    /// The leader's response to a request.
    pub(crate) async fn send(&self, request: Request) -> Result<Response, CtlError> {
        if self.nodes.is_empty() {
            return Err(CtlError::NoNode);
        }
        match send_request(&self.nodes, request, self.within).await? {
            Response::Invalid(text) => Err(CtlError::Invalid(text)),
            Response::Indeterminate => Err(CtlError::Indeterminate),
            response => Ok(response),
        }
    }

    /// The state at this instant.
    pub(crate) async fn status(&self) -> Result<ClusterStatus, CtlError> {
        match self.send(Request::Status).await? {
            Response::Status(status) => Ok(*status),
            other => Err(CtlError::UnexpectedResponse(Box::new(other))),
        }
    }

    /// The first status of which `reached` holds.
    ///
    /// # Errors
    ///
    /// The time is over: what `not_reached` makes of the last status. Or the status cannot be read.
    pub(crate) async fn wait_until(
        &self,
        reached: impl Fn(&ClusterStatus) -> bool,
        not_reached: impl FnOnce(&ClusterStatus) -> CtlError,
    ) -> Result<ClusterStatus, CtlError> {
        let deadline = Instant::now() + self.within;
        loop {
            let status = self.status().await?;
            if reached(&status) {
                return Ok(status);
            }
            if Instant::now() >= deadline {
                return Err(not_reached(&status));
            }
            sleep(POLL_INTERVAL).await;
        }
    }
}
