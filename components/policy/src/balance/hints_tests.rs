use super::*;

#[test]
fn hints_of_all_boxes_together_stay_within_the_rate() {
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
            "{sent} hints from {boxes} boxes in 10 s"
        );
    }
}

#[test]
fn an_idle_box_may_send_a_burst_of_two_hints() {
    let mut budget = HintBudget::default();
    let sent = (0..10).filter(|_| budget.try_take(100, 60_000)).count();
    assert_eq!(sent, 2);
}
