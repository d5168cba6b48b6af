//! A host whose connections are established late.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use tokio::io::AsyncWriteExt;
use tokio::net::{TcpSocket, TcpStream};
use tokio::sync::watch;
use tokio::time::{sleep, timeout};

use super::host::Host;
use super::http::{ok_response, read_message};
use super::EVENT_TIMEOUT;

/// A host that accepts no new connection until it is released. Until then its accept queue is full; a connection that a
/// router attempts meanwhile is established when the system sends the SYN again, a second after the first one.
pub(crate) struct LateHost {
    pub(crate) host: Host,
    release: watch::Sender<bool>,
}

impl LateHost {
    pub(crate) async fn start() -> LateHost {
        let socket = TcpSocket::new_v4().unwrap();
        socket.bind("127.0.0.1:0".parse().unwrap()).unwrap();
        let listener = socket.listen(0).unwrap();
        let address = listener.local_addr().unwrap();
        let mut fillers = Vec::new();
        while let Ok(Ok(filler)) =
            timeout(Duration::from_millis(200), TcpStream::connect(address)).await
        {
            fillers.push(filler);
        }
        let (release, mut released) = watch::channel(false);
        let requests: Arc<Mutex<Vec<String>>> = Default::default();
        let all = requests.clone();
        tokio::spawn(async move {
            let _ = released.wait_for(|is_released| *is_released).await;
            drop(fillers);
            while let Ok((mut stream, _)) = listener.accept().await {
                let all = all.clone();
                tokio::spawn(async move {
                    while let Some(request) = read_message(&mut stream).await {
                        all.lock().unwrap().push(request);
                        stream.write_all(&ok_response("late")).await.ok()?;
                    }
                    Some(())
                });
            }
        });
        LateHost {
            host: Host {
                address: address.to_string(),
                requests,
            },
            release,
        }
    }

    /// Waits until a connection to the host is being established.
    pub(crate) async fn wait_for_connect(&self) {
        let port: u16 = self
            .host
            .address
            .rsplit(':')
            .next()
            .unwrap()
            .parse()
            .unwrap();
        timeout(EVENT_TIMEOUT, async {
            while !sockets_to(port).iter().any(|(state, _)| *state == SYN_SENT) {
                sleep(Duration::from_millis(2)).await;
            }
        })
        .await
        .expect("a connection attempt in time");
    }

    pub(crate) fn release(&self) {
        self.release.send_replace(true);
    }
}

/// State of a socket that is being connected (proc_net_tcp(5)).
const SYN_SENT: u8 = 2;

/// Returns state and unread bytes of each socket of this machine whose peer has this port (proc_net_tcp(5)).
pub(crate) fn sockets_to(port: u16) -> Vec<(u8, u64)> {
    let hex = |text: &str| u64::from_str_radix(text, 16).unwrap();
    let table = std::fs::read_to_string("/proc/net/tcp").unwrap();
    let rows = table
        .lines()
        .skip(1)
        .map(|row| row.split_whitespace().collect::<Vec<_>>());
    let to = rows.filter(|row| hex(row[2].split_once(':').unwrap().1) == u64::from(port));
    to.map(|row| (hex(row[3]) as u8, hex(row[4].split_once(':').unwrap().1)))
        .collect()
}
