use super::*;
use proptest::prelude::*;

fn value(revision: u64, lines: &[u8]) -> SettingsValue {
    let lines: Vec<String> = lines
        .iter()
        .map(|line| format!("key-{line}: {line}"))
        .collect();
    SettingsValue {
        partner: "p".into(),
        revision,
        text: lines.join("\n"),
    }
}

#[test]
fn is_short_for_a_small_change_of_a_long_text() {
    let lines: Vec<u8> = (0..200).collect();
    let mut changed = lines.clone();
    changed[100] = 250;
    let patch = SettingsPatch::between(&value(1, &lines), &value(2, &changed)).unwrap();
    assert!(patch.diff_bytes() < 200);
    assert_eq!(patch.apply(&value(1, &lines)), Some(value(2, &changed)));
}

#[test]
fn does_not_apply_to_another_text() {
    let lines: Vec<u8> = (0..200).collect();
    let mut changed = lines.clone();
    changed[100] = 250;
    let patch = SettingsPatch::between(&value(1, &lines), &value(2, &changed)).unwrap();
    assert_eq!(patch.apply(&value(3, &lines)), None);
    let mut other = lines.clone();
    other[5] = 251;
    assert_eq!(patch.apply(&value(1, &other)), None);
}

proptest! {
    #[test]
    fn leads_to_the_new_text(
        old in proptest::collection::vec(any::<u8>(), 0..60),
        new in proptest::collection::vec(any::<u8>(), 0..60),
    ) {
        let (old, new) = (value(1, &old), value(2, &new));
        if let Some(patch) = SettingsPatch::between(&old, &new) {
            prop_assert_eq!(patch.apply(&old), Some(new));
        }
    }
}
