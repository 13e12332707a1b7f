use super::*;
use proptest::prelude::*;

#[test]
fn decodes_an_encoded_claim() {
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
fn fingerprint_differs_between_accounts_with_the_same_key() {
    let fingerprint_of = |account| fingerprint(ServiceId(1), AccountId(account), "k");
    assert_ne!(fingerprint_of(1), fingerprint_of(2));
}

proptest! {
    #[test]
    fn decodes_any_value_without_panic(bytes in proptest::collection::vec(any::<u8>(), 0..200)) {
        let _ = Claim::from_bytes(&bytes);
    }
}
