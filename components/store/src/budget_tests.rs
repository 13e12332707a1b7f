use super::*;

#[test]
fn keeps_to_its_rate() {
    let mut budget = CallBudget::new(10.0, 2.0);
    let taken = (0..1000)
        .filter(|now_ms| budget.take(*now_ms).is_ok())
        .count();
    assert!((11..=12).contains(&taken), "{taken}");
}
