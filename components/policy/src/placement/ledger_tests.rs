use super::*;

fn ledger() -> EngineLedger {
    EngineLedger::new(EngineInfo {
        id: TargetId(1),
        capacity_tokens: 1000,
        data_centre: DataCentreId(0),
        cold_rate_per_s: None,
    })
}

fn report(memory_share: f64) -> EngineReport {
    EngineReport {
        memory_share,
        ..EngineReport::default()
    }
}

#[test]
fn sees_load_that_others_placed() {
    let mut ledger = ledger();
    for at_ms in 0..40 {
        ledger.remember(200.0, at_ms * 100);
        ledger.reported(report(0.7), 200, at_ms * 100);
    }
    assert!((ledger.foreign_tokens - 500.0).abs() < 20.0);
}

#[test]
fn forgets_load_of_others_that_has_gone() {
    let mut ledger = ledger();
    ledger.reported(report(0.9), 0, 0);
    for at_ms in 1..20 {
        ledger.remember(0.0, at_ms);
        ledger.reported(report(0.0), 0, at_ms);
    }
    assert_eq!(ledger.foreign_tokens, 0.0);
}

#[test]
fn does_not_take_its_own_past_for_others_load() {
    let mut ledger = ledger();
    ledger.remember(900.0, 0);
    ledger.remember(100.0, 300);
    ledger.reported(report(0.9), 250, 300);
    assert_eq!(ledger.foreign_tokens, 0.0);
}

#[test]
fn takes_requests_between_two_steps_for_no_backlog() {
    let mut ledger = ledger();
    let mut between_steps = report(0.2);
    between_steps.waiting = 3;
    ledger.reported(between_steps, 0, 0);
    assert!(!ledger.is_backed_up(1));
    between_steps.memory_share = 0.99;
    ledger.reported(between_steps, 0, 2);
    assert!(ledger.is_backed_up(3));
}

#[test]
fn counts_preemptions_of_one_life() {
    let mut ledger = ledger();
    let with = |preemptions, life| EngineReport {
        preemptions,
        incarnation: TargetIncarnation(life),
        ..EngineReport::default()
    };
    assert_eq!(ledger.reported(with(5, 1), 0, 0), 0);
    assert_eq!(ledger.reported(with(7, 1), 0, 1), 2);
    assert_eq!(ledger.reported(with(1, 2), 0, 2), 0);
}
