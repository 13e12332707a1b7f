//! Lost requests by cause, from the logs of boxes.

#[path = "common/logs.rs"]
mod logs;

fn line(second: u32, at: &str, message: &str, rest: &str) -> String {
    format!(
        "{{\"msg\":\"{message}\",\"ts\":\"2026-01-01T00:00:{second:02}Z\",\"box\":\"{at}\"{rest}}}\n"
    )
}

fn losses(log: &str) -> Vec<String> {
    logs::lines_of("losses", log)
}

#[test]
fn a_generation_without_an_end_is_lost_with_its_box() {
    let log = [
        line(1, "a", "generation begun", ",\"id\":\"1\""),
        line(1, "a", "generation begun", ",\"id\":\"2\""),
        line(
            2,
            "a",
            "generation ended",
            ",\"id\":\"2\",\"end\":\"Whole\"",
        ),
        line(3, "b", "generation begun", ",\"id\":\"3\""),
        line(4, "b", "stopping", ""),
        line(9, "a", "box started", ""),
        line(9, "b", "box started", ""),
    ];
    let lines = losses(&log.concat());
    assert_eq!(lines[0], "3 generations begun, 1 whole");
    assert!(lines.contains(&"1  generation  cut by its box's death (first: 1)".to_owned()));
    assert!(lines.contains(&"1  generation  cut by its box's planned stop (first: 3)".to_owned()));
}

#[test]
fn tells_what_targets_failed_from_what_boxes_refused() {
    let log = [
        line(
            1,
            "a",
            "request failed",
            ",\"id\":\"1\",\"status\":500,\"why\":null",
        ),
        line(
            2,
            "a",
            "request failed",
            ",\"id\":\"2\",\"status\":500,\"why\":null",
        ),
        line(
            3,
            "a",
            "generation not begun",
            ",\"id\":\"3\",\"status\":503,\"why\":\"crowded\"",
        ),
    ];
    let lines = losses(&log.concat());
    assert_eq!(
        lines[1],
        "2  call        failed by its target, 500 (first: 1)"
    );
    assert_eq!(
        lines[2],
        "1  generation  answered 503 by the box: crowded (first: 3)"
    );
}
