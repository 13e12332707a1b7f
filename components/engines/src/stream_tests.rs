use super::*;

#[test]
fn rejects_event_ids_of_another_generation_or_without_an_index() {
    assert_eq!(chunk_index("g1:4", "g1"), Some(4));
    assert_eq!(chunk_index("g2:4", "g1"), None);
    assert_eq!(chunk_index("g1:x", "g1"), None);
}
