use super::*;
use policy::{EngineInfo, EngineReport, Share};
use prelude::{AccountId, Avoided};
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
    let demand = demand(1);
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
    dispatcher.record_report(BoxId(2), 100);
    dispatcher.decide(120);
    assert_eq!(dispatcher.pool.target_of(permit), None);
    dispatcher.record_report(BoxId(1), 122);
    dispatcher.decide(122);
    assert_eq!(dispatcher.pool.target_of(permit), Some(ENGINE));
}

#[test]
fn a_new_dispatcher_does_not_wait_for_boxes_that_report_nothing() {
    let mut dispatcher = dispatcher();
    let permit = queue_request(&mut dispatcher);
    dispatcher.hold_for_reports(HashSet::from([BoxId(1)]), 0);
    dispatcher.decide(249);
    assert_eq!(dispatcher.pool.target_of(permit), None);
    dispatcher.decide(250);
    assert_eq!(dispatcher.pool.target_of(permit), Some(ENGINE));
}
