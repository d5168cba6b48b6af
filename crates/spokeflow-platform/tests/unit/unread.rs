//! Detection of unread input on a connection.

use std::io::Write;
use std::time::Duration;

use super::*;

/// Guards against asking the runtime, which learns of input only when it waits: a request would be written to a
/// connection that its host has closed, or would read the answer to another request.
#[tokio::test]
async fn unread_input_is_seen_before_the_runtime_learns_of_it() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let stream = TcpStream::connect(listener.local_addr().unwrap())
        .await
        .unwrap();
    let (mut host, _) = listener.accept().unwrap();
    host.set_nodelay(true).unwrap();
    assert_eq!(unread_state(&stream), UnreadState::Nothing);
    host.write_all(b"x").unwrap();
    // No await up to the check of `try_read`: the runtime must not get to wait.
    let started_at = std::time::Instant::now();
    while unread_state(&stream) == UnreadState::Nothing
        && started_at.elapsed() < Duration::from_secs(5)
    {}
    assert_eq!(unread_state(&stream), UnreadState::Bytes);
    let mut byte = [0];
    assert!(
        stream.try_read(&mut byte).is_err(),
        "the runtime already knows of the input, so this test proves nothing"
    );
    stream.readable().await.unwrap();
    assert_eq!(stream.try_read(&mut byte).unwrap(), 1);
    drop(host);
    while unread_state(&stream) == UnreadState::Nothing
        && started_at.elapsed() < Duration::from_secs(5)
    {}
    assert_eq!(unread_state(&stream), UnreadState::End);
}
