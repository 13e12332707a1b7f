use super::*;

const RECORDED: &str = include_str!("../../../../docs/capacity.jsonl");
const PAGE: &str = include_str!("../../../../docs/CAPACITY.md");

#[test]
fn page_agrees_with_the_recorded_measurement() {
    for line in RECORDED.lines() {
        let row = row(&serde_json::from_str(line).unwrap());
        assert!(PAGE.contains(&row), "not on the page: {row}");
    }
    let rows = PAGE.lines().filter(|line| line.starts_with("| ")).count();
    assert!(rows > RECORDED.lines().count());
}

#[test]
fn says_no_budget_where_there_is_none() {
    let slope = serde_json::json!({"role": "r", "quantity": "q", "per": "p", "slope": 12.3456,
        "r2": 0.5, "at_target_size": 1234.5, "budget": null});
    assert_eq!(row(&slope), "| r | q | p | 12.35 | 0.5000 | 1234 | - |");
}
