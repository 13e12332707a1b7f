//! Heads and bodies: what leaves a doubt is an error, however it is cut.

use bytes::BytesMut;
use http1::{
    BodyError, Decoder, Framing, HeadError, Piece, parse_request, parse_response, push_chunk,
};
use proptest::prelude::*;
use rstest::rstest;

const MOST: usize = 1000;

fn decode(mut decoder: Decoder, text: &[u8], cuts: &[usize]) -> Result<(Vec<u8>, bool), BodyError> {
    let mut buffer = BytesMut::new();
    let (mut out, mut at, mut turn) = (Vec::new(), 0, 0);
    loop {
        match decoder.next(&mut buffer)? {
            Piece::Data(data) => out.extend_from_slice(&data),
            Piece::End => return Ok((out, true)),
            Piece::More if at == text.len() => return Ok((out, false)),
            Piece::More => {
                let end = (at + cuts[turn % cuts.len()]).min(text.len());
                buffer.extend_from_slice(&text[at..end]);
                (at, turn) = (end, turn + 1);
            }
        }
    }
}

#[rstest]
#[case::whole("GET /a HTTP/1.1\r\nHost: h\r\n\r\n", Framing::Length(0))]
#[case::length("POST /a?b HTTP/1.1\r\nContent-Length: 7\r\n\r\n", Framing::Length(7))]
#[case::chunks(
    "POST /a HTTP/1.1\r\nTransfer-Encoding: Chunked\r\n\r\n",
    Framing::Chunked
)]
fn reads_a_request(#[case] text: &str, #[case] framing: Framing) {
    let (head, taken) = parse_request(text.as_bytes(), MOST).unwrap().unwrap();
    assert_eq!((head.framing, taken), (framing, text.len()));
    for cut in 0..text.len() {
        assert_eq!(parse_request(&text.as_bytes()[..cut], MOST), Ok(None));
    }
}

#[rstest]
#[case::both("POST / HTTP/1.1\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n")]
#[case::twice("POST / HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n")]
#[case::list("POST / HTTP/1.1\r\nContent-Length: 1, 1\r\n\r\n")]
#[case::sign("POST / HTTP/1.1\r\nContent-Length: +1\r\n\r\n")]
#[case::empty("POST / HTTP/1.1\r\nContent-Length: \r\n\r\n")]
#[case::coding("POST / HTTP/1.1\r\nTransfer-Encoding: identity\r\n\r\n")]
#[case::codings("POST / HTTP/1.1\r\nTransfer-Encoding: gzip, chunked\r\n\r\n")]
#[case::old("POST / HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n")]
#[case::bare("GET / HTTP/1.1\nHost: h\r\n\r\n")]
#[case::folded("GET / HTTP/1.1\r\nA: b\r\n c\r\n\r\n")]
#[case::space("GET / HTTP/1.1\r\nContent-Length : 1\r\n\r\n")]
#[case::target("GET http://h/ HTTP/1.1\r\n\r\n")]
#[case::method("G(T / HTTP/1.1\r\n\r\n")]
fn refuses_a_request_on_which_readers_differ(#[case] text: &str) {
    let read = parse_request(text.as_bytes(), MOST);
    assert!(matches!(read, Err(HeadError::Malformed(_))), "{read:?}");
}

#[test]
fn refuses_a_head_that_is_too_long_before_it_ends() {
    let text = format!("GET / HTTP/1.1\r\nA: {}", "x".repeat(MOST));
    assert_eq!(
        parse_request(text.as_bytes(), MOST),
        Err(HeadError::TooLong(MOST))
    );
}

#[rstest]
#[case(
    "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n",
    Framing::Length(2),
    false
)]
#[case("HTTP/1.1 200 OK\r\n\r\n", Framing::UntilClose, true)]
#[case("HTTP/1.1 204 No\r\n\r\n", Framing::Length(0), false)]
#[case(
    "HTTP/1.1 503 No\r\nContent-Length: 0\r\nConnection: Close\r\n\r\n",
    Framing::Length(0),
    true
)]
fn reads_an_answer(#[case] text: &str, #[case] framing: Framing, #[case] closes: bool) {
    let (head, _) = parse_response(text.as_bytes(), MOST).unwrap().unwrap();
    assert_eq!((head.framing, head.closes), (framing, closes));
}

#[rstest]
#[case("g\r\nx\r\n0\r\n\r\n")]
#[case("1\r\nxy\r\n0\r\n\r\n")]
#[case("1\nx\r\n0\r\n\r\n")]
#[case("1 x\r\nx\r\n0\r\n\r\n")]
#[case("ffffffffffffffff\r\nx")]
#[case("-1\r\nx\r\n0\r\n\r\n")]
fn refuses_chunks_on_which_readers_differ(#[case] text: &str) {
    let read = decode(Decoder::new(Framing::Chunked), text.as_bytes(), &[1]);
    assert_eq!(read, Err(BodyError::Malformed));
}

#[test]
fn a_body_that_ends_early_is_short() {
    for framing in [Framing::Length(5), Framing::Chunked] {
        let mut decoder = Decoder::new(framing);
        let mut buffer = BytesMut::from(&b"2\r\n"[..]);
        while !matches!(decoder.next(&mut buffer), Ok(Piece::More)) {}
        assert_eq!(decoder.closed(), Err(BodyError::Short));
    }
    assert_eq!(Decoder::new(Framing::UntilClose).closed(), Ok(()));
}

proptest! {
    #[test]
    fn never_fails_on_any_bytes(bytes in prop::collection::vec(any::<u8>(), 0..400)) {
        let _ = parse_request(&bytes, MOST);
        let _ = parse_response(&bytes, MOST);
        let _ = decode(Decoder::new(Framing::Chunked), &bytes, &[3]);
    }

    #[test]
    fn gives_out_what_was_put_into_chunks(
        pieces in prop::collection::vec(prop::collection::vec(any::<u8>(), 1..50), 0..8),
        cuts in prop::collection::vec(1usize..20, 1..10),
    ) {
        let mut text = Vec::new();
        for piece in &pieces {
            push_chunk(&mut text, piece);
        }
        text.extend_from_slice(b"0\r\nTrailer: x\r\n\r\n");
        let read = decode(Decoder::new(Framing::Chunked), &text, &cuts);
        prop_assert_eq!(read, Ok((pieces.concat(), true)));
    }

    #[test]
    fn takes_no_byte_beyond_a_request(rest in prop::collection::vec(any::<u8>(), 0..50)) {
        let head = b"POST / HTTP/1.1\r\nContent-Length: 3\r\n\r\n";
        let bytes = [&head[..], &rest[..]].concat();
        let (_, taken) = parse_request(&bytes, MOST).unwrap().unwrap();
        prop_assert_eq!(taken, head.len());
    }
}
