//! Sends requests to the control plane and waits for their effect.

use std::net::SocketAddr;
use std::time::Duration;

use spokeflow_control_plane::client::send_request;
use spokeflow_coordination::wire::{ClusterStatus, Request, Response};
use tokio::time::{sleep, Instant};

use crate::error::CtlError;

/// Interval between two requests of the status while a command waits.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Access of one command to the control plane.
pub(crate) struct Session {
    /// Addresses of the nodes, any of which may answer.
    pub(crate) nodes: Vec<SocketAddr>,
    /// Longest time for each request, and for the wait for its effect.
    pub(crate) within: Duration,
}

impl Session {
    /// Sends a request and returns the leader's response.
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

    /// Requests the current status.
    pub(crate) async fn status(&self) -> Result<ClusterStatus, CtlError> {
        match self.send(Request::Status).await? {
            Response::Status(status) => Ok(*status),
            other => Err(CtlError::UnexpectedResponse(Box::new(other))),
        }
    }

    /// Requests the status until `reached` is true for it, and returns that status.
    ///
    /// # Errors
    ///
    /// `not_reached` of the last status if `within` has passed, or the error of a request.
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
