//! Notices that a settings file has changed: at once when told so, and by a look each few seconds, as a file may change
//! without a word.

use crate::live::{Change, Live, Offer};
use prelude::unix_ms;
use settings::{LineMistake, LiveSettings};
use slog::Logger;
use std::io;
use std::path::{Path, PathBuf};
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::sleep;

/// How often the file is read. It is one kilobyte: three system calls, some 20 microseconds.
pub const LOOK_EACH: Duration = Duration::from_millis(2_000);
/// A text counts only once two reads so far apart gave the same: whoever writes the file may be in the middle of it.
const SETTLED_AFTER: Duration = Duration::from_millis(150);
/// Reads after which a file that changes all the time is left to the next look.
const SETTLE_READS_MAX: usize = 8;

/// What was last found at the file's place.
#[derive(Debug)]
struct Seen {
    text: Vec<u8>,
    is_away: bool,
}

/// Follows a settings file for as long as the process lives. `hung_up` is notified where the file may have changed.
/// `text` is what the settings in force were read from.
pub async fn follow<T: LiveSettings>(
    live: &Live<T>,
    path: PathBuf,
    text: String,
    hung_up: &Notify,
    log: &Logger,
) {
    metrics::gauge!("shuntpier_settings_generation").set(live.load().generation as f64);
    let mut seen = Seen {
        text: text.into_bytes(),
        is_away: false,
    };
    loop {
        tokio::select! {
            () = sleep(LOOK_EACH) => {}
            () = hung_up.notified() => {}
        }
        if let Some(text) = look(&path, &mut seen, log).await {
            offer(live, &text, log);
        }
    }
}

/// The text of the file, where it is another one than was seen last.
async fn look(path: &Path, seen: &mut Seen, log: &Logger) -> Option<String> {
    let mut text = read(path, seen, log)?;
    if text == seen.text {
        return None;
    }
    for _ in 0..SETTLE_READS_MAX {
        sleep(SETTLED_AFTER).await;
        let again = read(path, seen, log)?;
        if again == text {
            seen.text.clone_from(&text);
            return Some(String::from_utf8_lossy(&text).into_owned());
        }
        text = again;
    }
    None
}

/// Reads the file; none where it cannot be read, which is said once.
fn read(path: &Path, seen: &mut Seen, log: &Logger) -> Option<Vec<u8>> {
    // One short read: a thread of its own would cost more than it.
    let text: io::Result<Vec<u8>> = std::fs::read(path);
    let was_away = std::mem::replace(&mut seen.is_away, text.is_err());
    match text {
        Ok(text) => {
            if was_away {
                slog::info!(log, "settings file is back"; "path" => %path.display());
            }
            Some(text)
        }
        Err(error) => {
            if !was_away {
                slog::warn!(log, "settings file cannot be read; the last settings stay in force";
                    "path" => %path.display(), "error" => %error);
            }
            None
        }
    }
}

fn offer<T: LiveSettings>(live: &Live<T>, text: &str, log: &Logger) {
    match live.offer(text) {
        Offer::Same => slog::info!(log, "settings file says what is in force";
            "generation" => live.load().generation),
        Offer::Taken(change) => note_taken(&change, log),
        Offer::Refused(mistakes) => note_refused(&mistakes, live.load().generation, log),
    }
}

fn note_taken(change: &Change, log: &Logger) {
    metrics::gauge!("shuntpier_settings_generation").set(change.generation as f64);
    slog::info!(log, "settings in force"; "generation" => change.generation,
        "before" => change.generation - 1, "changed" => change.changed.join(", "),
        "wait_for_restart" => change.waiting.join(", "));
}

fn note_refused(mistakes: &[LineMistake], generation: u64, log: &Logger) {
    metrics::counter!("shuntpier_settings_refused").increment(1);
    metrics::gauge!("shuntpier_settings_refused_at_unix_s").set((unix_ms() / 1_000) as f64);
    for mistake in mistakes {
        slog::error!(log, "settings file refused; the last settings stay in force";
            "generation" => generation, "line" => mistake.line, "mistake" => &mistake.message);
    }
}
