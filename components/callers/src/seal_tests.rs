use super::*;
use proptest::prelude::*;

fn address() -> StreamAddress {
    StreamAddress {
        account: AccountId(1),
        model: ModelId(2),
        target: TargetKey {
            id: TargetId(3),
            incarnation: TargetIncarnation(4),
        },
        generation: 5,
        entry: BoxId(7),
        address: SocketAddr::from(([127, 0, 0, 1], 6)),
    }
}

#[test]
fn verifies_a_token_it_signed() {
    let seal = ResumeSeal::new(&["k".into()]);
    let id = format!("{}.7", seal.seal(address()));
    assert_eq!(seal.open(&id), Some((address(), 8)));
}

#[test]
fn verifies_a_token_of_the_previous_key_after_rotation() {
    let old = ResumeSeal::new(&["old".into()]);
    let new = ResumeSeal::new(&["new".into(), "old".into()]);
    let id = format!("{}.0", old.seal(address()));
    assert!(new.open(&id).is_some());
    assert!(ResumeSeal::new(&["new".into()]).open(&id).is_none());
}

proptest! {
    #[test]
    fn rejects_every_modified_token(at in 0usize..93, flip in 1u8..64) {
        let seal = ResumeSeal::new(&["k".into()]);
        let mut token = URL_SAFE_NO_PAD.decode(seal.seal(address())).unwrap();
        let at = at % token.len();
        token[at] ^= flip;
        let id = format!("{}.7", URL_SAFE_NO_PAD.encode(token));
        prop_assert!(seal.open(&id).is_none());
    }

    #[test]
    fn rejects_arbitrary_text_without_panic(text in ".{0,300}") {
        let seal = ResumeSeal::new(&["k".into()]);
        prop_assert!(seal.open(&text).is_none());
    }
}
