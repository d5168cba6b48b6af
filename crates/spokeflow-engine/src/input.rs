//! What reaches a router, and its recording: the same inputs through the engine give the same outputs.

use std::fmt;

use serde::{Deserialize, Serialize};
use spokeflow_coordination::EffectiveConfig;
use spokeflow_core::Micros;
use spokeflow_proto::{Command, FromController, FromHost, FromList, Line};

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Input {
    Command {
        conn: u64,
        command: Command,
    },
    Abandon {
        conn: u64,
        id: u64,
    },
    WrongAnswer {
        conn: u64,
        receipt: u64,
    },
    ClientDisconnected {
        conn: u64,
    },
    FromHost {
        host: u32,
        message: FromHost,
    },
    /// How a delivery ended that brought no message back: never left, no connection, or broken.
    DeliveryFailed {
        host: u32,
        delivery: u64,
        failure: TransportFailure,
    },
    FromList(FromList),
    /// The list as it was when an earlier process last heard of it.
    CachedList(Vec<Line>),
    /// The list cannot be asked now, or its watch broke.
    ListUnavailable,
    FromController(FromController),
    ControllerUnavailable,
    Gossip {
        router: u32,
        text: Vec<u8>,
    },
    /// Takes no more commands.
    Close,
    Timer,
    /// Word came from elsewhere than the client that an answer of this host was wrong, to a delivery sent so many
    /// microseconds ago.
    WrongAnswerReport {
        host: u32,
        ago_us: u64,
    },
    /// From the keepers: these terms may be acted on until then, by the engine's clock. Of a router that follows
    /// keepers it is the first input, with a time that is over.
    Lease {
        until: Micros,
        config: Box<EffectiveConfig>,
    },
    /// From the keepers: hosts that the list now has otherwise, or all that it has. Of a router that takes its list from
    /// them it comes first without any host; what its own list says then only takes hosts away.
    ReplicatedList {
        complete: bool,
        hosts: Vec<Line>,
    },
    /// This process is about to be ended: every command that is owed an answer gets it now.
    AbortAll,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum TransportFailure {
    /// Not a whole frame left: it never ran.
    NotSent,
    /// No connection could be made, or the host refused it: it never ran.
    NotConnected,
    /// The connection broke after the frame had left: it may have run.
    Reset,
    /// Nothing has come for so long that the router has dropped the connection itself: it may have run. No sign
    /// that the host's process failed, since a way that is cut looks the same. Or what has come cannot be read, and
    /// the router waits no longer.
    Unresponsive,
}

const MARK: &[u8; 8] = b"SPKFREC1";

/// Inputs with their times, as bytes: a mark and version, then for each a length, a checksum and its body.
pub struct Recording;

#[derive(Debug, PartialEq, Eq)]
pub enum RecordingError {
    /// Not a recording, or of another version.
    NotARecording,
    /// True up to `whole` inputs; what follows at byte `at` is torn or damaged.
    Torn { whole: usize, at: usize },
}

impl fmt::Display for RecordingError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            RecordingError::NotARecording => write!(f, "not a recording of this version"),
            RecordingError::Torn { whole, at } => {
                write!(f, "torn at byte {at}: {whole} inputs before it are whole")
            }
        }
    }
}

impl std::error::Error for RecordingError {}

impl Recording {
    pub fn head(seed: u64, now: Micros) -> Vec<u8> {
        let mut head = MARK.to_vec();
        head.extend(seed.to_be_bytes());
        head.extend(now.to_be_bytes());
        head
    }

    /// One input, ready to be appended.
    pub fn entry(now: Micros, input: &Input) -> Vec<u8> {
        let body = postcard::to_stdvec(&(now, input)).expect("plain types always serialize");
        let mut entry = (body.len() as u32).to_be_bytes().to_vec();
        entry.extend(sum(&body).to_be_bytes());
        entry.extend(body);
        entry
    }

    /// The seed, the time of start, the inputs, and the fault at which reading ended, if any.
    pub fn read(bytes: &[u8]) -> (u64, Micros, Vec<(Micros, Input)>, Option<RecordingError>) {
        let number = |from: usize| {
            let part = bytes
                .get(from..from + 8)
                .and_then(|b| <[u8; 8]>::try_from(b).ok());
            part.map(u64::from_be_bytes)
        };
        let (Some(seed), Some(now), true) = (number(8), number(16), bytes.starts_with(MARK)) else {
            return (0, 0, Vec::new(), Some(RecordingError::NotARecording));
        };
        let (mut inputs, mut at) = (Vec::new(), 24);
        while at < bytes.len() {
            let entry = (|| {
                let head = bytes.get(at..at + 8)?;
                let length = u32::from_be_bytes(head[..4].try_into().ok()?) as usize;
                let body = bytes.get(at + 8..at.checked_add(8 + length)?)?;
                (head[4..] == sum(body).to_be_bytes()).then_some(())?;
                Some((postcard::from_bytes(body).ok()?, 8 + length))
            })();
            let Some((input, length)) = entry else {
                let fault = RecordingError::Torn {
                    whole: inputs.len(),
                    at,
                };
                return (seed, now as Micros, inputs, Some(fault));
            };
            inputs.push(input);
            at += length;
        }
        (seed, now as Micros, inputs, None)
    }
}

/// FNV-1a, 32 bits: enough to tell a torn entry from a whole one.
fn sum(bytes: &[u8]) -> u32 {
    bytes.iter().fold(0x811c_9dc5, |h, b| {
        (h ^ u32::from(*b)).wrapping_mul(0x0100_0193)
    })
}
