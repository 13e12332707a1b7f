use super::*;

#[test]
fn keeps_each_target_once_and_no_more_than_fit() {
    let avoided: Avoided = [1, 2, 1, 3, 4, 5, 6, 7].map(TargetId).into_iter().collect();
    let kept: Vec<u64> = (0..9)
        .filter(|id| avoided.contains(TargetId(*id)))
        .collect();
    assert_eq!(kept, [1, 2, 3, 4, 5, 6]);
    assert!(!Avoided::from(None).contains(TargetId(0)));
}
