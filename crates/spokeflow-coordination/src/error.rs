//! Why a state or a proposal is refused.

/// Why a router could not take the values of a proposal, one fault a line. The configuration that they belong to is
/// not of this crate, so neither is the type.
pub type OverridesError = Box<dyn std::error::Error + Send + Sync>;

/// A snapshot is not a state of this version.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the snapshot cannot be read: {cause}")]
pub struct SnapshotError {
    /// Where the decoding failed.
    pub(crate) cause: postcard::Error,
}

impl From<postcard::Error> for SnapshotError {
    fn from(cause: postcard::Error) -> Self {
        SnapshotError { cause }
    }
}
