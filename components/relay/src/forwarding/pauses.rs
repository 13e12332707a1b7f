//! Measures the pauses between the events of one stream: the longest one and its cause.

/// What caused a pause between two events.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum PauseCause {
    /// The engine, or the network path from it.
    Engine,
    /// The caller did not read, and the buffer for it was full.
    Caller,
    /// The move of the generation to another engine.
    Move,
}

/// The pauses of one stream so far.
#[derive(Clone, Copy, Debug)]
pub(super) struct Pauses {
    longest_ms: u64,
    longest_cause: PauseCause,
    last_event_ms: Option<u64>,
    /// The cause of the pause that is in progress.
    next_cause: PauseCause,
}

impl Pauses {
    pub fn new() -> Self {
        Self {
            longest_ms: 0,
            longest_cause: PauseCause::Engine,
            last_event_ms: None,
            next_cause: PauseCause::Engine,
        }
    }

    /// Sets the cause of the pause before the next event. The default is the engine.
    pub fn set_next_cause(&mut self, cause: PauseCause) {
        self.next_cause = cause;
    }

    /// Records events that arrived at `now_ms`. Returns the length (ms) and cause of the pause before them; none for the
    /// first events.
    pub fn record_events(&mut self, now_ms: u64) -> Option<(u64, PauseCause)> {
        let last_event_ms = self.last_event_ms.replace(now_ms)?;
        let pause_ms = now_ms.saturating_sub(last_event_ms);
        let cause = std::mem::replace(&mut self.next_cause, PauseCause::Engine);
        if pause_ms > self.longest_ms {
            self.longest_ms = pause_ms;
            self.longest_cause = cause;
        }
        Some((pause_ms, cause))
    }

    /// Length (ms) of the longest pause; 0 if there was none.
    pub fn longest_ms(&self) -> u64 {
        self.longest_ms
    }

    /// Cause of the longest pause.
    pub fn longest_cause(&self) -> PauseCause {
        self.longest_cause
    }
}

#[cfg(test)]
#[path = "pauses_tests.rs"]
mod tests;
