//! Lines of boxes' logs, read from files or from standard input.

use crate::cmd::read_file;
use miette::{IntoDiagnostic, WrapErr};
use serde_json::{Map, Value};
use std::path::PathBuf;

/// The fields of one line.
pub type Fields = Map<String, Value>;

/// The texts of log files; standard input where none is named.
pub fn read_logs(files: &[PathBuf]) -> miette::Result<Vec<String>> {
    if !files.is_empty() {
        return files.iter().map(|file| read_file(file)).collect();
    }
    let text = std::io::read_to_string(std::io::stdin())
        .into_diagnostic()
        .wrap_err("cannot read standard input")?;
    Ok(vec![text])
}

/// The fields of a line; none where it is no line of a box. What stands before its JSON is passed over.
pub fn fields(line: &str) -> Option<Fields> {
    let at = line.find('{')?;
    serde_json::from_str(&line[at..]).ok()
}

/// A field's text; empty where it has none.
pub fn text<'a>(fields: &'a Fields, name: &str) -> &'a str {
    fields.get(name).and_then(Value::as_str).unwrap_or_default()
}
