//! Targets whose connections are refused while the store lists them. Only this box's own connections count, and a target is
//! probed until it accepts one: a refusal shows that nothing listens at the address now, not that the target has ended.

use std::collections::HashMap;
use std::hash::Hash;

/// Time until a target whose connection was refused is probed. It doubles with each further refusal.
const PROBE_AFTER_MS: u64 = 250;
/// Longest time between two probes.
const PROBE_AFTER_MAX_MS: u64 = 2_000;

#[derive(Clone, Copy, Debug)]
struct Refusals {
    count: u32,
    since_ms: u64,
    probe_at_ms: u64,
    is_reported: bool,
}

/// The targets whose last connection from this box was refused.
#[derive(Clone, Debug)]
pub struct RefusedConnections<K>(HashMap<K, Refusals>);

impl<K> Default for RefusedConnections<K> {
    fn default() -> Self {
        Self(HashMap::new())
    }
}

impl<K: Copy + Eq + Hash> RefusedConnections<K> {
    /// Records a refused connection. Returns whether the target accepted connections before.
    pub fn record_refusal(&mut self, target: K, now_ms: u64) -> bool {
        let is_new = !self.0.contains_key(&target);
        let refusals = self.0.entry(target).or_insert(Refusals {
            count: 0,
            since_ms: now_ms,
            probe_at_ms: now_ms,
            is_reported: false,
        });
        // Refusals of concurrent requests count once.
        if now_ms >= refusals.probe_at_ms {
            let after_ms = (PROBE_AFTER_MS << refusals.count.min(8)).min(PROBE_AFTER_MAX_MS);
            refusals.count = refusals.count.saturating_add(1);
            refusals.probe_at_ms = now_ms + after_ms;
        }
        is_new
    }

    /// Removes a target: it accepted a connection, or it is no longer listed. Returns whether it was refusing them.
    pub fn remove(&mut self, target: K) -> bool {
        self.0.remove(&target).is_some()
    }

    /// The targets that are due for a probe.
    pub fn due(&self, now_ms: u64) -> Vec<K> {
        let due = self
            .0
            .iter()
            .filter(|(_, refusals)| now_ms >= refusals.probe_at_ms);
        due.map(|(target, _)| *target).collect()
    }

    /// The targets that have refused connections for at least `min_ms`, and for how long (ms). Each is returned once.
    pub fn take_lasting(&mut self, min_ms: u64, now_ms: u64) -> Vec<(K, u64)> {
        let mut lasting = Vec::new();
        for (target, refusals) in &mut self.0 {
            let lasted_ms = now_ms - refusals.since_ms;
            if lasted_ms >= min_ms && !refusals.is_reported {
                refusals.is_reported = true;
                lasting.push((*target, lasted_ms));
            }
        }
        lasting
    }

    /// All targets that refuse connections.
    pub fn all(&self) -> Vec<K> {
        self.0.keys().copied().collect()
    }

    /// Whether no target refuses connections.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}

#[cfg(test)]
#[path = "refusals_tests.rs"]
mod tests;
