//! The link that the router keeps to the desk.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures_util::{SinkExt, StreamExt};
use spokeflow_engine::Input;
use spokeflow_proto::{FrameError, FromController, ToController, WORK_LIMIT};
use tokio::sync::mpsc;
use tokio::time::{sleep, Instant};
use tracing::{info, warn};

use crate::event::EngineEvent;
use crate::hosts::LinkTerms;
use crate::links::{open, Link, DESK_WAY};

pub struct ReleaseControllerLink {
    pub address: SocketAddr,
    pub terms: Arc<LinkTerms>,
    pub core: mpsc::Sender<EngineEvent>,
    pub votes: mpsc::Receiver<ToController>,
}

impl ReleaseControllerLink {
    pub async fn run(mut self) {
        let mut failures = 0_u32;
        let mut backoff = self.terms.backoff(DESK_WAY);
        loop {
            let wait = self.terms.connect_timeout.max(Duration::from_secs(1));
            let hello = ToController::Hello(self.terms.hello.clone());
            let opened = open(self.address, WORK_LIMIT, wait, hello, |m| {
                matches!(m, FromController::Welcome)
            })
            .await;
            let fault = match opened {
                Ok(link) => {
                    let since = Instant::now();
                    info!("desk connected");
                    let fault = self.talk(link).await;
                    failures = if since.elapsed() > self.terms.longest_pause {
                        0
                    } else {
                        failures + 1
                    };
                    fault
                }
                Err(fault) => {
                    failures += 1;
                    fault
                }
            };
            // A vote that is out when the link breaks may count.
            while self.votes.try_recv().is_ok() {}
            if self
                .core
                .send(EngineEvent::Input(Input::ControllerUnavailable))
                .await
                .is_err()
            {
                return;
            }
            warn!(failures, %fault, "desk link lost");
            sleep(backoff.delay(failures.saturating_sub(1))).await;
        }
    }

    async fn talk(&mut self, mut link: Link<FromController, ToController>) -> FrameError {
        loop {
            tokio::select! {
                read = link.next() => match read {
                    Some(Ok(message)) => {
                        if self.core.send(EngineEvent::Input(Input::FromController(message))).await.is_err() {
                            return FrameError::TooSlow;
                        }
                    }
                    Some(Err(fault)) => return fault,
                    None => return FrameError::Truncated { have: 0 },
                },
                Some(vote) = self.votes.recv() => if let Err(fault) = link.send(vote).await {
                    return fault;
                },
            }
        }
    }
}
