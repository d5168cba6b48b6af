//! The parts that all programs share around their state machines: a monotonic [`Clock`], [`Backoff`] between connection
//! attempts, logging to standard error, a [`LogRateLimiter`] for lines that a peer can cause, and the shutdown signal.
//!
//! It holds no decision logic and no protocol. Of the project's packages it uses `spokeflow-core` only, for its unit of
//! time and its seeded generator.

mod backoff;
mod clock;
mod log_rate_limiter;
mod logging;
mod shutdown;

pub use backoff::Backoff;
pub use clock::Clock;
pub use log_rate_limiter::LogRateLimiter;
pub use logging::{init_logging, LogFormat, LogSetupError};
pub use shutdown::shutdown_signal;
