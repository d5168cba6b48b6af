//! The hello that opens every connection, and the message that refuses one.

use serde::{Deserialize, Serialize};

use crate::FrameError;

/// The newest protocol version. A router requests it only where it wants the messages added by version 2: load
/// reports of hosts, delivery statistics of the release controller and host sizes of the endpoint list.
pub const VERSION: u16 = 2;
/// The oldest protocol version that is still supported.
pub const OLDEST_VERSION: u16 = 1;
/// The magic bytes at the beginning of every [`Hello`].
pub const MAGIC: [u8; 4] = *b"SPKF";

/// The first message on every connection, sent by the end that connects. The other end answers with `Welcome` or
/// `Refused`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Hello {
    /// Must be [`MAGIC`].
    pub magic: [u8; 4],
    /// Protocol version that the caller requests.
    pub version: u16,
    /// Role of the caller.
    pub role: Role,
    /// For a router, its index in the fleet; for a client, any number that identifies it in logs.
    pub index: u32,
    /// The caller's zone (site).
    pub zone: u16,
}

impl Hello {
    /// Creates a hello with the oldest version, which every peer accepts.
    pub fn new(role: Role, index: u32, zone: u16) -> Self {
        Hello {
            magic: MAGIC,
            version: OLDEST_VERSION,
            role,
            index,
            zone,
        }
    }

    /// Returns this hello with the newest version.
    pub fn with_newest_version(self) -> Self {
        Hello {
            version: VERSION,
            ..self
        }
    }

    /// Returns whether the caller requests the newest version.
    pub fn has_newest_version(&self) -> bool {
        self.version >= VERSION
    }

    /// Checks the magic bytes, the version, and that the role is one of `roles`.
    ///
    /// # Errors
    ///
    /// Returns the first that applies of [`FrameError::NotSpokeflow`], [`FrameError::WrongVersion`] and
    /// [`FrameError::WrongRole`].
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

/// The role of the end that opens a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Role {
    /// A client, which connects to a router.
    Client,
    /// A router, which connects to a host, the endpoint list or the release controller. A control-plane node uses this
    /// role as well when it reads the endpoint list.
    Router,
}

/// The reason for closing a connection, sent as its last message.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refused {
    /// Error code, as [`FrameError::code`] returns it.
    pub code: u8,
    /// Error message for people.
    pub text: String,
}
