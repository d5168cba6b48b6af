//! Asks the operating system whether a connection has unread input.

use std::mem::MaybeUninit;

use socket2::SockRef;
use tokio::net::TcpStream;

/// The unread input of a connection.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum UnreadState {
    Nothing,
    Bytes,
    /// The peer has closed the connection, or it is broken.
    End,
}

/// Returns the unread input of `stream` without reading it. Asks the operating system, since the runtime's readiness is
/// only as recent as its last wait.
pub(crate) fn unread_state(stream: &TcpStream) -> UnreadState {
    let mut byte = [MaybeUninit::uninit()];
    match SockRef::from(stream).peek(&mut byte) {
        Ok(0) => UnreadState::End,
        Ok(_) => UnreadState::Bytes,
        Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => UnreadState::Nothing,
        Err(_) => UnreadState::End,
    }
}

#[cfg(test)]
#[path = "../tests/unit/unread.rs"]
mod tests;
