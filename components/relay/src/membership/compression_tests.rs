use super::*;
use proptest::prelude::*;

proptest! {
    #[test]
    fn any_text_survives_a_round_trip(text in proptest::collection::vec(any::<u8>(), 0..4_000)) {
        prop_assert_eq!(decompress(&compress(&text)).unwrap(), text);
    }

    #[test]
    fn arbitrary_bytes_do_not_panic(packed in proptest::collection::vec(any::<u8>(), 0..400)) {
        let _ = decompress(&packed);
    }
}

#[test]
fn repeated_routes_compress_tenfold() {
    let route = r#"{"host":"calls.example","path_prefix":"/a/b/","timeout_ms":4000}"#;
    let text = route.repeat(500).into_bytes();
    assert!(compress(&text).len() * 10 < text.len());
}
