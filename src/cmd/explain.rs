//! `explain`: the story of one request, from the log files of all boxes, in the order in which it happened.

use crate::cli::ExplainOptions;
use crate::cmd::read_file;
use miette::{IntoDiagnostic, WrapErr, miette};
use serde_json::{Map, Value};
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
    let mut lines = Vec::new();
    for file in &options.files {
        lines.extend(lines_of(&read_file(file)?, &options.id));
    }
    if options.files.is_empty() {
        let text = std::io::read_to_string(std::io::stdin())
            .into_diagnostic()
            .wrap_err("cannot read standard input")?;
        lines.extend(lines_of(&text, &options.id));
    }
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

/// The lines of a log that name a request. What stands before the JSON of a line is passed over.
fn lines_of(text: &str, id: &str) -> Vec<Line> {
    let naming = text.lines().filter(|line| line.contains(id));
    naming
        .filter_map(|line| line.find('{').map(|at| &line[at..]))
        .filter_map(|line| serde_json::from_str::<Map<String, Value>>(line).ok())
        .filter(|fields| fields.get("id").and_then(Value::as_str) == Some(id))
        .map(|fields| story_line(&fields))
        .collect()
}

fn story_line(fields: &Map<String, Value>) -> Line {
    let text = |name: &str| fields.get(name).and_then(Value::as_str).unwrap_or_default();
    let at = text("ts").to_owned();
    let mut line = format!("{at}  {}  {}", text("box"), text("msg"));
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
