//! The signals that end a program.

use tokio::signal::ctrl_c;
use tokio::signal::unix::{signal, SignalKind};

/// Waits for the first SIGTERM or SIGINT. Never returns if the handler for SIGTERM cannot be installed.
pub async fn shutdown_signal() {
    let Ok(mut terminate) = signal(SignalKind::terminate()) else {
        return std::future::pending().await;
    };
    tokio::select! {
        _ = terminate.recv() => {}
        _ = ctrl_c() => {}
    }
}
