//! The link that the router keeps to the list, and the list as last heard, in a file.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use futures_util::{SinkExt, StreamExt};
use spokeflow_engine::Input;
use spokeflow_proto::{EndpointPhase, EndpointRecord, FrameError, FromList, ToList, LIST_LIMIT};
use tokio::sync::mpsc;
use tokio::time::{sleep, Instant};
use tracing::warn;

use crate::event::EngineEvent;
use crate::hosts::LinkTerms;
use crate::links::{open, Link, LIST_WAY};

pub struct ListLink {
    pub address: SocketAddr,
    pub terms: Arc<LinkTerms>,
    pub renew: Duration,
    pub file: Option<PathBuf>,
    pub core: mpsc::Sender<EngineEvent>,
    pub asked: mpsc::Receiver<ToList>,
}

impl ListLink {
    pub async fn run(mut self) {
        let (mut failures, mut version) = (0_u32, None);
        let mut backoff = self.terms.backoff(LIST_WAY);
        let mut kept = Kept::default();
        loop {
            let wait = self.terms.connect_timeout.max(Duration::from_secs(1));
            let hello = ToList::Hello(self.terms.hello.clone());
            let opened = open(self.address, LIST_LIMIT, wait, hello, |m| {
                matches!(m, FromList::Welcome)
            })
            .await;
            let fault = match opened {
                Ok(link) => {
                    let since = Instant::now();
                    let fault = self.watch(link, &mut version, &mut kept).await;
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
            if self
                .core
                .send(EngineEvent::Input(Input::ListUnavailable))
                .await
                .is_err()
            {
                return;
            }
            warn!(failures, %fault, "list link lost");
            sleep(backoff.delay(failures.saturating_sub(1))).await;
        }
    }

    async fn watch(
        &mut self,
        mut link: Link<FromList, ToList>,
        version: &mut Option<u64>,
        kept: &mut Kept,
    ) -> FrameError {
        // What was asked of the link before this one is asked anew here.
        while self.asked.try_recv().is_ok() {}
        let mut unheard = 0;
        if let Err(fault) = link.send(ToList::Watch { have: *version }).await {
            return fault;
        }
        loop {
            let send = tokio::select! {
                read = link.next() => match read {
                    Some(Ok(message)) => {
                        unheard = 0;
                        if let FromList::Complete { version: v, .. } | FromList::Changes { version: v, .. } = &message {
                            *version = Some(*v);
                        }
                        if let Some(file) = self.file.as_ref().filter(|_| kept.take(&message)) {
                            kept.write(file.clone());
                        }
                        if self.core.send(EngineEvent::Input(Input::FromList(message))).await.is_err() {
                            return FrameError::TooSlow;
                        }
                        continue;
                    }
                    Some(Err(fault)) => return fault,
                    None => return FrameError::Truncated { have: 0 },
                },
                Some(asked) = self.asked.recv() => asked,
                _ = sleep(self.renew) => {
                    unheard += 1;
                    if unheard > 3 {
                        return FrameError::TooSlow;
                    }
                    ToList::Watch { have: *version }
                }
            };
            if let Err(fault) = link.send(send).await {
                return fault;
            }
        }
    }
}

/// The list as last heard, kept in a file for a start without it.
#[derive(Default)]
struct Kept {
    lines: std::collections::BTreeMap<u32, EndpointRecord>,
    writing: Arc<std::sync::atomic::AtomicBool>,
}

const LIST_MARK: &[u8; 8] = b"SPKFLST1";

impl Kept {
    /// Whether something has changed.
    fn take(&mut self, message: &FromList) -> bool {
        let lines = match message {
            FromList::Complete {
                endpoints: lines, ..
            } => {
                self.lines.clear();
                lines
            }
            FromList::Changes {
                endpoints: lines, ..
            } => lines,
            _ => return false,
        };
        for line in lines {
            if line.phase == EndpointPhase::Gone {
                self.lines.remove(&line.host);
            } else {
                self.lines.insert(line.host, line.clone());
            }
        }
        !lines.is_empty()
    }

    /// Off the path of commands, and one at a time: the next change writes what this one is too late for.
    fn write(&self, file: PathBuf) {
        use std::sync::atomic::Ordering;
        if self.writing.swap(true, Ordering::AcqRel) {
            return;
        }
        let lines: Vec<EndpointRecord> = self.lines.values().cloned().collect();
        let writing = self.writing.clone();
        tokio::task::spawn_blocking(move || {
            if let Err(e) = write_list(&file, &lines) {
                warn!(file = %file.display(), %e, "the last list is not kept");
            }
            writing.store(false, Ordering::Release);
        });
    }
}

fn write_list(file: &std::path::Path, lines: &[EndpointRecord]) -> std::io::Result<()> {
    use std::io::Write;
    let body = postcard::to_stdvec(lines).map_err(std::io::Error::other)?;
    let beside = file.with_extension("new");
    let mut to = std::fs::File::create(&beside)?;
    to.write_all(LIST_MARK)?;
    to.write_all(&body)?;
    to.sync_all()?;
    // Whole or not at all: a kill in between leaves the old one.
    std::fs::rename(&beside, file)
}

/// The list that an earlier process kept. Errors: why it is not used.
pub fn read_list(file: &std::path::Path) -> Result<Vec<EndpointRecord>, String> {
    let bytes = std::fs::read(file).map_err(|e| e.to_string())?;
    let body = bytes
        .strip_prefix(LIST_MARK)
        .ok_or("not a kept list of this version")?;
    match postcard::take_from_bytes::<Vec<EndpointRecord>>(body) {
        Ok((lines, [])) => Ok(lines),
        _ => Err("the kept list is damaged".into()),
    }
}
