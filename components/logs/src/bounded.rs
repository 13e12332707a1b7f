//! Lines wait in a bounded channel for the thread that writes them. Where it is full they are dropped, counted,
//! and the count is written when there is room again.

use slog::{Drain, Never, OwnedKVList, Record, b, record};
use slog_async::{AsyncCore, AsyncError};
use std::sync::atomic::{AtomicU64, Ordering};

/// Lines that may wait.
const LINES_WAITING: usize = 4096;

/// A drain that never blocks.
pub struct Bounded {
    queue: AsyncCore,
    dropped: AtomicU64,
}

impl Bounded {
    /// Writes to `drain` in a thread of its own.
    pub fn new<D>(drain: D) -> Self
    where
        D: Drain<Ok = (), Err = Never> + Send + 'static,
    {
        let queue = AsyncCore::custom(drain)
            .chan_size(LINES_WAITING)
            .blocking(false);
        Self {
            queue: queue.build(),
            dropped: AtomicU64::new(0),
        }
    }

    fn note_dropped(&self, values: &OwnedKVList) {
        let dropped = self.dropped.swap(0, Ordering::Relaxed);
        if dropped == 0 {
            return;
        }
        let message = format_args!("log lines dropped");
        let kv = b!("lines" => dropped);
        let line = record!(slog::Level::Warning, "", &message, kv);
        if self.queue.log(&line, values).is_err() {
            self.dropped.fetch_add(dropped, Ordering::Relaxed);
        }
    }
}

impl Drain for Bounded {
    type Ok = ();
    type Err = Never;

    fn log(&self, line: &Record<'_>, values: &OwnedKVList) -> Result<(), Never> {
        match self.queue.log(line, values) {
            Ok(()) => self.note_dropped(values),
            Err(AsyncError::Full) => {
                self.dropped.fetch_add(1, Ordering::Relaxed);
                metrics::counter!("shuntpier_log_lines_left_out", "why" => "full").increment(1);
            }
            // The writer is gone: there is nobody left to tell.
            Err(_) => {}
        }
        Ok(())
    }
}
