//! Probation of engines that break off a request before its first event: they get no new requests until they answer a probe.
//! An engine that fails every request at once has the lowest load, and would otherwise attract all new requests.

/// Duration of the probation after a first failure. It doubles with each further failure.
const PROBATION_MS: u64 = 300;
/// Longest probation.
const PROBATION_MAX_MS: u64 = 4_800;
/// The failure count restarts when the last failure is older than this. An engine that flaps fails again within seconds.
const FAILURE_MEMORY_MS: u64 = 8_000;
/// Probes start this long before the probation ends, so that the answer reflects the engine's state at the end.
const PROBE_LEAD_MS: u64 = 300;
/// An engine that answers no probe leaves probation after this additional time: the path from the probing box may be what
/// fails.
const UNPROBED_EXTRA_MS: u64 = 3_000;
/// An engine that produced an event for another caller within this time is alive: the progress of each running generation
/// is reported every second.
const EVENT_WINDOW_MS: u64 = 1_500;
/// Same window for first events: an engine that continues its generations and starts no new ones is not healthy. Prompts
/// are prefilled one after another, and even the longest takes less than this.
const FIRST_EVENT_WINDOW_MS: u64 = 3_000;
/// Events that arrive within this time after a failure may have been sent before it.
const IN_FLIGHT_MS: u64 = 200;

/// Recent failures and events of one engine, as all boxes report them to its pool's dispatcher.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Probation {
    failures: u32,
    last_failure_ms: u64,
    ends_ms: u64,
    probe_answered: bool,
    /// Time of the last event.
    last_event_ms: Option<u64>,
    /// Time of the last first event of a generation.
    last_first_event_ms: Option<u64>,
}

impl Probation {
    /// Records a failed request. Failures during one probation count once.
    pub fn record_failure(&mut self, now_ms: u64) {
        if self.failures > 0 && now_ms > self.last_failure_ms + FAILURE_MEMORY_MS {
            self.failures = 0;
        }
        if self.failures == 0 || now_ms >= self.ends_ms {
            self.failures = self.failures.saturating_add(1);
        }
        let doublings = self.failures.saturating_sub(1).min(8);
        self.last_failure_ms = now_ms;
        self.ends_ms = now_ms + (PROBATION_MS << doublings).min(PROBATION_MAX_MS);
        self.probe_answered = false;
    }

    /// Records that one caller received nothing for a long time. This is a failure only if the engine produces nothing for
    /// other callers either: an engine that prefills many prompts is silent for long, and putting it on probation would
    /// overload the other engines in turn.
    ///
    /// Returns whether it counts as a failure.
    pub fn record_silence(&mut self, now_ms: u64) -> bool {
        let within = |at_ms: Option<u64>, ms| at_ms.is_some_and(|at_ms| now_ms < at_ms + ms);
        if within(self.last_event_ms, EVENT_WINDOW_MS)
            && within(self.last_first_event_ms, FIRST_EVENT_WINDOW_MS)
        {
            return false;
        }
        self.record_failure(now_ms);
        true
    }

    /// Records an answer to a probe. It counts only while a probe is due.
    pub fn record_probe_answer(&mut self, now_ms: u64) {
        self.probe_answered |= self.needs_probe(now_ms);
    }

    /// Records an event of a generation; `is_first` marks the first one. It ends the probation after a single failure, but not
    /// after repeated ones.
    pub fn record_event(&mut self, is_first: bool, now_ms: u64) {
        self.last_event_ms = Some(now_ms);
        if is_first {
            self.last_first_event_ms = Some(now_ms);
        }
        if self.failures == 1 && now_ms > self.last_failure_ms + IN_FLIGHT_MS {
            self.ends_ms = now_ms;
            self.probe_answered = true;
        }
    }

    /// Whether the engine is on probation and gets no new requests.
    pub fn is_on(&self, now_ms: u64) -> bool {
        let awaits_probe = !self.probe_answered && now_ms < self.ends_ms + UNPROBED_EXTRA_MS;
        self.failures > 0 && (now_ms < self.ends_ms || awaits_probe)
    }

    /// Whether a probe is due.
    pub fn needs_probe(&self, now_ms: u64) -> bool {
        self.is_on(now_ms) && !self.probe_answered && now_ms + PROBE_LEAD_MS >= self.ends_ms
    }
}

#[cfg(test)]
#[path = "probation_tests.rs"]
mod tests;
