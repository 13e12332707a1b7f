//! Lines that one place in the code writes again and again are sampled; those that name a request never are.

use slog::{Drain, KV, Key, Never, OwnedKVList, Record, Serializer, b, record};
use std::collections::HashMap;
use std::fmt;
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

/// Lines of one place that are written in one second: a fleet of some 80 boxes that lose each other at once fills
/// a page, and no more.
pub const LINES_A_SECOND: u32 = 20;
const SECOND: Duration = Duration::from_secs(1);
/// The field that names a request.
const REQUEST_FIELD: &str = "id";

/// A place in the code: file and line.
type Place = (&'static str, u32);

#[derive(Debug)]
struct Written {
    since: Instant,
    lines: u32,
    left_out: u64,
}

/// A drain that samples what repeats.
pub struct Sampled<D> {
    drain: D,
    places: Mutex<HashMap<Place, Written>>,
}

enum Act {
    Write,
    /// Write it, and say how many were left out before it.
    WriteAfter(u64),
    LeaveOut,
}

impl<D> Sampled<D> {
    /// Samples what goes to `drain`.
    pub fn new(drain: D) -> Self {
        Self {
            drain,
            places: Mutex::default(),
        }
    }

    fn act(&self, place: Place, now: Instant) -> Act {
        let mut places = self.places.lock().unwrap_or_else(PoisonError::into_inner);
        let written = places.entry(place).or_insert(Written {
            since: now,
            lines: 0,
            left_out: 0,
        });
        if now.duration_since(written.since) >= SECOND {
            written.since = now;
            written.lines = 0;
        }
        if written.lines >= LINES_A_SECOND {
            written.left_out += 1;
            return Act::LeaveOut;
        }
        written.lines += 1;
        match std::mem::take(&mut written.left_out) {
            0 => Act::Write,
            left_out => Act::WriteAfter(left_out),
        }
    }
}

impl<D> Drain for Sampled<D>
where
    D: Drain<Ok = (), Err = Never>,
{
    type Ok = ();
    type Err = Never;

    fn log(&self, line: &Record<'_>, values: &OwnedKVList) -> Result<(), Never> {
        if names_request(line) {
            return self.drain.log(line, values);
        }
        match self.act((line.file(), line.line()), Instant::now()) {
            Act::Write => self.drain.log(line, values),
            Act::WriteAfter(left_out) => {
                let message = format_args!("repeated log lines left out");
                let like = line.msg().to_string();
                let kv = b!("lines" => left_out, "like" => like);
                let note = record!(slog::Level::Info, "", &message, kv);
                self.drain.log(&note, values)?;
                self.drain.log(line, values)
            }
            Act::LeaveOut => {
                metrics::counter!("shuntpier_log_lines_left_out", "why" => "repeated").increment(1);
                Ok(())
            }
        }
    }
}

/// Looks for the field that names a request.
struct Looks(bool);

impl Serializer for Looks {
    fn emit_arguments(&mut self, key: Key, _: &fmt::Arguments<'_>) -> slog::Result {
        self.0 |= key == REQUEST_FIELD;
        Ok(())
    }

    fn emit_str(&mut self, key: Key, _: &str) -> slog::Result {
        self.0 |= key == REQUEST_FIELD;
        Ok(())
    }
}

fn names_request(line: &Record<'_>) -> bool {
    let mut looks = Looks(false);
    // The looker never fails; a field that cannot be written names no request.
    let _ = line.kv().serialize(line, &mut looks);
    looks.0
}
