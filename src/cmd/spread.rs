//! `spread`: how long each change took to reach all boxes, and what boxes wrote, from the log files of all boxes.
//!
//! A change counts from the first box that knew of it to each other one that was up then. Lines of one place are sampled,
//! so that of very many changes at one time not each shows at each box: the command says how many lines were left out.

use crate::cli::SpreadOptions;
use crate::cmd::lines::{Fields, Unix, fields, read_lines, text, unix_ms};
use serde_json::Value;
use std::collections::{BTreeMap, HashMap};
use std::process::ExitCode;

/// Changes of which fewer boxes than this share of all write say nothing of how long all take.
const KNOWN_SHARE: f64 = 0.5;

/// What changed.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct Change {
    kind: String,
    /// Which one: a version, a target with its life.
    which: String,
}

/// What the lines tell.
#[derive(Debug, Default)]
struct Account {
    /// When each box wrote of each change first.
    known: HashMap<Change, HashMap<String, Unix>>,
    started: HashMap<String, Vec<Unix>>,
    lines: BTreeMap<String, u64>,
    lines_of: HashMap<String, u64>,
    left_out: u64,
}

/// How long the changes of one kind took, in milliseconds.
#[derive(Debug, Default)]
struct Spread {
    changes: usize,
    /// Of each change, until the middle one of the boxes and the last one knew.
    middle_ms: Vec<Unix>,
    last_ms: Vec<Unix>,
}

/// Prints a line for each kind of change, then what was written most.
pub fn run(options: &SpreadOptions) -> miette::Result<ExitCode> {
    let mut account = Account::default();
    read_lines(&options.files, |line| {
        if let Some(line) = fields(line) {
            account.take(&line);
        }
    })?;
    account.print();
    Ok(ExitCode::SUCCESS)
}

fn change_of(line: &Fields) -> Option<Change> {
    let shown = |name: &str| line.get(name).map(Value::to_string).unwrap_or_default();
    let (kind, which) = match text(line, "msg") {
        "declarations in force" => ("declarations".to_owned(), shown("version")),
        "target" => (
            format!("target {}", text(line, "change")),
            format!("{} {}", shown("instance"), shown("born_ms")),
        ),
        message @ ("evacuation begins" | "evacuation ends") => {
            (message.to_owned(), shown("data_centre"))
        }
        "dispatcher is another" => ("dispatcher".to_owned(), shown("dispatcher")),
        _ => return None,
    };
    Some(Change { kind, which })
}

impl Account {
    fn take(&mut self, line: &Fields) {
        let (at, message) = (text(line, "box").to_owned(), text(line, "msg"));
        *self.lines.entry(message.to_owned()).or_default() += 1;
        *self.lines_of.entry(at.clone()).or_default() += 1;
        if message == "repeated log lines left out" {
            self.left_out += line.get("lines").and_then(Value::as_u64).unwrap_or(0);
        }
        let Some(at_ms) = unix_ms(text(line, "ts")) else {
            return;
        };
        if message == "box started" {
            self.started.entry(at).or_default().push(at_ms);
            return;
        }
        if let Some(change) = change_of(line) {
            let boxes = self.known.entry(change).or_default();
            let first_ms = boxes.entry(at).or_insert(at_ms);
            *first_ms = at_ms.min(*first_ms);
        }
    }

    /// How long each change took to reach the boxes that were up when the first knew of it.
    fn spreads(&self) -> BTreeMap<&str, Spread> {
        let mut spreads: BTreeMap<&str, Spread> = BTreeMap::new();
        for (change, boxes) in &self.known {
            let Some(from_ms) = boxes.values().min().copied() else {
                continue;
            };
            let started_since = |at: &String, known_ms: Unix| {
                let starts = self.started.get(at).into_iter().flatten();
                starts
                    .into_iter()
                    .any(|start| (from_ms..=known_ms).contains(start))
            };
            let up = boxes.iter().filter(|(at, ms)| !started_since(at, **ms));
            let mut took: Vec<Unix> = up.map(|(_, ms)| ms - from_ms).collect();
            took.sort_unstable();
            let spread = spreads.entry(&change.kind).or_default();
            spread.changes += 1;
            let enough = self.lines_of.len() as f64 * KNOWN_SHARE;
            if took.len() as f64 >= enough {
                spread.middle_ms.push(took[took.len() / 2]);
                spread.last_ms.extend(took.last());
            }
        }
        spreads
    }

    fn print(&self) {
        println!("boxes: {}", self.lines_of.len());
        for (kind, mut spread) in self.spreads() {
            spread.middle_ms.sort_unstable();
            spread.last_ms.sort_unstable();
            println!(
                "{kind}: {} changes, {} seen at half of the boxes; until the middle box knew {}, until the last one {}",
                spread.changes,
                spread.last_ms.len(),
                quantiles(&spread.middle_ms),
                quantiles(&spread.last_ms),
            );
        }
        let most = self.lines_of.values().max().copied().unwrap_or(0);
        let all: u64 = self.lines.values().sum();
        println!(
            "lines: {all}, {most} of one box at the most, {} left out",
            self.left_out
        );
        let mut kinds: Vec<(&String, &u64)> = self.lines.iter().collect();
        kinds.sort_by_key(|(_, lines)| std::cmp::Reverse(**lines));
        for (message, lines) in kinds.into_iter().take(20) {
            println!("{lines:>9} {message}");
        }
    }
}

fn quantiles(sorted: &[Unix]) -> String {
    let at = |share: f64| sorted.get((sorted.len().saturating_sub(1) as f64 * share) as usize);
    match (at(0.5), at(0.9), at(1.0)) {
        (Some(middle), Some(most), Some(last)) => {
            format!("{middle} / {most} / {last} ms (p50 / p90 / most)")
        }
        _ => "-".to_owned(),
    }
}
