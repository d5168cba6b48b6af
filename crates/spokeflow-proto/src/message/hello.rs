//! The opening of every connection.

use serde::{Deserialize, Serialize};

use crate::FrameError;

/// The newest version that a [`Hello`] may name. A router names it only where it wants what came with it: load
/// reports, statistics of the release controller, sizes of hosts.
pub const VERSION: u16 = 2;
/// The oldest version that a [`Hello`] may name.
pub const OLDEST_VERSION: u16 = 1;
/// The mark of this protocol.
pub const MAGIC: [u8; 4] = *b"SPKF";

/// Opens every connection; the called end answers with `Welcome` or `Refused`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Hello {
    /// [`MAGIC`].
    pub magic: [u8; 4],
    /// Of the protocol, as the caller wants it.
    pub version: u16,
    /// What the caller is.
    pub role: Role,
    /// Index of a router in its fleet; of a client, any number that tells it apart in logs.
    pub index: u32,
    /// The caller's zone (site).
    pub zone: u16,
}

impl Hello {
    /// A greeting with the oldest version, which every peer accepts.
    pub fn new(role: Role, index: u32, zone: u16) -> Self {
        Hello {
            magic: MAGIC,
            version: OLDEST_VERSION,
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

    /// Whether the caller understands what came with the newest version.
    pub fn has_newest_version(&self) -> bool {
        self.version >= VERSION
    }

    /// Checks whether this end can serve the caller, which has to have one of these roles.
    ///
    /// # Errors
    ///
    /// [`FrameError::NotSpokeflow`], [`FrameError::WrongVersion`] or [`FrameError::WrongRole`], the first that applies.
    pub fn check(&self, roles: &[Role]) -> Result<(), FrameError> {
        if self.magic != MAGIC {
            return Err(FrameError::NotSpokeflow);
        }
        if !(OLDEST_VERSION..=VERSION).contains(&self.version) {
            return Err(FrameError::WrongVersion(self.version));
        }
        if !roles.contains(&self.role) {
            return Err(FrameError::WrongRole);
        }
        Ok(())
    }
}

/// What a caller is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Role {
    /// A client of a router.
    Client,
    /// A router that calls a host, the endpoint list, the release controller or another router.
    Router,
}

/// Why a connection is closed, in the last frame on it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refused {
    /// [`FrameError::code`] of the error.
    pub code: u8,
    /// The error in words.
    pub text: String,
}
