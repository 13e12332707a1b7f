use super::*;
use rstest::rstest;
use std::io::{Read, Write};
use std::net::TcpListener;

/// Answers one call with `bytes`, and keeps the connection open until its peer closes it.
fn serve(bytes: &'static str) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let _ = stream.read(&mut [0; 1024]).unwrap();
        stream.write_all(bytes.as_bytes()).unwrap();
        let _ = stream.read(&mut [0; 1]);
    });
    address
}

// Guards against a status that is none in HTTP and reaches the caller as an answer.
#[rstest]
#[case("HTTP/1.1 000 X\r\nContent-Length: 4\r\n\r\nlost")]
#[case("HTTP/1.1 101 X\r\nContent-Length: 0\r\n\r\n")]
#[case("HTTP/1.1 600 X\r\nContent-Length: 4\r\n\r\nlost")]
#[case("HTTP/1.1 999 X\r\nContent-Length: 4\r\n\r\nlost")]
#[tokio::test]
async fn an_answer_with_a_status_that_is_none_is_a_call_that_may_have_run(
    #[case] bytes: &'static str,
    #[values(false, true)] may_repeat: bool,
) {
    let request = ServiceRequest {
        method: "POST".into(),
        path: "/x".into(),
        content_type: None,
        key: None,
        body: Bytes::new(),
    };
    let client = ServiceClient::new().unwrap();
    let limit = Duration::from_secs(20);
    let answered = client.call(serve(bytes), &request, may_repeat, limit).await;
    let Err(CallError::MayHaveRun { cause, .. }) = answered else {
        panic!("{answered:?}");
    };
    assert!(!cause.contains("timed out"), "{cause}");
}
