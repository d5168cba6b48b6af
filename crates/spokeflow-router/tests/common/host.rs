//! A host whose answers a script gives.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::{sleep, timeout};

use super::http::read_message;
use super::SOON;

/// What a host does with a request once it has read it whole.
#[derive(Clone, Debug)]
pub(crate) enum HostAction {
    /// Writes these bytes and goes on.
    Respond(Vec<u8>),
    RespondAfter(Duration, Vec<u8>),
    /// Says this once it is let.
    RespondOnceReleased(watch::Receiver<bool>, Vec<u8>),
    /// Says this, and after a pause what belongs to nobody.
    RespondAndSend(Vec<u8>, Duration, Vec<u8>),
    /// Ends the connection unanswered.
    Close,
}

type Script = Arc<dyn Fn(usize) -> HostAction + Send + Sync>;

/// A host: its address, and the requests it has read, as text.
#[derive(Clone)]
pub(crate) struct Host {
    pub(crate) address: String,
    pub(crate) requests: Arc<Mutex<Vec<String>>>,
}

impl Host {
    /// The script is given how many requests this host has read before.
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
                                let _ = release.wait_for(|go| *go).await;
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

    /// Until it has read so many requests.
    pub(crate) async fn wait_for_requests(&self, count: usize) {
        timeout(SOON, async {
            while self.count() < count {
                sleep(Duration::from_millis(1)).await;
            }
        })
        .await
        .expect("the host hears of it");
    }
}
