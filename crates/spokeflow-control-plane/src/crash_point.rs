//! Points in the program at which tests make it crash. All are listed in [`CRASH_POINTS`], so that a test that iterates
//! over them covers a new one as well.

use std::sync::atomic::{AtomicU64, Ordering};

/// A point between two steps that a crash may separate.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CrashPoint {
    /// Writes have reached the persistence thread and none of them is on the disk.
    BeforeSync,
    /// Writes are on the disk, and the tasks that wait for them have not been notified.
    AfterSync,
    /// Messages have been created and none of them has been queued on its link.
    BeforeSending,
    /// Half of the messages have been queued on their links.
    WithinSending,
    /// Responses have been created and none of them has been queued.
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
    /// Returns the name of the point in the value of `--crash-at`.
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
    /// The pass of that point at which to crash, counted from 1.
    pub nth: u64,
}

impl CrashTarget {
    /// Parses `POINT:NTH`; without `NTH` the first pass is meant. A value parser for clap.
    pub(crate) fn parse(text: &str) -> Result<Self, String> {
        let (name, nth) = text.split_once(':').unwrap_or((text, "1"));
        let point = CRASH_POINTS
            .into_iter()
            .find(|point| point.name() == name)
            .ok_or_else(|| format!("unknown crash point '{name}'"))?;
        let nth = nth
            .parse()
            .map_err(|_| format!("'{nth}' is not a number, expected POINT:NTH"))?;
        Ok(CrashTarget { point, nth })
    }
}

/// Aborts the process at its target; does nothing without one.
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

    /// Counts a pass of `point`, and aborts the process if this pass is the target.
    pub(crate) fn pass(&self, point: CrashPoint) {
        let Some(target) = self.target else {
            return;
        };
        if target.point != point {
            return;
        }
        let passed = self.passed.fetch_add(1, Ordering::Relaxed) + 1;
        if passed == target.nth {
            // Like `kill -9`: nothing is flushed and no destructor runs.
            std::process::abort();
        }
    }
}
