//! The pauses between the events of one stream: how long the longest was, and where it passed.

/// Where a pause between two events passed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum PauseCause {
    /// At the engine, or on the way from it.
    Engine,
    /// The caller did not read, and there was no room for more.
    Caller,
    /// The generation moved to another engine.
    Move,
}

/// The pauses of one stream so far.
#[derive(Clone, Copy, Debug)]
pub(super) struct Pauses {
    longest_ms: u64,
    longest_cause: PauseCause,
    last_event_ms: Option<u64>,
    /// Where the time since the last event passes.
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

    /// Notes where the pause until the next event passes; at the engine, where nothing else is said.
    pub fn set_next_cause(&mut self, cause: PauseCause) {
        self.next_cause = cause;
    }

    /// Notes events that came at a time. Says how long the pause before them was and where it passed; nothing before the first.
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

    /// How long the longest was; 0 where there was none.
    pub fn longest_ms(&self) -> u64 {
        self.longest_ms
    }

    /// Where the longest passed.
    pub fn longest_cause(&self) -> PauseCause {
        self.longest_cause
    }
}

#[cfg(test)]
#[path = "pauses_tests.rs"]
mod tests;
