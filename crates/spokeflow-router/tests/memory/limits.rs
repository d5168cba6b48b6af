//! Limits of a router, and its use of memory.

use crate::common::TestRouter;

/// The limits in a router's configuration.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Limits {
    pub(crate) memory_mb: u64,
    pub(crate) sockets: u32,
}

/// The corners of the range that the platform names, and one case between them.
pub(crate) const ALL_LIMITS: [Limits; 5] = [
    Limits::new(32, 256),
    Limits::new(32, 1_024),
    Limits::new(48, 608),
    Limits::new(192, 256),
    Limits::new(192, 1_024),
];

impl Limits {
    pub(crate) const fn new(memory_mb: u64, sockets: u32) -> Self {
        Limits { memory_mb, sockets }
    }

    /// Starts a router with these limits.
    pub(crate) async fn start(self, list: String, deployer: &str) -> TestRouter {
        let memory = format!("\"memory_mb\":{}", self.memory_mb);
        TestRouter::start_with(list, deployer, self.sockets, |text| {
            // The tenant's quota must not refuse what the tests send.
            text.replace("\"memory_mb\":64", &memory)
                .replace("\"allowance_per_s\":25.0", "\"allowance_per_s\":20000.0")
        })
        .await
    }

    /// Asserts that the router is running and has never held more resident memory than its limit.
    pub(crate) fn assert_held(self, router: &mut TestRouter, case: &str) {
        assert!(
            router.child.try_wait().unwrap().is_none(),
            "{self:?}, {case}: the router has ended"
        );
        let highest_kb = highest_memory_kb(router);
        eprintln!("{self:?}, {case}: at most {highest_kb} kB of memory");
        assert!(
            highest_kb * 1_024 <= self.memory_mb * 1_000_000,
            "{self:?}, {case}: {highest_kb} kB of memory"
        );
    }
}

/// Returns the highest resident memory of the router so far, in kibibytes.
pub(crate) fn highest_memory_kb(router: &TestRouter) -> u64 {
    let pid = router.child.id().unwrap();
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap();
    let line = status.lines().find(|line| line.starts_with("VmHWM:"));
    let value = line.unwrap().split_ascii_whitespace().nth(1);
    value.unwrap().parse().unwrap()
}
