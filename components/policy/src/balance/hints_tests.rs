use super::*;

#[test]
fn all_boxes_together_stay_within_the_bound_whatever_they_see() {
    for boxes in [1, 20, 100] {
        let mut budgets = vec![HintBudget::default(); boxes];
        let mut sent = 0;
        for now_ms in 0..10_000 {
            for budget in &mut budgets {
                sent += usize::from(budget.try_take(boxes, now_ms));
            }
        }
        assert!(
            sent <= 300 + 2 * boxes,
            "{sent} words of {boxes} boxes in 10 s"
        );
    }
}

#[test]
fn a_box_that_was_quiet_sends_two_words_at_once() {
    let mut budget = HintBudget::default();
    let sent = (0..10).filter(|_| budget.try_take(100, 60_000)).count();
    assert_eq!(sent, 2);
}
