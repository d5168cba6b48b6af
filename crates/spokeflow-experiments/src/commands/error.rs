//! The errors of subcommands, each one line on standard error.

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

/// A subcommand could not be executed. The program exits with code 2.
#[derive(Debug, Error)]
pub(crate) enum CommandError {
    /// The plan cannot be played.
    #[error(transparent)]
    Plan(#[from] PlanError),
    /// The flags of the scenario are invalid. Holds the message of the scenario package.
    #[error("{0}")]
    Scenario(String),
    /// Fake peers, a router or a load test failed. Holds the message of the testbed.
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
    /// `--seconds` of `hunt` is below its minimum.
    #[error("--seconds {actual}: expected at least {minimum}")]
    TooShort { actual: u64, minimum: u64 },
    /// `--seconds` or `--beside` of `agree` is below its minimum.
    #[error(
        "--seconds {seconds} --beside {concurrency}: expected at least --seconds 5 --beside 1"
    )]
    AgreeBounds { seconds: u64, concurrency: usize },
    /// The folder of the charts cannot be created.
    #[error("--charts {}: cannot create the folder: {source}", folder.display())]
    ChartsFolder { folder: PathBuf, source: io::Error },
    /// The file of the result store does not exist.
    #[error("--store {}: no such file", .0.display())]
    NoStore(PathBuf),
    /// The store has results of several builds, and `--label` selects none.
    #[error("--label is required, since the store has results of several builds: {0}")]
    SeveralBuilds(String),
    /// The store lacks a result of the build that `--first-label` names.
    #[error("--first-label {build}: the store lacks {scenario} seed {seed}")]
    MissingResult {
        build: String,
        scenario: String,
        seed: u64,
    },
    /// An input of the capacity page is invalid.
    #[error(transparent)]
    Capacity(#[from] CapacityError),
    /// The output could not be encoded as JSON.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// The tokio runtime could not be started.
    #[error("cannot start the tokio runtime: {0}")]
    Runtime(#[source] io::Error),
    /// A run on sockets panicked or was cancelled.
    #[error("a run on sockets ended early: {0}")]
    Task(#[source] tokio::task::JoinError),
}

impl CommandError {
    /// Converts an error of the scenario package.
    pub(crate) fn scenario(message: impl fmt::Display) -> Self {
        CommandError::Scenario(message.to_string())
    }

    /// Converts an error of the testbed.
    pub(crate) fn testbed(message: impl fmt::Display) -> Self {
        CommandError::Testbed(message.to_string())
    }
}
