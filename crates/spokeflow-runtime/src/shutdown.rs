//! The signals that end a program.

use tokio::signal::ctrl_c;
use tokio::signal::unix::{signal, SignalKind};

/// Returns at the first SIGTERM or SIGINT. Where the system lets no handler for SIGTERM be set, it never returns.
pub async fn shutdown_signal() {
    let Ok(mut terminate) = signal(SignalKind::terminate()) else {
        return std::future::pending().await;
    };
    tokio::select! {
        _ = terminate.recv() => {}
        _ = ctrl_c() => {}
    }
}
