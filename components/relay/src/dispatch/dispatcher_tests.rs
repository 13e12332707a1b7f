use super::*;
use crate::dispatch::takeover::{RECONNECT_TIMEOUT_MS, REPORTS_TIMEOUT_MS, TAKEOVER_HOLD_MS};
use policy::{EngineInfo, EngineReport, Share};
use prelude::{AccountId, Avoided};
use rstest::rstest;
use settings::LiveSettings;

const ENGINE: TargetId = TargetId(1);

fn demand(serial: u64) -> Demand {
    Demand {
        permit: PermitId {
            serial,
            ..PermitId::default()
        },
        share: Share {
            partner_weight: 1.0,
            owner_weight: 1.0,
            account_weight: 1.0,
            account: AccountId(1),
            ..Share::default()
        },
        class: LengthClass::default(),
        prompt_tokens: 1_000,
        max_tokens: 100,
        rank: 1,
        pause_goal_ms: None,
        arrived_ms: 0,
        deadline_ms: 10_000,
        caller_deadline_ms: 20_000,
        prefix: None,
        oracle_tokens: None,
        avoid: Avoided::default(),
        preferred_data_centre: None,
    }
}

/// Returns a dispatcher of one idle engine.
fn dispatcher() -> Dispatcher {
    let file = FleetFile::read(include_str!("../../../../examples/fleet-box.yaml")).unwrap();
    let log = slog::Logger::root(slog::Discard, slog::o!());
    let mut dispatcher = Dispatcher::new(&file, log, 0);
    dispatcher.pool.set_engines(&[EngineInfo {
        id: ENGINE,
        capacity_tokens: 100_000,
        data_centre: DataCentreId(0),
        cold_rate_per_s: None,
    }]);
    dispatcher
        .pool
        .apply_report(ENGINE, EngineReport::default(), 0);
    dispatcher
}

/// Queues a request whose call has already ended.
fn queue_request(dispatcher: &mut Dispatcher) -> PermitId {
    queue(dispatcher, demand(1))
}

fn queue(dispatcher: &mut Dispatcher, demand: Demand) -> PermitId {
    let permit = demand.permit;
    let (verdict_sender, _) = oneshot::channel();
    let waiting = WaitingRequest {
        verdict_sender,
        rank: demand.rank,
        arrived_ms: 0,
    };
    dispatcher.waiting.insert(permit, waiting);
    dispatcher.pool.submit(demand, 0);
    permit
}

/// Returns a dispatcher that grants a permit at time 0 to a request whose call has just ended.
fn dispatcher_with_ended_call() -> (Dispatcher, PermitId) {
    let mut dispatcher = dispatcher();
    let permit = queue_request(&mut dispatcher);
    dispatcher.decide(0);
    (dispatcher, permit)
}

/// Guards against lost places: a permit granted between two calls of its box was released, and later callers were served
/// before the request was queued again.
#[test]
fn a_permit_granted_between_two_calls_is_kept_for_the_next_one() {
    let (mut dispatcher, permit) = dispatcher_with_ended_call();
    dispatcher.decide(200);
    assert_eq!(dispatcher.claim(permit), Some(ENGINE));
    dispatcher.decide(CLAIM_TIMEOUT_MS + 1);
    assert_eq!(dispatcher.pool.target_of(permit), Some(ENGINE));
}

#[test]
fn a_permit_that_is_not_claimed_is_released() {
    let (mut dispatcher, permit) = dispatcher_with_ended_call();
    dispatcher.decide(CLAIM_TIMEOUT_MS - 1);
    assert_eq!(dispatcher.pool.target_of(permit), Some(ENGINE));
    dispatcher.decide(CLAIM_TIMEOUT_MS);
    assert_eq!(dispatcher.pool.target_of(permit), None);
}

/// Guards against grants before all boxes have reported to a new dispatcher: they overcommitted the engine and served the
/// accounts by the usage of some boxes only.
#[test]
fn a_new_dispatcher_grants_nothing_until_the_last_box_has_reported() {
    let mut dispatcher = dispatcher();
    let permit = queue_request(&mut dispatcher);
    dispatcher.hold_for_reports(HashSet::from([BoxId(1), BoxId(2)]), 0);
    dispatcher.record_report(BoxId(2), 1, 100);
    dispatcher.decide(120);
    assert_eq!(dispatcher.pool.target_of(permit), None);
    dispatcher.record_report(BoxId(1), 0, 122);
    dispatcher.decide(122);
    assert_eq!(dispatcher.pool.target_of(permit), Some(ENGINE));
}

/// Guards against grants of a dispatcher that was isolated, after the empty report of the first box that reaches it: others had
/// filled the engine meanwhile.
#[test]
fn a_dispatcher_that_was_isolated_grants_nothing_until_the_last_box_has_reported() {
    let mut dispatcher = dispatcher();
    let permit = queue_request(&mut dispatcher);
    dispatcher.hold_after_isolation(HashSet::from([BoxId(1), BoxId(2)]), 0);
    dispatcher.record_report(BoxId(2), 0, 10);
    dispatcher.decide(RECONNECT_TIMEOUT_MS - 1);
    assert_eq!(dispatcher.pool.target_of(permit), None);
    dispatcher.record_report(BoxId(1), 1, RECONNECT_TIMEOUT_MS - 1);
    dispatcher.decide(RECONNECT_TIMEOUT_MS - 1);
    assert_eq!(dispatcher.pool.target_of(permit), Some(ENGINE));
}

/// The cases are the open generations that one of two boxes reports, the latest start of a waiting request, and the time of
/// the first grant.
#[rstest]
#[case::takeover(1, 10_000, REPORTS_TIMEOUT_MS)]
#[case::first_dispatcher(0, 10_000, TAKEOVER_HOLD_MS)]
#[case::due_request(1, 250, 150)]
fn a_new_dispatcher_does_not_wait_long_for_boxes_that_report_nothing(
    #[case] generations: usize,
    #[case] deadline_ms: u64,
    #[case] granted_ms: u64,
) {
    let mut dispatcher = dispatcher();
    let permit = queue(
        &mut dispatcher,
        Demand {
            deadline_ms,
            prompt_tokens: 0,
            ..demand(1)
        },
    );
    dispatcher.hold_for_reports(HashSet::from([BoxId(1), BoxId(2)]), 0);
    dispatcher.record_report(BoxId(2), generations, 10);
    dispatcher.decide(granted_ms - 1);
    assert_eq!(dispatcher.pool.target_of(permit), None);
    dispatcher.decide(granted_ms);
    assert_eq!(dispatcher.pool.target_of(permit), Some(ENGINE));
}
