use super::*;
use rstest::rstest;
use tokio::io::{AsyncReadExt, AsyncWriteExt};

// A generation that an engine had failed was refused as not run.
#[rstest]
#[case(429, false)]
#[case(503, false)]
#[case(400, false)]
#[case(500, true)]
#[case(502, true)]
#[case(504, true)]
#[case(302, true)]
fn a_failure_of_an_engine_is_no_refusal(#[case] status: u16, #[case] may_have_run: bool) {
    let error = StartError::Refused {
        status,
        body: Bytes::new(),
        pause_ms: None,
    };
    assert_eq!(error.may_have_run(), may_have_run);
}

// Guards against a status that is none in HTTP and counts as an engine's refusal.
#[tokio::test]
async fn a_status_that_is_none_is_no_answer_of_an_engine() {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let endpoint = Endpoint {
        key: TargetKey::default(),
        address: listener.local_addr().unwrap(),
    };
    let serving = async {
        let (mut stream, _) = listener.accept().await.unwrap();
        let _ = stream.read(&mut [0; 1024]).await.unwrap();
        let answer = b"HTTP/1.1 600 X\r\nContent-Length: 4\r\n\r\nlost";
        stream.write_all(answer).await.unwrap();
        stream
    };
    let client = EngineClient::new(20_000).unwrap();
    let (started, _stream) = tokio::join!(client.start(endpoint, "g", Bytes::new()), serving);
    assert!(matches!(started, Err(StartError::NoAnswer { .. })));
}
