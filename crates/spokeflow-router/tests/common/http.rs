//! HTTP requests and answers as text.

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::timeout;

use super::EVENT_TIMEOUT;

pub(crate) fn ok_response(body: &str) -> Vec<u8> {
    format!(
        "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
    .into_bytes()
}

/// Reads one message, of the length that its head gives, as text; `None` at the end of the connection.
pub(crate) async fn read_message(stream: &mut TcpStream) -> Option<String> {
    let mut bytes = Vec::new();
    loop {
        let text = String::from_utf8_lossy(&bytes).to_string();
        if let Some((head, rest)) = text.split_once("\r\n\r\n") {
            let length = head.lines().find_map(|l| {
                l.to_ascii_lowercase()
                    .strip_prefix("content-length: ")?
                    .parse()
                    .ok()
            });
            if rest.len() >= length.unwrap_or(0) {
                return Some(text);
            }
        }
        if stream.read_buf(&mut bytes).await.ok()? == 0 {
            return None;
        }
    }
}

/// Reads until the peer closes the connection, and returns what was read.
pub(crate) async fn read_until_closed(stream: &mut TcpStream) -> Vec<u8> {
    let mut bytes = Vec::new();
    let _ = timeout(EVENT_TIMEOUT, stream.read_to_end(&mut bytes))
        .await
        .expect("closed in time");
    bytes
}

pub(crate) async fn exchange(stream: &mut TcpStream, request: &str) -> Option<String> {
    stream.write_all(request.as_bytes()).await.ok()?;
    timeout(EVENT_TIMEOUT, read_message(stream))
        .await
        .expect("an answer or a close in time")
}

pub(crate) fn status(answer: &str) -> Option<u16> {
    answer.strip_prefix("HTTP/1.1 ")?.get(..3)?.parse().ok()
}

pub(crate) fn body(answer: &str) -> &str {
    answer.split_once("\r\n\r\n").unwrap().1
}

pub(crate) fn read_request(id: &str) -> String {
    format!("GET /read/k{id} HTTP/1.1\r\nHost: h\r\nRequest-Id: {id}\r\nRequest-Class: read\r\nTenant: acme\r\nRequest-Timeout: 4000m\r\n\r\n")
}

pub(crate) fn seal_request(id: &str) -> String {
    format!("POST /seal/k{id} HTTP/1.1\r\nHost: h\r\nRequest-Id: {id}\r\nRequest-Class: seal\r\nTenant: acme\r\nRequest-Timeout: 4000m\r\nContent-Length: 4\r\n\r\nbody")
}
