use super::*;

#[test]
fn allows_retries_as_a_share_of_new_requests() {
    let mut budget = RetryBudget::new(0.1);
    while budget.try_take() {}
    for _ in 0..100 {
        budget.record_request();
    }
    let taken = std::iter::repeat_with(|| budget.try_take()).take_while(|taken| *taken);
    assert!((9..=10).contains(&taken.count()));
}
