//! Why a subcommand could not be executed, in one line for standard error.

use std::fmt;
use std::io;
use std::path::PathBuf;

use spokeflow_experiments::capacity::{CapacityError, MeasureLoadError};
use spokeflow_experiments::charts::ChartError;
use spokeflow_experiments::compare::CompareError;
use spokeflow_experiments::plan::PlanError;
use spokeflow_experiments::store::StoreError;
use spokeflow_experiments::sweep::SweepError;
use thiserror::Error;

/// Why a subcommand could not be executed: exit code 2.
#[derive(Debug, Error)]
pub(crate) enum CommandError {
    /// The plan cannot be played.
    #[error(transparent)]
    Plan(#[from] PlanError),
    /// The scenario's flags or names are wrong, as its package says.
    #[error("{0}")]
    Scenario(String),
    /// Fake peers, routers or loads failed, as their package says.
    #[error("{0}")]
    Testbed(String),
    /// The store of results failed.
    #[error(transparent)]
    Store(#[from] StoreError),
    /// Results could not be played or written out.
    #[error(transparent)]
    Sweep(#[from] SweepError),
    /// A chart could not be written.
    #[error(transparent)]
    Chart(#[from] ChartError),
    /// Two sides cannot be compared.
    #[error(transparent)]
    Compare(#[from] CompareError),
    /// The load measurement of the capacity page failed.
    #[error(transparent)]
    MeasureLoad(#[from] MeasureLoadError),
    /// `--seconds` of `hunt` is below its least.
    #[error("--seconds: at least {0}")]
    TooShort(u64),
    /// `--seconds` or `--beside` of `agree` is below its least.
    #[error("--seconds: at least 5; --beside: at least 1")]
    AgreeBounds,
    /// The folder of the charts cannot be made.
    #[error("--charts {}: {source}", folder.display())]
    ChartsFolder { folder: PathBuf, source: io::Error },
    /// There is no file of that name.
    #[error("--store {}: there is none", .0.display())]
    NoStore(PathBuf),
    /// The store holds several builds, and no flag says which is meant.
    #[error("--label: the store has results of {0}")]
    SeveralBuilds(String),
    /// Another build has not played what it is to be compared on.
    #[error("--first-label {build}: the store lacks {scenario} seed {seed}")]
    MissingResult {
        build: String,
        scenario: String,
        seed: u64,
    },
    /// An input of the capacity page is wrong.
    #[error(transparent)]
    Capacity(#[from] CapacityError),
    /// The report could not be written as JSON.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// No runtime could be started.
    #[error("{0}")]
    Runtime(#[source] io::Error),
    /// A run on sockets panicked or was cancelled.
    #[error("{0}")]
    Task(#[source] tokio::task::JoinError),
}

impl CommandError {
    /// From a message of the scenario package.
    pub(crate) fn scenario(message: impl fmt::Display) -> Self {
        CommandError::Scenario(message.to_string())
    }

    /// From a message of the testbed.
    pub(crate) fn testbed(message: impl fmt::Display) -> Self {
        CommandError::Testbed(message.to_string())
    }
}
