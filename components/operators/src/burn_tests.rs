use super::*;

fn objective() -> Objective {
    Objective {
        account_name: "a".into(),
        owner_name: "o".into(),
        good_share: 0.9,
        first_token_ms: 500,
        token_gap_ms: 65,
        stall_ms: 100,
    }
}

fn sample(stall_ms: u64) -> Sample {
    Sample {
        target: Some(TargetId(1)),
        stall_ms,
        gaps: 100,
        ..Sample::default()
    }
}

fn report(bad: u64, good: u64, at_ms: u64, now_ms: u64) -> BurnReport {
    let mut recorder = BurnRecorder::default();
    for _ in 0..bad {
        recorder.record(&sample(500), &objective(), at_ms);
    }
    for _ in 0..good {
        recorder.record(&sample(0), &objective(), at_ms);
    }
    recorder.report(now_ms, |target| target.to_string())
}

#[test]
fn burns_at_one_when_the_allowed_share_is_bad() {
    let report = report(10, 90, 0, 0);
    let windows = &report.accounts[0].windows;
    assert!((windows[0].burn_rate - 1.0).abs() < 1e-9);
    assert_eq!(report.causes[0].reason, BadReason::Stall);
}

#[test]
fn forgets_what_is_older_than_its_window() {
    let report = report(10, 90, 0, 10 * MINUTE_MS);
    let windows = &report.accounts[0].windows;
    assert_eq!(windows[0].total, 0);
    assert_eq!(windows[1].total, 100);
}

#[test]
fn adds_up_the_boxes() {
    let merged = merge([report(10, 0, 0, 0), report(0, 90, 0, 0)]);
    assert!((merged.accounts[0].windows[0].burn_rate - 1.0).abs() < 1e-9);
}
