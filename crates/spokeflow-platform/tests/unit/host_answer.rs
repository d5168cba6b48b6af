//! What follows an answer on its connection, in the same read and in a later one. The clock is paused: it moves on only
//! while nothing else can be done.

use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::task::yield_now;

use super::*;

const ANSWER: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody";
const TIME_LEFT: Duration = Duration::from_secs(1);

/// A connection to a host that the test plays.
struct Connected {
    router: TcpStream,
    host: TcpStream,
}

async fn connect() -> Connected {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let (router, accepted) = tokio::join!(TcpStream::connect(address), listener.accept());
    let (host, _) = accepted.unwrap();
    host.set_nodelay(true).unwrap();
    let router = router.unwrap();
    Connected { router, host }
}

/// Reads one answer. The host writes `at_once` before, and `later` once all of it has been read.
async fn read_with(
    at_once: &[u8],
    later: &[u8],
    time_left: Duration,
) -> Result<HostAnswer, HttpError> {
    let Connected {
        mut router,
        mut host,
    } = connect().await;
    host.write_all(at_once).await.unwrap();
    router.readable().await.unwrap();
    let memory = MessageMemory {
        pool: MemoryPool::new(BODY_LIMIT),
        short_message: BODY_LIMIT,
    };
    let buffers = MemoryPool::new(BODY_LIMIT);
    let until = Instant::now() + time_left;
    let mut reader = AnswerReader::new(&memory, &buffers, TIME_LEFT, until);
    let reading = reader.read(&mut router);
    tokio::pin!(reading);
    if !later.is_empty() {
        // One poll reads what has arrived, and the clock stands still.
        assert!(futures_util::poll!(&mut reading).is_pending());
        host.write_all(later).await.unwrap();
        loop {
            // As long as the test has something to do, the answer is not passed on.
            if let std::task::Poll::Ready(read) = futures_util::poll!(&mut reading) {
                return read;
            }
            yield_now().await;
        }
    }
    reading.await
}

/// Guards against an answer that is passed on cut because the rest of its body comes in a later read.
#[tokio::test(start_paused = true)]
async fn bytes_behind_an_answer_are_seen_in_a_later_read() {
    for rest in [&b"rest"[..], b"r", b"HTTP", b"\r\n", b"0\r\n\r\n"] {
        let read = read_with(ANSWER, rest, TIME_LEFT).await;
        let error = read.map(|_| ()).unwrap_err();
        assert!(matches!(error, HttpError::InvalidLength(_)), "{rest:?}");
    }
    let answer = read_with(ANSWER, ANSWER, TIME_LEFT).await.unwrap();
    assert!(!answer.is_reusable, "another answer follows");
}

/// An answer is held back no longer than the platform's hosts take for what they send behind it, and never for more than
/// a quarter of the time that its client has left.
#[tokio::test(start_paused = true)]
async fn a_good_answer_is_held_back_for_a_bounded_time() {
    for (time_left, longest) in [
        (TIME_LEFT, MAX_SETTLE_TIME),
        (Duration::from_millis(8), Duration::from_millis(2)),
        (Duration::ZERO, Duration::ZERO),
    ] {
        let started_at = Instant::now();
        let answer = read_with(ANSWER, b"", time_left).await.unwrap();
        assert!(answer.is_reusable);
        // The runtime's timer counts whole milliseconds.
        let took = started_at.elapsed();
        assert!(took <= longest + Duration::from_millis(1), "{took:?}");
    }
}

/// An answer that promises that the command has not run is not held back, but is not believed with a rest behind it.
#[tokio::test(start_paused = true)]
async fn a_refusal_is_believed_only_if_nothing_follows_it() {
    let refusal = b"HTTP/1.1 503 Full\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n";
    let started_at = Instant::now();
    let answer = read_with(refusal, b"", TIME_LEFT).await.unwrap();
    let message = answer.into_message(1);
    assert_eq!(message, FromHost::Full { delivery: 1 });
    assert_eq!(started_at.elapsed(), Duration::ZERO);
    let read = read_with(&[&refusal[..], b"rest"].concat(), b"", TIME_LEFT).await;
    assert!(read.is_err());
}
