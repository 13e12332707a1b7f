//! The rate limit of one target, from the answers of that target that any box had. Answers on different channels overtake each
//! other, so each is known by the span of time in which the target can have made it: after its request was sent, and
//! before it was read.

/// A target that takes less is still sent a request now and then: only an answer ends a limit.
const RATE_MIN_PER_S: f64 = 0.25;
/// For how long boxes come back by steps once a limit has ended.
const RAMP_MS: u64 = 2_000;
/// How long the rate takes to double meanwhile.
const RAMP_DOUBLES_MS: f64 = 250.0;

/// Words that are kept of a target; beyond that the two highest limits count as the lower of them.
const LATEST_MAX: usize = 4;

/// What one answer says of the limit of its target.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RateObservation {
    /// Requests a second from all boxes together; none where the answer names no limit.
    pub limit_per_s: Option<f64>,
    /// When the answer was made, at the earliest.
    pub earliest_ms: u64,
    /// When it was made, at the latest.
    pub latest_ms: u64,
}

impl RateObservation {
    fn limit(&self) -> f64 {
        self.limit_per_s.unwrap_or(f64::INFINITY)
    }

    /// Takes another word in that may have been made later, and counts as saying the same.
    fn extend(&mut self, other: &Self) {
        self.earliest_ms = self.earliest_ms.max(other.earliest_ms);
        self.latest_ms = self.latest_ms.max(other.latest_ms);
    }
}

/// A limit that has ended.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Ended {
    at_ms: u64,
    limit_per_s: f64,
}

/// What is known of the limit of one life of a target.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct AnnouncedRate {
    /// Words of which each may be the last that was made, with different limits.
    latest: Vec<RateObservation>,
    /// The last word was made at this time, at the earliest.
    not_before_ms: u64,
    ended: Option<Ended>,
}

impl AnnouncedRate {
    /// Takes a word in. Where it cannot be told which of two was made last, the lower limit counts. Says whether the
    /// limit changed.
    pub fn observe(&mut self, word: RateObservation, now_ms: u64) -> bool {
        if word.latest_ms < self.not_before_ms {
            return false;
        }
        let before = self.limit_per_s();
        self.not_before_ms = self.not_before_ms.max(word.earliest_ms);
        let not_before_ms = self.not_before_ms;
        self.latest.retain(|known| known.latest_ms >= not_before_ms);
        self.insert(word);
        let after = self.limit_per_s();
        if let (Some(limit_per_s), None) = (before, after) {
            self.ended = Some(Ended {
                at_ms: now_ms,
                limit_per_s,
            });
        }
        before != after
    }

    fn insert(&mut self, word: RateObservation) {
        let like = |known: &&mut RateObservation| known.limit_per_s == word.limit_per_s;
        if let Some(known) = self.latest.iter_mut().find(like) {
            known.extend(&word);
            return;
        }
        self.latest.push(word);
        self.latest.sort_by(|a, b| a.limit().total_cmp(&b.limit()));
        if self.latest.len() > LATEST_MAX
            && let Some(highest) = self.latest.pop()
            && let Some(next) = self.latest.last_mut()
        {
            next.extend(&highest);
        }
    }

    /// The word that counts; none before any answer.
    pub fn effective(&self) -> Option<RateObservation> {
        let lowest = |a: &&RateObservation, b: &&RateObservation| a.limit().total_cmp(&b.limit());
        self.latest.iter().min_by(lowest).copied()
    }

    fn limit_per_s(&self) -> Option<f64> {
        self.effective()?.limit_per_s
    }

    /// Whether a limit is named.
    pub fn is_limited(&self) -> bool {
        self.limit_per_s().is_some()
    }

    /// Requests a second that all boxes together may send now; none where there is no limit.
    pub fn rate_per_s(&self, now_ms: u64) -> Option<f64> {
        let named = self.limit_per_s();
        let rate_per_s = named.or_else(|| self.ramp_per_s(now_ms))?;
        Some(rate_per_s.max(RATE_MIN_PER_S))
    }

    fn ramp_per_s(&self, now_ms: u64) -> Option<f64> {
        let ended = self.ended?;
        let passed_ms = now_ms.saturating_sub(ended.at_ms);
        let doublings = passed_ms as f64 / RAMP_DOUBLES_MS;
        let from_per_s = ended.limit_per_s.max(RATE_MIN_PER_S);
        (passed_ms < RAMP_MS).then(|| from_per_s * doublings.exp2())
    }
}

#[cfg(test)]
#[path = "announced_tests.rs"]
mod tests;
