//! What routers tell each other, as bytes: what one has found of a build, and how a build stands with one.

use crate::{BuildId, HostId};

#[derive(Clone, Debug, PartialEq)]
pub enum Talk {
    /// Gains of the judge's sums by host and sum, and the answers that they rest on.
    Found { build: BuildId, answers: u8, gains: Vec<(HostId, u8, f64)> },
    /// The greatest sum and the answers that it rests on.
    Stands { build: BuildId, answers: u8, sum: f64 },
}

const PART: usize = 7;
const LONGEST: usize = 256;

impl Talk {
    /// What does not fit into one message is left out.
    pub fn write(&self) -> Vec<u8> {
        let (kind, build, answers) = match self {
            Talk::Stands { build, answers, .. } => (1, build, answers),
            Talk::Found { build, answers, .. } => (2, build, answers),
        };
        let [b1, b0] = build.0.to_be_bytes();
        let mut text = vec![kind, b1, b0, *answers];
        match self {
            Talk::Stands { sum, .. } => text.push((sum * 10.0).clamp(0.0, 255.0) as u8),
            Talk::Found { gains, .. } => {
                for (host, which, gain) in gains.iter().take((LONGEST - text.len()) / PART) {
                    text.extend(host.0.to_be_bytes());
                    text.push(*which);
                    text.extend(((gain * 100.0) as i16).to_be_bytes());
                }
            }
        }
        text
    }

    pub fn read(text: &[u8]) -> Option<Talk> {
        let [kind, b1, b0, answers, rest @ ..] = text else { return None };
        let (build, answers) = (BuildId(u16::from_be_bytes([*b1, *b0])), *answers);
        match (kind, rest) {
            (1, [sum]) => Some(Talk::Stands { build, answers, sum: f64::from(*sum) / 10.0 }),
            (2, _) if rest.len() % PART == 0 => {
                let gains = rest.chunks_exact(PART).map(|part| {
                    let host = HostId(u32::from_be_bytes([part[0], part[1], part[2], part[3]]));
                    (host, part[4], f64::from(i16::from_be_bytes([part[5], part[6]])) / 100.0)
                });
                Some(Talk::Found { build, answers, gains: gains.collect() })
            }
            _ => None,
        }
    }
}
