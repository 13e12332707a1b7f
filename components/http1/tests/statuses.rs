//! Statuses that are none, and interim answers in place of one.

use http1::{AnswerLimits, Channel, ExchangeError, Headers, ResponseHead, exchange};
use rstest::rstest;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::time::Duration;

/// Longer than any test may take: an answer that is waited for shows by this.
const LIMIT: Duration = Duration::from_secs(20);
/// What looks like a whole answer.
const ANSWER: &str = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

/// Answers one call with `bytes` and keeps the connection open until its peer closes it.
fn serve(bytes: String) -> SocketAddr {
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

/// The status of the answer to a call, and whether its channel can be used again; or why there is none.
async fn call(bytes: String) -> Result<(u16, bool), String> {
    let mut channel = Channel::connect(serve(bytes), LIMIT).await.unwrap();
    let limits = AnswerLimits {
        time: LIMIT,
        body_bytes: 1_024,
    };
    match exchange(&mut channel, b"GET / HTTP/1.1\r\n\r\n", limits).await {
        Ok(answer) => Ok((answer.status, answer.reusable)),
        Err(ExchangeError::NoAnswer(why)) => Err(why),
        Err(ExchangeError::NotSent(error)) => panic!("{error}"),
    }
}

// Guards against a status that is none, which was passed over as interim: its body was read as the answer, or none came.
#[rstest]
#[case::zero("HTTP/1.1 000 X")]
#[case::one("HTTP/1.1 001 X")]
#[case::below_interim("HTTP/1.1 099 X")]
#[case::above_errors("HTTP/1.1 600 X")]
#[case::highest("HTTP/1.1 999 X")]
#[case::two_digits("HTTP/1.1 20 X")]
#[case::four_digits("HTTP/1.1 2000 X")]
#[case::no_blank("HTTP/1.1200 X")]
#[case::no_number("HTTP/1.1 2x0 X")]
#[case::switches_protocols("HTTP/1.1 101 X")]
#[case::interim_with_length("HTTP/1.1 150 X\r\nContent-Length: 41")]
#[case::interim_in_chunks("HTTP/1.1 199 X\r\nTransfer-Encoding: chunked")]
#[tokio::test]
async fn a_head_that_is_no_answer_ends_the_exchange_at_once(
    #[case] head: &str,
    #[values("", "\r\nContent-Length: 2\r\n\r\nno", "\r\n\r\nno")] rest: &str,
) {
    // The first form is a head that does not end.
    let bytes = format!("{head}\r\nX: 1{rest}");
    let is_interim = head.contains("Content-Length") || head.contains("chunked");
    if is_interim && rest.is_empty() {
        return;
    }
    let why = call(bytes).await.unwrap_err();
    assert!(why.contains("not well formed"), "{why}");
}

#[rstest]
#[case("HTTP/1.1 000 X")]
#[case("HTTP/1.1 101 X")]
#[case("HTTP/1.1 600 X")]
#[case("HTTP/1.1 150 X\r\nContent-Length: 40")]
#[tokio::test]
async fn the_body_of_a_head_that_is_no_answer_is_not_read_as_one(#[case] head: &str) {
    let answered = call(format!("{head}\r\n\r\n{ANSWER}")).await;
    assert!(answered.is_err(), "{answered:?}");
}

#[rstest]
#[case("HTTP/1.1 100 Continue\r\n\r\n")]
#[case("HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n")]
#[case("HTTP/1.1 199 X\r\nContent-Length: 0\r\n\r\n")]
#[tokio::test]
async fn interim_answers_are_passed_over(#[case] interim: &str) {
    assert_eq!(call(format!("{interim}{ANSWER}")).await, Ok((200, true)));
}

#[rstest]
#[case("HTTP/1.1 200 \r\nContent-Length: 0\r\n\r\n")]
#[case("HTTP/1.1 200\r\nContent-Length: 0\r\n\r\n")]
#[tokio::test]
async fn a_status_without_a_phrase_is_one(#[case] answer: &str) {
    assert_eq!(call(answer.to_owned()).await, Ok((200, true)));
}

// The body would be read as the answer to the next request.
#[tokio::test]
async fn a_channel_whose_answer_must_have_no_body_but_tells_one_is_not_used_again() {
    let answer = "HTTP/1.1 204 No Content\r\nContent-Length: 2\r\n\r\n";
    assert_eq!(call(answer.to_owned()).await, Ok((204, false)));
}

#[rstest]
#[case(0, "HTTP/1.1 502 ")]
#[case(199, "HTTP/1.1 502 ")]
#[case(600, "HTTP/1.1 502 ")]
#[case(200, "HTTP/1.1 200 ")]
#[case(599, "HTTP/1.1 599 ")]
fn only_a_final_status_is_written(#[case] status: u16, #[case] start: &str) {
    let written = ResponseHead::start(status, &Headers::default());
    assert!(written.starts_with(start.as_bytes()));
}
