use super::*;
use rstest::rstest;

// A generation that an engine had failed was refused as not run.
#[rstest]
#[case(429, false)]
#[case(503, false)]
#[case(400, false)]
#[case(500, true)]
#[case(502, true)]
#[case(504, true)]
#[case(302, true)]
fn a_failure_of_an_engine_is_no_refusal(#[case] status: u16, #[case] may_have_run: bool) {
    let error = StartError::Refused {
        status,
        body: Bytes::new(),
        pause_ms: None,
    };
    assert_eq!(error.may_have_run(), may_have_run);
}
