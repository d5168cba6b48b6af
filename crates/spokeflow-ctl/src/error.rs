//! Errors of the commands and their exit codes.

use std::io;
use std::process::ExitCode;

use spokeflow_config::ConfigErrors;
use spokeflow_control_plane::client::RequestError;
use spokeflow_coordination::wire::Response;
use thiserror::Error;

/// Exit code if the command was used wrongly or no node gave a conclusive answer.
const EXIT_USAGE: u8 = 2;

/// Why a command was not carried out.
#[derive(Debug, Error)]
pub(crate) enum CtlError {
    /// The control plane refused the request for its content.
    #[error("{0}")]
    Invalid(String),
    /// The values of a revision cannot be used.
    #[error(transparent)]
    Values(#[from] ConfigErrors),
    /// The leader changed or did not answer in time: a change of voters may have been carried out or not. An idempotent
    /// request, such as a proposal, is sent again instead; it ends with [`CtlError::Request`] if its outcome stays
    /// unknown.
    #[error("unknown whether the request was carried out: see the output of status")]
    Indeterminate,
    /// A newer revision exists than the one that the proposal was made against.
    #[error("proposal is made against revision {base}, but revision {newest} is the newest")]
    Stale { base: u64, newest: u64 },
    /// The proposal was refused because another revision is not in force yet.
    #[error("proposal refused: revision {pending} is pending and not in force yet")]
    Busy { pending: u64 },
    /// The revision is not in force at the end of `--within`.
    #[error("revision {expected} is not in force yet, revision {in_force} is")]
    NotInForce { in_force: u64, expected: u64 },
    /// The status does not show the change of voters at the end of `--within`.
    #[error("status does not show the change of voters yet")]
    VotersUnchanged,
    /// An argument is not a name with a value.
    #[error("'{0}' is not NAME=VALUE, such as stage-cap=0.05,0.2,0.5,1")]
    NotNameValue(String),
    /// No address of a node is given.
    #[error(
        "--control-plane: at least one address is required, here or in SPOKEFLOW_CONTROL_PLANE"
    )]
    NoNode,
    /// No node gave a conclusive answer.
    #[error(transparent)]
    Request(#[from] RequestError),
    /// The response is not one to this kind of request.
    #[error("unexpected response: {0:?}")]
    UnexpectedResponse(Box<Response>),
    /// The result cannot be encoded as JSON.
    #[error("cannot encode the result as JSON: {0}")]
    Json(#[from] serde_json::Error),
    /// The async runtime cannot be built.
    #[error("cannot build the async runtime: {0}")]
    Runtime(#[source] io::Error),
}

impl CtlError {
    /// Returns 1 if the command was refused, did not take effect in time, or is a change of voters with an unknown
    /// outcome; 2 if it was used wrongly or no node gave a conclusive answer.
    pub(crate) fn exit_code(&self) -> ExitCode {
        match self {
            CtlError::Invalid(_)
            | CtlError::Values(_)
            | CtlError::Indeterminate
            | CtlError::Stale { .. }
            | CtlError::Busy { .. }
            | CtlError::NotInForce { .. }
            | CtlError::VotersUnchanged => ExitCode::FAILURE,
            CtlError::NotNameValue(_)
            | CtlError::NoNode
            | CtlError::Request(_)
            | CtlError::UnexpectedResponse(_)
            | CtlError::Json(_)
            | CtlError::Runtime(_) => ExitCode::from(EXIT_USAGE),
        }
    }
}
