use super::*;

fn after(answers: usize, chance: f64, paused_each: usize) -> f64 {
    let mut calibration = Calibration::default();
    for at in 1..=answers {
        calibration.ended(chance, at % paused_each == 0);
    }
    calibration.weight()
}

#[test]
fn chances_count_in_full_before_any_answer_ended() {
    assert_eq!(Calibration::default().weight(), 1.0);
}

#[test]
fn chances_that_come_true_count_in_full() {
    assert!(after(400, 0.1, 10) > 0.9);
}

#[test]
fn chances_that_nobody_felt_count_for_little() {
    assert!(after(400, 0.1, 1_000) < 0.15);
    assert!(after(10_000, 0.9, 100_000) >= 0.1);
}

#[test]
fn pauses_that_come_again_count_again() {
    let mut calibration = Calibration::default();
    for _ in 0..400 {
        calibration.ended(0.2, false);
    }
    for at in 0..1_000 {
        calibration.ended(0.2, at % 5 == 0);
    }
    assert!(calibration.weight() > 0.85);
}
