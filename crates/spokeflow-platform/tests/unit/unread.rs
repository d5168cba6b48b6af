//! What the system holds for a connection.

use std::io::Write;
use std::time::Duration;

use super::*;

/// Guards against a look that believes the runtime: within one turn of it, it has not heard of what has come since it
/// last waited. A request would be written to a connection that its host had ended, or read another's answer.
#[tokio::test]
async fn what_has_come_is_seen_before_the_runtime_learns_of_it() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let stream = TcpStream::connect(listener.local_addr().unwrap())
        .await
        .unwrap();
    let (mut host, _) = listener.accept().unwrap();
    host.set_nodelay(true).unwrap();
    assert_eq!(unread_state(&stream), UnreadState::Nothing);
    host.write_all(b"x").unwrap();
    // No await from here on: the runtime does not get to wait.
    let begun = std::time::Instant::now();
    while unread_state(&stream) == UnreadState::Nothing && begun.elapsed() < Duration::from_secs(5)
    {
    }
    assert_eq!(unread_state(&stream), UnreadState::Bytes);
    let mut byte = [0];
    assert!(
        stream.try_read(&mut byte).is_err(),
        "the runtime knows by now: this test shows nothing"
    );
    stream.readable().await.unwrap();
    assert_eq!(stream.try_read(&mut byte).unwrap(), 1);
    drop(host);
    while unread_state(&stream) == UnreadState::Nothing && begun.elapsed() < Duration::from_secs(5)
    {
    }
    assert_eq!(unread_state(&stream), UnreadState::End);
}
