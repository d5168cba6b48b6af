//! The limit on log lines that peers cause.

use spokeflow_runtime::LogRateLimiter;

#[test]
fn ten_lines_a_second_are_allowed_and_the_rest_counted() {
    let limiter = LogRateLimiter::new();
    let written = (0..25).filter(|_| limiter.allow(1).is_some()).count();
    assert_eq!(written, 10);
    assert_eq!(limiter.allow(2), Some(15));
    assert_eq!(limiter.allow(2), Some(0));
}
