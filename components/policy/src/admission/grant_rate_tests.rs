use super::*;

#[test]
fn does_not_take_quiet_time_for_slowness() {
    let mut pace = GrantRate::default();
    for at_ms in (0..10_000).step_by(10) {
        let waiting = at_ms % 100 < 50;
        pace.advance(waiting, at_ms);
        if waiting {
            pace.record_grant();
        }
    }
    let ms = pace.ms_per_grant().unwrap();
    assert!((8.0..=12.0).contains(&ms), "{ms}");
}

#[test]
fn forgets_a_slow_time() {
    let mut pace = GrantRate::default();
    for at_ms in (0..20_000).step_by(1000) {
        pace.advance(true, at_ms);
        pace.record_grant();
    }
    for at_ms in (20_000..50_000).step_by(10) {
        pace.advance(true, at_ms);
        pace.record_grant();
    }
    assert!(pace.ms_per_grant().unwrap() < 15.0);
}
