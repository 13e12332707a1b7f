use super::*;

#[test]
fn reads_boxes_and_targets() {
    let text = r#"[{"targets":["127.0.0.1:1"],"labels":{"box":"3","state":"leaving"}},
        {"targets":["127.0.0.1:2"],"labels":{"target":"e","state":"live"}},
        {"targets":[],"labels":{"box":"x"}}]"#;
    let entries: Vec<Entry> = serde_json::from_str(text).unwrap();
    let listing = listing(&entries);
    assert_eq!(listing.boxes.len(), 1);
    assert_eq!(listing.boxes[0].state, ListedState::Leaving);
    assert_eq!(listing.targets[0].state, ListedState::Live);
}
