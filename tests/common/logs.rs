//! Runs the commands that read boxes' logs.

use std::io::Write;
use std::process::{Command, Stdio};

/// The lines that a command prints of a log that it reads from standard input.
pub fn lines_of(command: &str, log: &str) -> Vec<String> {
    let mut child = Command::new(env!("CARGO_BIN_EXE_shuntpier"))
        .arg(command)
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .spawn()
        .unwrap();
    let mut input = child.stdin.take().unwrap();
    input.write_all(log.as_bytes()).unwrap();
    drop(input);
    let output = child.wait_with_output().unwrap();
    assert!(output.status.success());
    let text = String::from_utf8(output.stdout).unwrap();
    text.lines().map(|line| line.trim().to_owned()).collect()
}
