use super::*;

#[test]
fn ignores_time_without_waiting_requests() {
    let mut rate = GrantRate::default();
    for at_ms in (0..10_000).step_by(10) {
        let waiting = at_ms % 100 < 50;
        rate.advance(waiting, at_ms);
        if waiting {
            rate.record_grant();
        }
    }
    let ms = rate.ms_per_grant().unwrap();
    assert!((8.0..=12.0).contains(&ms), "{ms}");
}

#[test]
fn forgets_a_slow_period() {
    let mut rate = GrantRate::default();
    for at_ms in (0..20_000).step_by(1000) {
        rate.advance(true, at_ms);
        rate.record_grant();
    }
    for at_ms in (20_000..50_000).step_by(10) {
        rate.advance(true, at_ms);
        rate.record_grant();
    }
    assert!(rate.ms_per_grant().unwrap() < 15.0);
}
