//! Asks the operating system for the unread input of a connection.

use std::io::Read;
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

/// Fills `buffer` with the unread input of `stream` as far as the operating system has received it, without waiting.
/// Returns the number of bytes read. The end of the connection and its errors count as no input.
pub(crate) fn read_unread(stream: &TcpStream, buffer: &mut [u8]) -> usize {
    let socket = SockRef::from(stream);
    let mut length = 0;
    while length < buffer.len() {
        match (&*socket).read(&mut buffer[length..]) {
            Ok(read) if read > 0 => length += read,
            _ => break,
        }
    }
    length
}

#[cfg(test)]
#[path = "../tests/unit/unread.rs"]
mod tests;
