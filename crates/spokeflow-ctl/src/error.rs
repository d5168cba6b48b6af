//! Why a command was not carried out, and its exit code.

use std::io;
use std::process::ExitCode;

use spokeflow_config::ConfigErrors;
use spokeflow_control_plane::client::RequestError;
use spokeflow_coordination::wire::Response;
use thiserror::Error;

/// Exit code where the command was used wrongly or no node answered.
const EXIT_USAGE: u8 = 2;

/// What prevents a command.
#[derive(Debug, Error)]
pub(crate) enum CtlError {
    /// The control plane refuses the request for what it contains.
    #[error("{0}")]
    Invalid(String),
    /// The values of a revision do not fit.
    #[error(transparent)]
    Values(#[from] ConfigErrors),
    /// The leader changed while the request was carried out.
    #[error("unknown whether it was done: see status")]
    Indeterminate,
    /// A newer revision exists than the one that the proposal was made against.
    #[error("made against revision {base}, but {newest} is the newest")]
    Stale { base: u64, newest: u64 },
    /// Another revision is not in force yet.
    #[error("revision {pending} is pending and not in force yet")]
    Busy { pending: u64 },
    /// The time is over and the revision is not in force.
    #[error("revision {in_force} is in force, {expected} is not yet")]
    NotInForce { in_force: u64, expected: u64 },
    /// The time is over and the change of voters is not committed.
    #[error("the change of voters is not committed yet: see status")]
    VotersNotCommitted,
    /// An argument is not a name with a value.
    #[error("'{0}' is not NAME=VALUE, such as stage-cap=0.05,0.2,0.5,1")]
    NotNameValue(String),
    /// No node is named.
    #[error("--control-plane: at least one address, or the variable SPOKEFLOW_CONTROL_PLANE")]
    NoNode,
    /// No node answered.
    #[error(transparent)]
    Request(#[from] RequestError),
    /// The response belongs to another request.
    #[error("unexpected response: {0:?}")]
    UnexpectedResponse(Box<Response>),
    /// The result cannot be printed as JSON.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// The runtime cannot be built.
    #[error("cannot start: {0}")]
    Runtime(#[source] io::Error),
}

impl CtlError {
    /// 1 where the command was refused or is not so, 2 where it was used wrongly or no node answered.
    pub(crate) fn exit_code(&self) -> ExitCode {
        match self {
            CtlError::Invalid(_)
            | CtlError::Values(_)
            | CtlError::Indeterminate
            | CtlError::Stale { .. }
            | CtlError::Busy { .. }
            | CtlError::NotInForce { .. }
            | CtlError::VotersNotCommitted => ExitCode::FAILURE,
            CtlError::NotNameValue(_)
            | CtlError::NoNode
            | CtlError::Request(_)
            | CtlError::UnexpectedResponse(_)
            | CtlError::Json(_)
            | CtlError::Runtime(_) => ExitCode::from(EXIT_USAGE),
        }
    }
}
