//! Scripted discovery and deployer.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::time::sleep;

use super::http::read_message;

/// Formats a host list as discovery sends it. `hosts`: id, address, phase and build of each host.
pub(crate) fn list(revision: u64, hosts: &[(&str, &str, &str, u16)]) -> String {
    let members: Vec<String> = hosts
        .iter()
        .map(|(id, address, phase, build)| {
            format!(
                r#"{{"id":"{id}","host_port":"{address}","locality":"a","flavor":"m","cell":0,"phase":"{phase}","size":1.0,"up_since_ms":0,"revision_no":{build}}}"#
            )
        })
        .collect();
    format!(
        r#"{{"revision":{revision},"complete":true,"members":[{}]}}"#,
        members.join(",")
    )
}

/// Starts a discovery that sends the current text of `lines`, and each later one, as a line. Returns its address.
pub(crate) async fn discovery(lines: watch::Receiver<String>) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap().to_string();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let mut lines = lines.clone();
            tokio::spawn(async move {
                read_message(&mut stream).await?;
                stream
                    .write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
                    .await
                    .ok()?;
                loop {
                    let line = format!("{}\n", *lines.borrow_and_update());
                    let chunk = format!("{:x}\r\n{line}\r\n", line.len());
                    stream.write_all(chunk.as_bytes()).await.ok()?;
                    let mut byte = [0];
                    tokio::select! {
                        changed = lines.changed() => changed.ok()?,
                        _ = stream.read(&mut byte) => return Some(()),
                    }
                }
            });
        }
    });
    address
}

/// Starts a deployer. Its first connections get one text of `first` each, the later ones regular answers. Returns its
/// address and the first line that it has read on each connection.
pub(crate) async fn deployer(first: Vec<&'static str>) -> (String, Arc<Mutex<Vec<String>>>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap().to_string();
    let requests: Arc<Mutex<Vec<String>>> = Default::default();
    let all = requests.clone();
    tokio::spawn(async move {
        let mut first = first.into_iter();
        while let Ok((mut stream, _)) = listener.accept().await {
            let scripted_answer = first.next();
            let all = all.clone();
            tokio::spawn(async move {
                let mut bytes = Vec::new();
                while !bytes.ends_with(b"\r\n") {
                    if stream.read_buf(&mut bytes).await.ok()? == 0 {
                        return None;
                    }
                }
                let line = String::from_utf8_lossy(&bytes).trim_end().to_string();
                all.lock().unwrap().push(line.clone());
                let answer = match (scripted_answer, line.as_str()) {
                    (Some(answer), _) => answer,
                    (None, "SUB") => "OK\r\n* news 2 0 IN_PROGRESS 0.5 10\r\n*\r\n",
                    (None, _) => "OK 2 0 IN_PROGRESS 0.5 20\r\n",
                };
                stream.write_all(answer.as_bytes()).await.ok()?;
                loop {
                    sleep(Duration::from_secs(1)).await;
                    stream.write_all(b"*\r\n").await.ok()?;
                }
                #[allow(unreachable_code)]
                Some(())
            });
        }
    });
    (address, requests)
}
