//! Places in the program at which tests let it die: each is named here once, and a test that walks [`CRASH_POINTS`] cannot
//! miss a new one.

use std::sync::atomic::{AtomicU64, Ordering};

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CrashPoint {
    /// Writes are handed to the disk's thread and none of them is on the disk.
    BeforeSync,
    /// They are on the disk, and nobody has been told.
    AfterSync,
    /// Messages of a step are made and none has been handed to its link.
    BeforeSending,
    /// Half of the messages of a step have been handed to their links.
    WithinSending,
    /// Answers of a step are made and none has left.
    BeforeAnswering,
    /// An entry has been applied.
    Applied,
}

pub const CRASH_POINTS: [(&str, CrashPoint); 6] = [
    ("before-sync", CrashPoint::BeforeSync),
    ("after-sync", CrashPoint::AfterSync),
    ("before-sending", CrashPoint::BeforeSending),
    ("within-sending", CrashPoint::WithinSending),
    ("before-answering", CrashPoint::BeforeAnswering),
    ("applied", CrashPoint::Applied),
];

/// CrashPoint to die, and at which passing of that place.
#[derive(Debug)]
pub struct CrashInjector {
    crash_at: Option<(CrashPoint, u64)>,
    passed: AtomicU64,
}

impl CrashInjector {
    pub fn new(die_at: Option<(CrashPoint, u64)>) -> Self {
        CrashInjector {
            crash_at: die_at,
            passed: AtomicU64::new(0),
        }
    }

    pub fn pass(&self, at: CrashPoint) {
        let Some((place, nth)) = self.crash_at else {
            return;
        };
        if place == at && self.passed.fetch_add(1, Ordering::Relaxed) + 1 == nth {
            // As by kill -9: nothing is flushed, no destructor runs.
            std::process::abort();
        }
    }
}
