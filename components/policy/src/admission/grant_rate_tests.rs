use super::*;

#[test]
fn does_not_take_quiet_time_for_slowness() {
    let mut pace = GrantRate::default();
    for at_ms in (0..10_000).step_by(10) {
        let waiting = at_ms % 100 < 50;
        pace.pass(waiting, at_ms);
        if waiting {
            pace.granted();
        }
    }
    let ms = pace.ms_per_grant().unwrap();
    assert!((8.0..=12.0).contains(&ms), "{ms}");
}

#[test]
fn forgets_a_slow_time() {
    let mut pace = GrantRate::default();
    for at_ms in (0..20_000).step_by(1000) {
        pace.pass(true, at_ms);
        pace.granted();
    }
    for at_ms in (20_000..50_000).step_by(10) {
        pace.pass(true, at_ms);
        pace.granted();
    }
    assert!(pace.ms_per_grant().unwrap() < 15.0);
}
