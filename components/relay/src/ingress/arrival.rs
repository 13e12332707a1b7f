//! When a request arrived.

/// The time at which a request's first byte was read, here or at the box that relays the request, on the clock of this box. It
/// may lie before the start of this process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Arrival {
    at_ms: i64,
}

impl Arrival {
    /// A request that was received here at `received_ms`, `relayed_ms` after it had arrived at another box, or 0.
    pub(crate) fn new(received_ms: u64, relayed_ms: u64) -> Self {
        let at_ms = received_ms
            .cast_signed()
            .saturating_sub_unsigned(relayed_ms);
        Self { at_ms }
    }

    /// The time since the arrival, in ms.
    pub(crate) fn elapsed_ms(self, now_ms: u64) -> u64 {
        let elapsed_ms = now_ms.cast_signed().saturating_sub(self.at_ms);
        elapsed_ms.max(0).cast_unsigned()
    }

    /// The time `wait_ms` after the arrival; 0 if this process had not started by then.
    pub(crate) fn plus_ms(self, wait_ms: u64) -> u64 {
        wait_ms.saturating_add_signed(self.at_ms)
    }
}

#[cfg(test)]
#[path = "arrival_tests.rs"]
mod tests;
