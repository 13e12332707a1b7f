use super::*;
use proptest::prelude::*;

proptest! {
    #[test]
    fn any_text_comes_back_as_it_was(text in proptest::collection::vec(any::<u8>(), 0..4_000)) {
        prop_assert_eq!(decompress(&compress(&text)).unwrap(), text);
    }

    #[test]
    fn torn_bytes_end_in_an_error_or_a_text(packed in proptest::collection::vec(any::<u8>(), 0..400)) {
        let _ = decompress(&packed);
    }
}

#[test]
fn repeated_routes_become_much_shorter() {
    let route = r#"{"host":"calls.example","path_prefix":"/a/b/","timeout_ms":4000}"#;
    let text = route.repeat(500).into_bytes();
    assert!(compress(&text).len() * 10 < text.len());
}
