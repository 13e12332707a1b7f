use super::*;
use proptest::prelude::*;

#[test]
fn reads_what_it_wrote() {
    let claim = Claim {
        claimant: BoxId(1),
        life: BoxIncarnation(2),
        nonce: 3,
        request: 4,
        outcome: Some(RecordedOutcome::NotRun),
    };
    assert_eq!(Claim::from_bytes(&claim.to_bytes()), Some(claim));
}

#[test]
fn tells_accounts_with_the_same_key_apart() {
    let of = |account| fingerprint(ServiceId(1), AccountId(account), "k");
    assert_ne!(of(1), of(2));
}

proptest! {
    #[test]
    fn takes_any_value_without_panic(bytes in proptest::collection::vec(any::<u8>(), 0..200)) {
        let _ = Claim::from_bytes(&bytes);
    }
}
