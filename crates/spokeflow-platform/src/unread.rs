//! What the system holds unread for a connection, by a call to the system.

use std::mem::MaybeUninit;

use socket2::SockRef;
use tokio::net::TcpStream;

/// What the system holds unread for a connection.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum UnreadState {
    Nothing,
    Bytes,
    /// The peer has ended it, or it broke.
    End,
}

/// What the system holds for `stream`, without reading it. The runtime knows only what it learned when it last waited.
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
