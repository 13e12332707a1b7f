//! When a box that hears of a newer list of targets than it has asks for what it lacks.

use prelude::Version;

/// What this box was found to lack.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Lacking;

impl Lacking {
    /// Whether to ask now, where another box has changes up to `told` and this one up to `own`.
    pub fn is_due(&mut self, own: Version, told: Version, now_ms: u64) -> bool {
        let _ = now_ms;
        own < told
    }
}

#[cfg(test)]
#[path = "lacking_tests.rs"]
mod tests;
