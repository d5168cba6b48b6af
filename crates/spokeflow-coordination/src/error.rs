//! Errors of snapshots and of proposed values.

/// Why a router could not apply the values of a proposal, one error per line. Boxed because the configuration that the
/// values belong to, and so its error type, is defined in another crate.
pub type OverridesError = Box<dyn std::error::Error + Send + Sync>;

/// A snapshot does not hold a configuration that this version can decode.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("cannot decode the replicated configuration in the snapshot: {cause}")]
pub struct SnapshotError {
    /// Why decoding failed.
    pub(crate) cause: postcard::Error,
}

impl From<postcard::Error> for SnapshotError {
    fn from(cause: postcard::Error) -> Self {
        SnapshotError { cause }
    }
}
