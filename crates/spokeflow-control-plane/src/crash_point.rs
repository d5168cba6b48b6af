//! Points in the program at which tests let it crash. Each is named here once, so that a test that walks
//! [`CRASH_POINTS`] cannot miss a new one.

use std::sync::atomic::{AtomicU64, Ordering};

/// A point between two steps that a crash may separate.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CrashPoint {
    /// Writes have reached the persistence thread and none of them is on the disk.
    BeforeSync,
    /// Writes are on the disk, and nobody has been notified.
    AfterSync,
    /// Messages have been made and none has been handed to its link.
    BeforeSending,
    /// Half of the messages have been handed to their links.
    WithinSending,
    /// Responses have been made and none has left.
    BeforeAnswering,
    /// An entry of the log has been applied.
    Applied,
}

/// All crash points, in the order of their declaration.
pub const CRASH_POINTS: [CrashPoint; 6] = [
    CrashPoint::BeforeSync,
    CrashPoint::AfterSync,
    CrashPoint::BeforeSending,
    CrashPoint::WithinSending,
    CrashPoint::BeforeAnswering,
    CrashPoint::Applied,
];

impl CrashPoint {
    /// The name under which `--crash-at` takes it.
    pub fn name(self) -> &'static str {
        match self {
            CrashPoint::BeforeSync => "before-sync",
            CrashPoint::AfterSync => "after-sync",
            CrashPoint::BeforeSending => "before-sending",
            CrashPoint::WithinSending => "within-sending",
            CrashPoint::BeforeAnswering => "before-answering",
            CrashPoint::Applied => "applied",
        }
    }
}

/// Where to crash: the value of `--crash-at`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CrashTarget {
    /// The point.
    pub point: CrashPoint,
    /// At which passing of that point, from 1.
    pub nth: u64,
}

impl CrashTarget {
    /// Reads `POINT:NTH`; without a number the first passing is meant. A value parser for clap.
    pub(crate) fn parse(text: &str) -> Result<Self, String> {
        let (name, nth) = text.split_once(':').unwrap_or((text, "1"));
        let point = CRASH_POINTS
            .into_iter()
            .find(|point| point.name() == name)
            .ok_or("no such crash point")?;
        let nth = nth.parse().map_err(|_| "not POINT:NTH")?;
        Ok(CrashTarget { point, nth })
    }
}

/// Aborts the process when its target is reached.
#[derive(Debug)]
pub(crate) struct CrashInjector {
    target: Option<CrashTarget>,
    passed: AtomicU64,
}

impl CrashInjector {
    pub(crate) fn new(target: Option<CrashTarget>) -> Self {
        CrashInjector {
            target,
            passed: AtomicU64::new(0),
        }
    }

    /// Marks that `point` is passed; does not return where the process is to crash here.
    pub(crate) fn pass(&self, point: CrashPoint) {
        let Some(target) = self.target else {
            return;
        };
        if target.point != point {
            return;
        }
        let passed = self.passed.fetch_add(1, Ordering::Relaxed) + 1;
        if passed == target.nth {
            // As by kill -9: nothing is flushed, no destructor runs.
            std::process::abort();
        }
    }
}
