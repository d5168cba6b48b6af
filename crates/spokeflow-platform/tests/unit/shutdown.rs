//! Phases of a shutdown at given times, compared with the platform's rules for a planned restart.

use super::*;

const MS: Duration = Duration::from_millis(1);

fn started_shutdown(longest: Duration) -> (Shutdown, Instant) {
    let mut shutdown = Shutdown::new(longest);
    let at = Instant::now();
    assert_eq!(shutdown.step(at, 0, 0), Step::Wait);
    assert_eq!(shutdown.next_check(at), None);
    shutdown.begin(at);
    (shutdown, at)
}

#[test]
fn it_closes_after_the_load_balancer_has_stopped_and_ends_without_clients() {
    let (mut shutdown, at) = started_shutdown(4_000 * MS);
    assert_eq!(shutdown.step(at + 499 * MS, 0, 0), Step::Wait);
    assert_eq!(shutdown.step(at + 500 * MS, 0, 1), Step::Close);
    // No command is pending, but the task of a connected client may be about to send one: a client keeps the router
    // running.
    assert_eq!(shutdown.step(at + 600 * MS, 0, 1), Step::Wait);
    assert_eq!(
        shutdown.step(at + 700 * MS, 0, 0),
        Step::Wait,
        "the operating system may just have accepted a connection"
    );
    assert_eq!(shutdown.step(at + 720 * MS, 1, 1), Step::Wait);
    assert_eq!(shutdown.step(at + 730 * MS, 0, 0), Step::Wait);
    assert_eq!(shutdown.step(at + 780 * MS, 0, 0), Step::End);
}

/// The platform sends SIGKILL no sooner than the longest deadline, counted as 3 s if it is longer, plus 0.7 s.
#[test]
fn pending_commands_are_aborted_before_the_process_is_killed() {
    for (longest, killed) in [(60_000, 3_700), (4_000, 3_700), (600, 1_300)] {
        let (mut shutdown, at) = started_shutdown(longest * MS);
        assert_eq!(shutdown.step(at + 500 * MS, 3, 3), Step::Close);
        let aborted_ms =
            (500..killed).find(|ms| shutdown.step(at + *ms * MS, 3, 3) == Step::AbortAll);
        assert!(
            aborted_ms.is_some_and(|ms| killed - ms >= 100),
            "longest deadline {longest} ms: aborted after {aborted_ms:?} ms, expected at least 100 ms before {killed} ms"
        );
        // Clients that read slowly still get their answers, up to a limit.
        assert_eq!(shutdown.step(at + (killed + 1_000) * MS, 0, 1), Step::Wait);
        assert_eq!(shutdown.step(at + (killed + 5_000) * MS, 0, 1), Step::End);
    }
}
