//! Server-sent events are forwarded only as whole events.

use proptest::prelude::*;
use relay::EventSplitter;

#[test]
fn partial_event_is_buffered_until_complete() {
    let mut splitter = EventSplitter::default();
    let first = splitter.push(b"id: 1\ndata: a\n\nid: 2\nda").unwrap();
    assert_eq!(first.bytes, b"id: 1\ndata: a\n\n");
    assert_eq!(first.last_id.as_deref(), Some("1"));
    assert!(splitter.is_within_event());
    let second = splitter.push(b"ta: b\r\n\r\n").unwrap();
    assert_eq!(second.bytes, b"id: 2\ndata: b\r\n\r\n");
    assert_eq!((second.count, second.last_id.as_deref()), (1, Some("2")));
    assert!(!splitter.is_within_event());
}

proptest! {
    #[test]
    fn output_is_independent_of_chunk_boundaries(chunk_lengths in prop::collection::vec(1usize..9, 1..60)) {
        let text: Vec<u8> = (0..20).flat_map(|n| format!("id: {n}\ndata: {}\n\n", "x".repeat(n)).into_bytes()).collect();
        let mut splitter = EventSplitter::default();
        let (mut out, mut count, mut at) = (Vec::new(), 0, 0);
        for chunk_length in chunk_lengths.iter().cycle() {
            let end = (at + chunk_length).min(text.len());
            let events = splitter.push(&text[at..end]).unwrap();
            out.extend_from_slice(&events.bytes);
            count += events.count;
            at = end;
            if at == text.len() { break; }
        }
        prop_assert_eq!(out, text);
        prop_assert_eq!(count, 20);
    }
}
