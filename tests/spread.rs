//! How long changes took to reach all boxes, from the logs of boxes.

#[path = "common/logs.rs"]
mod logs;

fn line(ms: u32, at: &str, message: &str, rest: &str) -> String {
    format!(
        "{{\"msg\":\"{message}\",\"ts\":\"2026-01-01T00:00:{:02}.{:03}Z\",\"box\":\"{at}\"{rest}}}\n",
        ms / 1_000,
        ms % 1_000
    )
}

fn spread(log: &str) -> Vec<String> {
    logs::lines_of("spread", log)
}

#[test]
fn a_change_counts_from_the_first_box_that_knew_to_the_last() {
    let log = [
        line(1_000, "a", "declarations in force", ",\"version\":7"),
        line(1_030, "b", "declarations in force", ",\"version\":7"),
        line(1_250, "c", "declarations in force", ",\"version\":7"),
    ];
    let lines = spread(&log.concat());
    assert_eq!(lines[0], "boxes: 3");
    assert!(lines[1].starts_with("declarations: 1 changes, 1 seen at half"));
    assert!(
        lines[1].contains("middle box knew 30 / 30 / 30 ms"),
        "{lines:?}"
    );
    assert!(
        lines[1].contains("last one 250 / 250 / 250 ms"),
        "{lines:?}"
    );
}

#[test]
fn a_box_that_started_after_a_change_is_not_late() {
    let log = [
        line(1_000, "a", "declarations in force", ",\"version\":7"),
        line(1_020, "b", "declarations in force", ",\"version\":7"),
        line(5_000, "c", "box started", ""),
        line(5_100, "c", "declarations in force", ",\"version\":7"),
    ];
    let lines = spread(&log.concat());
    assert!(lines[1].contains("last one 20 / 20 / 20 ms"), "{lines:?}");
}

#[test]
fn a_torn_line_and_what_stands_before_a_line_are_passed_over() {
    let log = [
        "-3.1 a {\"msg\":\"declar\n".to_owned(),
        format!(
            "12.5 a {}",
            line(900, "a", "evacuation begins", ",\"data_centre\":\"x\"")
        ),
    ];
    let lines = spread(&log.concat());
    assert_eq!(lines[0], "boxes: 1");
    assert!(lines[1].starts_with("evacuation begins: 1 changes"));
}
