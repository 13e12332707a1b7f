//! The story of a request, from the logs of boxes.

use std::io::Write;
use std::process::{Command, Output, Stdio};

const LOG: &str = concat!(
    r#"  1.2 box-b {"msg":"generation ended","ts":"2026-01-01T00:00:02Z","box":"b","id":"77","events":3}"#,
    "\n",
    r#"{"msg":"generation begun","ts":"2026-01-01T00:00:01Z","box":"b","id":"77","engine":"e-1"}"#,
    "\n",
    r#"{"msg":"request failed","ts":"2026-01-01T00:00:01Z","box":"a","id":"777"}"#,
    "\nnot a line of a box 77\n",
);

fn explain(id: &str) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_shuntpier"))
        .args(["explain", id])
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    child
        .stdin
        .take()
        .unwrap()
        .write_all(LOG.as_bytes())
        .unwrap();
    child.wait_with_output().unwrap()
}

#[test]
fn tells_a_request_in_the_order_in_which_it_happened() {
    let output = explain("77");
    let text = String::from_utf8(output.stdout).unwrap();
    let lines: Vec<&str> = text.lines().collect();
    assert_eq!(
        lines,
        [
            "2026-01-01T00:00:01Z  b  generation begun  engine=e-1",
            "2026-01-01T00:00:02Z  b  generation ended  events=3",
        ]
    );
    assert!(output.status.success());
}

#[test]
fn says_so_where_no_line_names_the_request() {
    let output = explain("78");
    assert!(!output.status.success());
    assert!(String::from_utf8_lossy(&output.stderr).contains("no line names request"));
}
