use super::{StopOutcome, outcome_of_reply};
use crate::forwarding::control::ControlError;
use platform::parse_copy_reply;
use rstest::rstest;

fn stopped() -> Option<StopOutcome> {
    let (copy, events_made) = ("7".into(), 3);
    Some(StopOutcome::Stopped { copy, events_made })
}

fn kept() -> Option<StopOutcome> {
    Some(StopOutcome::KeptAtSource { copy: "7".into() })
}

/// Guards against an answer that is taken as proof that the generation was not stopped although it leaves that open.
#[rstest]
#[case(200, r#"{"handle":7,"made":3}"#, stopped(), stopped())]
#[case(503, r#"{"handle":"7"}"#, kept(), kept())]
#[case(404, "{}", Some(StopOutcome::Ended), Some(StopOutcome::StoppedEarlier))]
#[case(409, "{}", Some(StopOutcome::Busy), None)]
#[case(200, "{}", None, None)]
#[case(200, "no object", None, None)]
#[case(503, "{}", None, None)]
#[case(500, r#"{"handle":7,"made":3}"#, None, None)]
#[case(429, "{}", None, None)]
fn an_answer_to_an_order_shows_what_became_of_the_generation(
    #[case] status: u16,
    #[case] body: &str,
    #[case] first: Option<StopOutcome>,
    #[case] after_an_open_order: Option<StopOutcome>,
) {
    let outcome =
        |is_open| outcome_of_reply(Ok(parse_copy_reply(status, body.as_bytes())), is_open);
    assert_eq!(outcome(false), first);
    assert_eq!(outcome(true), after_an_open_order);
}

#[rstest]
fn an_order_without_an_answer_leaves_open_what_became_of_the_generation(
    #[values(ControlError::NotSent, ControlError::NoAnswer)] error: ControlError,
    #[values(false, true)] is_open: bool,
) {
    assert_eq!(outcome_of_reply(Err(error), is_open), None);
}
