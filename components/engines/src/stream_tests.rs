use super::*;

#[test]
fn rejects_chunk_of_another_generation() {
    assert_eq!(chunk_index("g1:4", "g1"), Some(4));
    assert_eq!(chunk_index("g2:4", "g1"), None);
    assert_eq!(chunk_index("g1:x", "g1"), None);
}
