use super::*;

fn example() -> BoxFile {
    BoxFile::read(include_str!("../../../examples/trial-box-1.yaml")).unwrap()
}

#[test]
fn what_needs_a_restart_is_kept_and_all_else_is_taken() {
    let running = example();
    let mut told = example();
    told.identity.id += 1;
    told.keys.peer = vec!["next".into(), "now".into()];
    told.keys.resume = vec!["other".into()];
    told.limits.body_bytes += 1;
    told.limits.open_streams += 1;
    told.limits.stop_limit_ms += 1;
    let kept = told.clone().keeping_fixed(&running);
    for ((kept, told), running) in kept
        .fields()
        .iter()
        .zip(told.fields())
        .zip(running.fields())
    {
        let expected = match kept.takes {
            Restart => &running.value,
            _ => &told.value,
        };
        assert_eq!(&kept.value, expected, "{}", kept.path);
    }
}

#[test]
fn a_file_without_keys_is_refused() {
    let text = include_str!("../../../examples/trial-box-1.yaml");
    let mut file = example();
    file.keys.peer.clear();
    assert!(BoxFile::read(text).is_ok());
    assert!(BoxFile::read(&serde_json::to_string(&file).unwrap()).is_err());
}
