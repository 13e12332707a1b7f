//! A short soak of a fleet's boxes as processes, on fixed seeds, and one of each promise broken on purpose.

use rstest::rstest;
use soak::{Plant, Soak, play};

fn soak(plant: Option<Plant>) -> Soak {
    Soak {
        program: env!("CARGO_BIN_EXE_shuntpier").into(),
        folder: std::env::temp_dir().join(format!("shuntpier-soak-test-{}", std::process::id())),
        boxes: 2,
        callers: 3,
        span_ms: 5_000,
        // A machine that also builds may stall for seconds; bounds are checked by hand with less.
        slack_ms: 4_000,
        has_partitions: false,
        has_fatal_part: false,
        has_refusals: false,
        has_lost_orders: false,
        has_doubtful_refusals: false,
        has_stale_views: false,
        plant,
    }
}

#[rstest]
#[case(11)]
#[case(12)]
fn no_promise_is_broken(#[case] seed: u64) {
    let report = play(&soak(None), seed).unwrap();
    assert!(report.broken.is_empty(), "{report:#?}");
    assert!(report.served > 0, "{report:#?}");
}

#[rstest]
#[case(13)]
fn no_promise_is_broken_while_boxes_are_cut_off_from_targets(#[case] seed: u64) {
    let cut = Soak {
        has_partitions: true,
        ..soak(None)
    };
    let report = play(&cut, seed).unwrap();
    assert!(report.broken.is_empty(), "{report:#?}");
    assert!(report.served > 0, "{report:#?}");
}

#[rstest]
#[case(14)]
fn no_promise_is_broken_while_a_prompt_part_crashes_engines(#[case] seed: u64) {
    let fatal = Soak {
        has_fatal_part: true,
        ..soak(None)
    };
    let report = play(&fatal, seed).unwrap();
    assert!(report.broken.is_empty(), "{report:#?}");
    assert!(report.served > 0, "{report:#?}");
}

#[rstest]
#[case(15)]
fn no_promise_is_broken_while_targets_refuse_and_boxes_are_killed_in_series(#[case] seed: u64) {
    let refusals = Soak {
        has_refusals: true,
        ..soak(None)
    };
    let report = play(&refusals, seed).unwrap();
    assert!(report.broken.is_empty(), "{report:#?}");
    assert!(report.served > 0, "{report:#?}");
}

#[rstest]
#[case(16)]
fn no_promise_is_broken_while_engines_leave_and_answers_to_orders_are_lost(#[case] seed: u64) {
    let lost_orders = Soak {
        has_lost_orders: true,
        ..soak(None)
    };
    let report = play(&lost_orders, seed).unwrap();
    assert!(report.broken.is_empty(), "{report:#?}");
    assert!(report.served > 0, "{report:#?}");
}

#[rstest]
#[case(17)]
fn no_promise_is_broken_while_targets_refuse_doubtfully(#[case] seed: u64) {
    let doubtful = Soak {
        has_doubtful_refusals: true,
        ..soak(None)
    };
    let report = play(&doubtful, seed).unwrap();
    assert!(report.broken.is_empty(), "{report:#?}");
    assert!(report.served > 0, "{report:#?}");
}

#[rstest]
#[case(18)]
fn no_promise_is_broken_while_boxes_that_watch_the_store_are_cut_off_and_another_restarts(
    #[case] seed: u64,
) {
    let stale_views = Soak {
        boxes: 5,
        has_stale_views: true,
        ..soak(None)
    };
    let report = play(&stale_views, seed).unwrap();
    assert!(report.broken.is_empty(), "{report:#?}");
    assert!(report.served > 0, "{report:#?}");
}

/// Plants that show whatever the seed's plan is.
#[rstest]
#[case(Plant::Twice)]
#[case(Plant::NotRun)]
#[case(Plant::Mixed)]
#[case(Plant::Order)]
#[case(Plant::TwoRuns)]
#[case(Plant::Lives)]
#[case(Plant::Unreadable)]
#[case(Plant::Limit)]
#[case(Plant::Leaving)]
#[case(Plant::Pause)]
fn a_promise_broken_on_purpose_is_found(#[case] plant: Plant) {
    let report = play(&soak(Some(plant)), 11).unwrap();
    let found = report
        .broken
        .iter()
        .any(|broken| broken.promise == plant.promise());
    assert!(found, "{plant}: {report:#?}");
}
