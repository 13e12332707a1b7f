use super::*;

#[tokio::test]
async fn joins_a_call_in_progress() {
    let claimant = Claimant::default();
    assert!(matches!(claimant.begin(1, 9), Found::Begun));
    let Found::Same(outcome) = claimant.begin(1, 9) else {
        panic!();
    };
    claimant.end(1, CallEnd::Sent(KeyOutcome::MayHaveRun));
    assert_eq!(
        settled(outcome, Duration::ZERO).await,
        KeyOutcome::MayHaveRun
    );
    assert!(matches!(claimant.begin(1, 9), Found::Same(_)));
}

#[test]
fn tells_another_request_with_the_same_key() {
    let claimant = Claimant::default();
    claimant.begin(1, 9);
    assert!(matches!(claimant.begin(1, 8), Found::Other));
}

#[tokio::test]
async fn says_not_run_only_of_tries_that_it_gave_up() {
    let claimant = Claimant::default();
    claimant.begin(1, 9);
    claimant.try_claim(1, 100);
    claimant.end(1, CallEnd::NeverSent(KeyOutcome::NotRun));
    assert!(matches!(claimant.begin(1, 9), Found::Begun));
    claimant.try_claim(1, 101);
    claimant.end(1, CallEnd::Sent(KeyOutcome::MayHaveRun));
    let said = |nonce| claimant.outcome(1, nonce, Duration::ZERO);
    assert_eq!(said(100).await, KeyOutcome::NotRun);
    assert_eq!(said(101).await, KeyOutcome::MayHaveRun);
}

#[test]
fn does_not_take_a_forgotten_claim_for_one_given_up() {
    let claimant = Claimant::default();
    claimant.begin(1, 9);
    claimant.end(1, CallEnd::NeverSent(KeyOutcome::NotRun));
    claimant.begin(1, 9);
    assert!(!claimant.gave_up(1, 100));
}

#[test]
fn keeps_its_memory_bounded() {
    let claimant = Claimant::default();
    let body = Some(vec![0; BODY_BYTES_MAX]);
    for key in 0..300 {
        claimant.begin(key, 1);
        let outcome = KeyOutcome::Done {
            status: 200,
            content_type: None,
            body: body.clone(),
        };
        claimant.end(key, CallEnd::Sent(outcome));
    }
    assert!(lock(&claimant.calls).ended_bytes <= ANSWERS_BYTES_MAX);
    assert!(lock(&claimant.calls).by_key.len() < 200);
}
