//! One type for each direction of each link. The order of variants and fields is the wire form: new ones go at
//! the end, none is taken out or moved without a new version.

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::FrameError;

/// The newest version that a `Hello` may name, and the oldest; a peer with another is refused. A router names the
/// newest only where it wants what came with it: load reports, the desk's counts, sizes of hosts.
pub const VERSION: u16 = 2;
pub const OLDEST: u16 = 1;
pub const MAGIC: [u8; 4] = *b"SPKF";

/// Opens every connection; what is called answers with `Welcome` or `Refused`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Hello {
    pub magic: [u8; 4],
    pub version: u16,
    pub role: Role,
    /// Index of a router in its fleet; of others, any number that tells them apart in logs.
    pub index: u32,
    /// The site (zone) that the caller stands in.
    pub zone: u16,
}

impl Hello {
    pub fn new(role: Role, index: u32, zone: u16) -> Self {
        Hello {
            magic: MAGIC,
            version: OLDEST,
            role,
            index,
            zone,
        }
    }

    /// The same, asking for what came with the newest version.
    pub fn with_newest_version(self) -> Self {
        Hello {
            version: VERSION,
            ..self
        }
    }

    /// Whether the caller takes what came with the newest version; any other it does not know.
    pub fn has_newest_version(&self) -> bool {
        self.version >= VERSION
    }

    /// Whether this end can speak with the caller. Errors name what does not fit.
    pub fn check(&self, role: &[Role]) -> Result<(), FrameError> {
        if self.magic != MAGIC {
            return Err(FrameError::NotSpokeflow);
        }
        if !(OLDEST..=VERSION).contains(&self.version) {
            return Err(FrameError::WrongVersion(self.version));
        }
        if !role.contains(&self.role) {
            return Err(FrameError::WrongRole);
        }
        Ok(())
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Role {
    Client,
    /// A router that calls a host, the list, the desk or another router.
    Router,
}

/// Why a connection is closed, said in the last frame on it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refused {
    /// Number of the fault, see `FrameError::code`.
    pub code: u8,
    pub text: String,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Command {
    /// The client's own number, not in use on this connection.
    pub id: u64,
    pub op: u16,
    /// Index of the customer.
    pub tenant: u32,
    /// What the command is about; 0 for none.
    pub key: u64,
    /// By which hosts know a repeat of a deduplicated command, the same for each try of it; 0 for none.
    pub idempotency_key: u64,
    /// Microseconds that the client still waits.
    pub left_us: u64,
    pub body: Bytes,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum FromClient {
    Hello(Hello),
    Command(Command),
    /// The client no longer waits for this command; no answer is owed.
    Abandon {
        id: u64,
    },
    /// An answer turned out wrong; the receipt came with it, on this connection.
    WrongAnswer {
        receipt: u64,
    },
    /// From another router of the fleet only.
    Gossip {
        text: Bytes,
    },
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ToClient {
    Welcome,
    Refused(Refused),
    Acked {
        id: u64,
        build: u16,
        receipt: u64,
        body: Bytes,
    },
    /// Trying again is harmless, best after so many microseconds where they are given.
    Nacked {
        id: u64,
        retry_after_us: Option<u64>,
    },
    /// Promises nothing on whether the command had its effect.
    Failed {
        id: u64,
    },
    /// This router takes no more commands; those it holds will be answered.
    Closing,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ToHost {
    Hello(Hello),
    Deliver {
        /// The router's number of this delivery, never used twice on a connection.
        delivery: u64,
        op: u16,
        tenant: u32,
        key: u64,
        idempotency_key: u64,
        /// After so many microseconds nobody waits for the answer.
        left_us: u64,
        body: Bytes,
    },
    /// Nobody waits any longer. The host may stop the work or not; it need not answer.
    Cancel {
        delivery: u64,
    },
    Probe {
        probe: u64,
    },
    /// Asks whether the way still bears: answered with `Pong` at once, whatever the host is busy with.
    Ping,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum FromHost {
    Welcome {
        host: u32,
        build: u16,
        /// Grows with each start of the host's process.
        incarnation: u64,
        /// Microseconds since that start.
        up_us: u64,
    },
    Refused(Refused),
    Acked {
        delivery: u64,
        body: Bytes,
    },
    /// It ran, or may have run, and failed.
    Error {
        delivery: u64,
    },
    /// It was not looked at and will never run.
    Full {
        delivery: u64,
    },
    /// The answer has begun.
    ResponseStarted {
        delivery: u64,
    },
    Probed {
        probe: u64,
    },
    Pong,
    /// How busy the host's cores are, in thousandths; only to a caller of version 2.
    LoadReport {
        busy: u16,
    },
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum EndpointPhase {
    Gone,
    Ready,
    Draining,
}

/// One host as the list knows it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointRecord {
    pub host: u32,
    /// Address and port, as text.
    pub address: String,
    pub build: Option<u16>,
    pub cell: u16,
    pub zone: u16,
    pub phase: EndpointPhase,
    pub incarnation: u64,
    /// Microseconds since the start of its process when this was sent; `None` for long ago.
    pub up_us: Option<u64>,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ToList {
    Hello(Hello),
    /// Changes from now on, after those missed since the version held, if any.
    Watch {
        have: Option<u64>,
    },
    /// The whole list, once.
    Fetch,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum FromList {
    Welcome,
    Refused(Refused),
    Complete {
        version: u64,
        endpoints: Vec<EndpointRecord>,
    },
    Changes {
        version: u64,
        endpoints: Vec<EndpointRecord>,
    },
    Failed,
    /// Relative capacities of hosts that have been listed before; only to a caller of version 2.
    Sizes {
        sizes: Vec<HostSize>,
    },
}

/// The capacity of a host against other hosts'.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct HostSize {
    /// Number of the host.
    pub host: u32,
    /// In any unit, the same for all hosts.
    pub size: f32,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RolloutPhase {
    Canary,
    RollingBack,
    Released,
    Withdrawn,
}

#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct RolloutUpdate {
    pub build: u16,
    pub stage: u8,
    pub phase: RolloutPhase,
    /// 0 to 1.
    pub exposure_cap: f32,
    /// Microseconds that this had stood when it was sent.
    pub age_us: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum VoteChoice {
    Abstain,
    Promote,
    Hold,
    RollBack,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum VoteResult {
    Counted,
    /// Not the present build or stage, or no such verdict here.
    Stale,
    RateLimited,
    Refused,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DeliveryStats {
    pub build: u16,
    pub op: u16,
    pub sampled: u32,
    /// Those that did not end with an ack.
    pub failed: u32,
    /// Mean microseconds of the others.
    pub mean_us: u64,
    /// Microseconds since the period ended.
    pub age_us: u64,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ToController {
    Hello(Hello),
    Vote {
        ballot: u64,
        build: u16,
        stage: u8,
        choice: VoteChoice,
    },
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum FromController {
    Welcome,
    Refused(Refused),
    RolloutUpdate(RolloutUpdate),
    Voted {
        ballot: u64,
        result: VoteResult,
    },
    /// One op type at one build, in a sample of all routers' deliveries over a past period; only to a caller of
    /// version 2.
    Stats(DeliveryStats),
}
