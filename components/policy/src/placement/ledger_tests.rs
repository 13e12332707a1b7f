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
fn estimates_load_from_elsewhere() {
    let mut ledger = ledger();
    for at_ms in 0..40 {
        ledger.record_own_tokens(200.0, at_ms * 100);
        ledger.apply_report(report(0.7), 200, at_ms * 100);
    }
    assert!((ledger.foreign_tokens - 500.0).abs() < 20.0);
}

#[test]
fn drops_load_from_elsewhere_that_has_ended() {
    let mut ledger = ledger();
    ledger.apply_report(report(0.9), 0, 0);
    for at_ms in 1..20 {
        ledger.record_own_tokens(0.0, at_ms);
        ledger.apply_report(report(0.0), 0, at_ms);
    }
    assert_eq!(ledger.foreign_tokens, 0.0);
}

#[test]
fn does_not_count_its_own_earlier_load_as_foreign() {
    let mut ledger = ledger();
    ledger.record_own_tokens(900.0, 0);
    ledger.record_own_tokens(100.0, 300);
    ledger.apply_report(report(0.9), 250, 300);
    assert_eq!(ledger.foreign_tokens, 0.0);
}

#[test]
fn requests_waiting_between_two_steps_are_no_memory_backlog() {
    let mut ledger = ledger();
    let mut between_steps = report(0.2);
    between_steps.waiting = 3;
    ledger.apply_report(between_steps, 0, 0);
    assert!(!ledger.has_memory_backlog(1));
    between_steps.memory_share = 0.99;
    ledger.apply_report(between_steps, 0, 2);
    assert!(ledger.has_memory_backlog(3));
}

#[test]
fn counts_preemptions_within_one_incarnation() {
    let mut ledger = ledger();
    let report_with = |preemptions, incarnation| EngineReport {
        preemptions,
        incarnation: TargetIncarnation(incarnation),
        ..EngineReport::default()
    };
    assert_eq!(ledger.apply_report(report_with(5, 1), 0, 0), 0);
    assert_eq!(ledger.apply_report(report_with(7, 1), 0, 1), 2);
    assert_eq!(ledger.apply_report(report_with(1, 2), 0, 2), 0);
}
