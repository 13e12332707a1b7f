//! `explain`: the story of one request, from the log files of all boxes, in the order in which it happened.

use crate::cli::ExplainOptions;
use crate::cmd::lines::{Fields, fields, read_logs, text};
use miette::miette;
use std::process::ExitCode;

/// Fields that stand at the beginning of a line of the story.
const LEADING: [&str; 4] = ["ts", "box", "msg", "id"];
/// Fields that say nothing of a request.
const LEFT_OUT: [&str; 1] = ["level"];

/// One line of a log that names the request.
#[derive(Clone, Debug)]
struct Line {
    at: String,
    text: String,
}

/// Prints every line that names the request; exits with 1 where there is none.
pub fn run(options: &ExplainOptions) -> miette::Result<ExitCode> {
    let logs = read_logs(&options.files)?;
    let mut lines: Vec<Line> = logs
        .iter()
        .flat_map(|log| lines_of(log, &options.id))
        .collect();
    lines.sort_by(|a, b| a.at.cmp(&b.at));
    if lines.is_empty() {
        return Err(miette!(
            help = "a box logs a request once it fails, and a generation once it begins",
            "no line names request `{}`",
            options.id
        ));
    }
    for line in &lines {
        println!("{}", line.text);
    }
    Ok(ExitCode::SUCCESS)
}

/// The lines of a log that name a request.
fn lines_of(log: &str, id: &str) -> Vec<Line> {
    let naming = log.lines().filter(|line| line.contains(id));
    naming
        .filter_map(fields)
        .filter(|fields| text(fields, "id") == id)
        .map(|fields| story_line(&fields))
        .collect()
}

fn story_line(fields: &Fields) -> Line {
    let at = text(fields, "ts").to_owned();
    let mut line = format!("{at}  {}  {}", text(fields, "box"), text(fields, "msg"));
    for (name, value) in fields {
        let passed_over = LEADING.contains(&name.as_str()) || LEFT_OUT.contains(&name.as_str());
        if passed_over || value.is_null() {
            continue;
        }
        let value = value
            .as_str()
            .map_or_else(|| value.to_string(), str::to_owned);
        line.push_str(&format!("  {name}={value}"));
    }
    Line { at, text: line }
}
