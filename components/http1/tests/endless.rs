//! Answers without end to control calls.

use http1::{AnswerLimits, Channel, ExchangeError, exchange};
use rstest::rstest;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::thread::JoinHandle;
use std::time::Duration;

const BODY_BYTES_MAX: usize = 64 * 1024;
/// What the buffers of two sockets may hold beside what was read.
const SOCKET_BYTES_MAX: usize = 16 * 1024 * 1024;

/// Answers one call with `start` and then `more` again and again. The thread returns how many bytes it wrote.
fn serve(start: &'static str, more: &'static str) -> (SocketAddr, JoinHandle<usize>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let serving = std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let _ = stream.read(&mut [0; 1024]).unwrap();
        stream.write_all(start.as_bytes()).unwrap();
        let bytes = more.repeat(1_000);
        let mut written = 0;
        while stream.write_all(bytes.as_bytes()).is_ok() {
            written += bytes.len();
            std::thread::sleep(Duration::from_millis(1));
        }
        written
    });
    (address, serving)
}

/// Guards against a box that runs out of memory while it reads one answer.
#[rstest]
#[case::until_close("HTTP/1.1 200 OK\r\n\r\n", "0123456789")]
#[case::in_chunks(
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
    "a\r\n0123456789\r\n"
)]
#[case::in_the_head("HTTP/1.1 200 OK\r\n", "X: 0123456789\r\n")]
#[case::in_one_line("HTTP/1.1 200 OK\r\nX: ", "0123456789")]
#[case::interim_heads("", "HTTP/1.1 100 Continue\r\n\r\n")]
#[case::no_http("", "0123456789")]
#[tokio::test]
async fn an_answer_without_end_is_not_read_beyond_its_limit(
    #[case] start: &'static str,
    #[case] more: &'static str,
) {
    let (address, serving) = serve(start, more);
    let limits = AnswerLimits {
        time: Duration::from_secs(10),
        body_bytes: BODY_BYTES_MAX,
    };
    let mut channel = Channel::connect(address, Duration::from_secs(10))
        .await
        .unwrap();
    let answer = exchange(&mut channel, b"GET / HTTP/1.1\r\n\r\n", limits).await;
    assert!(matches!(answer, Err(ExchangeError::NoAnswer(_))));
    drop(channel);
    assert!(serving.join().unwrap() < BODY_BYTES_MAX + SOCKET_BYTES_MAX);
}
