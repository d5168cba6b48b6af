//! A host that answers requests as a script tells it.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::{sleep, timeout};

use super::http::read_message;
use super::EVENT_TIMEOUT;

/// What a host does once it has read a whole request.
#[derive(Clone, Debug)]
pub(crate) enum HostAction {
    /// Sends these bytes.
    Respond(Vec<u8>),
    RespondAfter(Duration, Vec<u8>),
    /// Sends these bytes once the channel holds `true`.
    RespondOnceReleased(watch::Receiver<bool>, Vec<u8>),
    /// Sends the first bytes and, after a pause, the second ones, which belong to no request.
    RespondAndSend(Vec<u8>, Duration, Vec<u8>),
    /// Closes the connection without an answer.
    Close,
}

type Script = Arc<dyn Fn(usize) -> HostAction + Send + Sync>;

/// A host: its address, and the requests that it has read, as text.
#[derive(Clone)]
pub(crate) struct Host {
    pub(crate) address: String,
    pub(crate) requests: Arc<Mutex<Vec<String>>>,
}

impl Host {
    /// Starts a host. The script gets the number of requests that the host has read before the present one.
    pub(crate) async fn start(
        script: impl Fn(usize) -> HostAction + Send + Sync + 'static,
    ) -> Host {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap().to_string();
        let requests: Arc<Mutex<Vec<String>>> = Default::default();
        let script: Script = Arc::new(script);
        let all = requests.clone();
        tokio::spawn(async move {
            while let Ok((mut stream, _)) = listener.accept().await {
                let script = script.clone();
                let all = all.clone();
                tokio::spawn(async move {
                    while let Some(request) = read_message(&mut stream).await {
                        let before = {
                            let mut all = all.lock().unwrap();
                            all.push(request);
                            all.len() - 1
                        };
                        let bytes = match script(before) {
                            HostAction::Respond(bytes) => bytes,
                            HostAction::RespondAfter(pause, bytes) => {
                                sleep(pause).await;
                                bytes
                            }
                            HostAction::RespondOnceReleased(mut release, bytes) => {
                                let _ = release.wait_for(|is_released| *is_released).await;
                                bytes
                            }
                            HostAction::RespondAndSend(first, pause, more) => {
                                if stream.write_all(&first).await.is_err() {
                                    return;
                                }
                                sleep(pause).await;
                                more
                            }
                            HostAction::Close => return,
                        };
                        if stream.write_all(&bytes).await.is_err() {
                            return;
                        }
                    }
                });
            }
        });
        Host { address, requests }
    }

    pub(crate) fn count(&self) -> usize {
        self.requests.lock().unwrap().len()
    }

    /// Waits until the host has read `count` requests.
    pub(crate) async fn wait_for_requests(&self, count: usize) {
        timeout(EVENT_TIMEOUT, async {
            while self.count() < count {
                sleep(Duration::from_millis(1)).await;
            }
        })
        .await
        .expect("the host reads the requests in time");
    }
}
