//! `losses`: the requests that were lost or late, summed by cause, from the log files of all boxes.

use crate::cli::LossesOptions;
use crate::cmd::lines::{Fields, fields, read_logs, text};
use serde_json::Value;
use std::collections::{BTreeMap, HashMap};
use std::process::ExitCode;

/// A generation that is begun, and not ended yet by the lines read so far.
#[derive(Clone, Debug)]
struct Open {
    box_name: String,
    stopping: bool,
}

/// One cause, with what it cost.
#[derive(Clone, Debug, Default)]
struct Loss {
    requests: u64,
    first_id: String,
}

/// What the lines tell, in the order of time.
#[derive(Clone, Debug, Default)]
struct Account {
    losses: BTreeMap<(&'static str, String), Loss>,
    open: HashMap<String, Open>,
    stopping: HashMap<String, bool>,
    begun: u64,
    whole: u64,
}

/// Prints a line for each cause, the most frequent first.
pub fn run(options: &LossesOptions) -> miette::Result<ExitCode> {
    let logs = read_logs(&options.files)?;
    let mut lines: Vec<Fields> = logs
        .iter()
        .flat_map(|log| log.lines())
        .filter_map(fields)
        .collect();
    lines.sort_by(|a, b| text(a, "ts").cmp(text(b, "ts")));
    let mut account = Account::default();
    for line in &lines {
        account.take(line);
    }
    account.close();
    account.print();
    Ok(ExitCode::SUCCESS)
}

impl Account {
    fn take(&mut self, line: &Fields) {
        let (id, at) = (text(line, "id"), text(line, "box"));
        match text(line, "msg") {
            "box started" => {
                self.cut_open(at);
                self.stopping.insert(at.to_owned(), false);
            }
            "stopping" => {
                self.stopping.insert(at.to_owned(), true);
                let of_box = self.open.values_mut().filter(|open| open.box_name == at);
                of_box.for_each(|open| open.stopping = true);
            }
            "generation begun" => self.begin(id, at),
            "generation ended" => self.end(id, line),
            "generation not begun" => self.add("generation", &own_cause(line), id),
            "generation failed" => self.add("generation", "failed by its engine", id),
            "request failed" => self.add("call", &call_cause(line), id),
            "request refused" => self.add("request", &own_cause(line), id),
            "caller left before its answer" | "caller left" => {
                self.add("request", "its caller left", id);
            }
            _ => {}
        }
    }

    fn begin(&mut self, id: &str, at: &str) {
        self.begun += 1;
        let open = Open {
            box_name: at.to_owned(),
            stopping: self.stopping.get(at).copied().unwrap_or_default(),
        };
        self.open.insert(id.to_owned(), open);
    }

    fn end(&mut self, id: &str, line: &Fields) {
        self.open.remove(id);
        let end = text(line, "end");
        if end != "Whole" {
            return self.add("generation", &format!("ended: {end}"), id);
        }
        self.whole += 1;
        let late = |name: &str| line.get(name).and_then(Value::as_bool) == Some(true);
        if late("late") {
            self.add("generation", "whole, but its first token was late", id);
        } else if late("paused") {
            self.add("generation", "whole, but it paused for too long", id);
        }
    }

    /// What a box had open when it started again ended with its life before.
    fn cut_open(&mut self, at: &str) {
        let of_box = |open: &Open| open.box_name == at;
        let cut: Vec<(String, Open)> = self
            .open
            .iter()
            .filter(|(_, open)| of_box(open))
            .map(|(id, open)| (id.clone(), open.clone()))
            .collect();
        for (id, open) in cut {
            self.open.remove(&id);
            let cause = match open.stopping {
                true => "cut by its box's planned stop",
                false => "cut by its box's death",
            };
            self.add("generation", cause, &id);
        }
    }

    /// What is still open where the logs end is no loss that they know of.
    fn close(&mut self) {
        for id in std::mem::take(&mut self.open).into_keys() {
            self.add("generation", "open where the logs end", &id);
        }
    }

    fn add(&mut self, kind: &'static str, cause: &str, id: &str) {
        let loss = self.losses.entry((kind, cause.to_owned())).or_default();
        loss.requests += 1;
        if loss.first_id.is_empty() {
            loss.first_id = id.to_owned();
        }
    }

    fn print(&self) {
        println!("{} generations begun, {} whole", self.begun, self.whole);
        let mut rows: Vec<_> = self.losses.iter().collect();
        rows.sort_by_key(|(_, loss)| std::cmp::Reverse(loss.requests));
        for ((kind, cause), loss) in rows {
            let count = loss.requests;
            println!("{count:>7}  {kind:<10}  {cause} (first: {})", loss.first_id);
        }
    }
}

/// Why a box answered a request itself.
fn own_cause(line: &Fields) -> String {
    let status = line.get("status").and_then(Value::as_u64).unwrap_or(0);
    format!("answered {status} by the box: {}", text(line, "why"))
}

/// Why a plain call failed: by its target's own answer, or by the box's.
fn call_cause(line: &Fields) -> String {
    let status = line.get("status").and_then(Value::as_u64).unwrap_or(0);
    match text(line, "why") {
        "" => format!("failed by its target, {status}"),
        _ => own_cause(line),
    }
}
