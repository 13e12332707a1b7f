//! An engine that broke a request off before its first event takes nothing new until it has answered a
//! question. One that fails everything at once is the emptiest of all, and would draw all that comes.

/// How long an engine is on trial after its first failure; the time doubles with each further one.
const TRIAL_MS: u64 = 300;
/// The longest time.
const TRIAL_MAX_MS: u64 = 4_800;
/// Failures so long ago are forgotten. One that is down and up by turns fails again within some seconds.
const FORGET_MS: u64 = 8_000;
/// An engine is asked from so long before the end of its trial on, so that its answer is of that time.
const ASKED_BEFORE_MS: u64 = 300;
/// An engine that does not answer whoever asks is tried again after this much more: the path to it may be
/// what fails.
const UNANSWERED_MS: u64 = 3_000;
/// An engine that made events for others within this time is alive: each generation that runs is told of each second.
const ALIVE_MS: u64 = 1_500;
/// The same for first events: one that runs what it has and begins nothing new is not. Prompts are read one after another, the
/// longest within less.
const BEGINS_MS: u64 = 3_000;
/// Events that come so soon after a failure were under way before it.
const UNDER_WAY_MS: u64 = 200;

/// What one engine did lately, as its pool's dispatcher hears it from all boxes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Probation {
    failures: u32,
    failed_ms: u64,
    until_ms: u64,
    answered: bool,
    /// When it made an event last, and the first event of a generation.
    event_ms: Option<u64>,
    began_ms: Option<u64>,
}

impl Probation {
    /// Notes that the engine failed a request. Failures at one time count once.
    pub fn record_failure(&mut self, now_ms: u64) {
        if self.failures > 0 && now_ms > self.failed_ms + FORGET_MS {
            self.failures = 0;
        }
        if self.failures == 0 || now_ms >= self.until_ms {
            self.failures = self.failures.saturating_add(1);
        }
        let doublings = self.failures.saturating_sub(1).min(8);
        self.failed_ms = now_ms;
        self.until_ms = now_ms + (TRIAL_MS << doublings).min(TRIAL_MAX_MS);
        self.answered = false;
    }

    /// Notes that nothing came from it for a long time, to one caller. It is a failure where it makes nothing for others
    /// either: engines that read many prompts are silent for long, and without them the others would be the next.
    ///
    /// Returns whether it counts as one.
    pub fn record_silence(&mut self, now_ms: u64) -> bool {
        let within = |at_ms: Option<u64>, ms| at_ms.is_some_and(|at_ms| now_ms < at_ms + ms);
        if within(self.event_ms, ALIVE_MS) && within(self.began_ms, BEGINS_MS) {
            return false;
        }
        self.record_failure(now_ms);
        true
    }

    /// Notes that it answered a question.
    pub fn record_probe_answer(&mut self, now_ms: u64) {
        self.answered |= self.needs_probe(now_ms);
    }

    /// Notes that it made an event, the first of a generation or a later one. A first failure is over with it; one that has
    /// failed again serves its time.
    pub fn record_event(&mut self, is_first: bool, now_ms: u64) {
        self.event_ms = Some(now_ms);
        if is_first {
            self.began_ms = Some(now_ms);
        }
        if self.failures == 1 && now_ms > self.failed_ms + UNDER_WAY_MS {
            self.until_ms = now_ms;
            self.answered = true;
        }
    }

    /// Whether it takes nothing new now.
    pub fn is_on(&self, now_ms: u64) -> bool {
        let silent = !self.answered && now_ms < self.until_ms + UNANSWERED_MS;
        self.failures > 0 && (now_ms < self.until_ms || silent)
    }

    /// Whether it is to be asked.
    pub fn needs_probe(&self, now_ms: u64) -> bool {
        self.is_on(now_ms) && !self.answered && now_ms + ASKED_BEFORE_MS >= self.until_ms
    }
}

#[cfg(test)]
#[path = "probation_tests.rs"]
mod tests;
