//! Lines of boxes' logs, read from files or from standard input.

use crate::cmd::read_file;
use miette::{IntoDiagnostic, WrapErr};
use serde_json::{Map, Value};
use std::fs::File;
use std::io::{BufRead, BufReader, Read, stdin};
use std::path::PathBuf;
use time::OffsetDateTime;
use time::format_description::well_known::Rfc3339;

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

/// A time in milliseconds since 1970.
pub type Unix = i64;

/// When a line was written, by its `ts`.
pub fn unix_ms(ts: &str) -> Option<Unix> {
    let at = OffsetDateTime::parse(ts, &Rfc3339).ok()?;
    Some((at.unix_timestamp_nanos() / 1_000_000) as Unix)
}

/// Gives all lines of log files, one after another, so that they need not fit into memory; those of standard input where
/// no file is named.
pub fn read_lines(files: &[PathBuf], mut take: impl FnMut(&str)) -> miette::Result<()> {
    if files.is_empty() {
        return lines_of(stdin().lock(), "standard input", &mut take);
    }
    for file in files {
        let name = file.display().to_string();
        let opened = File::open(file)
            .into_diagnostic()
            .wrap_err_with(|| format!("cannot read {name}"))?;
        lines_of(opened, &name, &mut take)?;
    }
    Ok(())
}

fn lines_of(source: impl Read, name: &str, take: &mut impl FnMut(&str)) -> miette::Result<()> {
    let mut source = BufReader::new(source);
    let mut line = Vec::new();
    loop {
        line.clear();
        let read = source
            .read_until(b'\n', &mut line)
            .into_diagnostic()
            .wrap_err_with(|| format!("cannot read {name}"))?;
        if read == 0 {
            return Ok(());
        }
        take(&String::from_utf8_lossy(&line));
    }
}
