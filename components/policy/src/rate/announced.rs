//! Rate limit of one target, derived from the answers that all boxes receive from it. Answers on different channels can overtake
//! each other, so each observation carries the time range in which the target produced the answer: after the request was sent
//! and before the answer was read.

/// Lower limits are raised to this, because only an answer to a request can end a limit.
const RATE_MIN_PER_S: f64 = 0.25;
/// Duration of the ramp-up after a limit has ended.
const RAMP_MS: u64 = 2_000;
/// Time in which the rate doubles during the ramp-up.
const RAMP_DOUBLING_MS: f64 = 250.0;

/// Observations kept for each target. If there are more, the two with the highest limits are merged into the lower limit.
const CANDIDATES_MAX: usize = 4;

/// What one answer says about the rate limit of its target.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RateObservation {
    /// Requests per second from all boxes together; none if the answer announces no limit.
    pub limit_per_s: Option<f64>,
    /// Earliest time at which the target can have produced the answer; negative before the clock began.
    pub earliest_ms: i64,
    /// Latest time at which the target can have produced the answer.
    pub latest_ms: i64,
}

impl RateObservation {
    fn limit(&self) -> f64 {
        self.limit_per_s.unwrap_or(f64::INFINITY)
    }

    /// Merges an observation that may be newer and counts as the same limit.
    fn merge(&mut self, other: &Self) {
        self.earliest_ms = self.earliest_ms.max(other.earliest_ms);
        self.latest_ms = self.latest_ms.max(other.latest_ms);
    }
}

/// A limit that has ended, and when.
#[derive(Clone, Copy, Debug, PartialEq)]
struct EndedLimit {
    at_ms: u64,
    limit_per_s: f64,
}

/// Rate limit of one incarnation of a target.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct AnnouncedRate {
    /// Observations with different limits, each of which may be the newest.
    candidates: Vec<RateObservation>,
    /// Earliest possible time of the newest observation; none before the first.
    not_before_ms: Option<i64>,
    ended: Option<EndedLimit>,
}

impl AnnouncedRate {
    /// Applies an observation. If the order of two observations is unknown, the lower limit is in effect. Returns whether the
    /// limit changed.
    pub fn observe(&mut self, observation: RateObservation, now_ms: u64) -> bool {
        if Some(observation.latest_ms) < self.not_before_ms {
            return false;
        }
        let before = self.limit_per_s();
        self.not_before_ms = self.not_before_ms.max(Some(observation.earliest_ms));
        let not_before_ms = self.not_before_ms;
        self.candidates
            .retain(|known| Some(known.latest_ms) >= not_before_ms);
        self.insert(observation);
        let after = self.limit_per_s();
        if let (Some(limit_per_s), None) = (before, after) {
            self.ended = Some(EndedLimit {
                at_ms: now_ms,
                limit_per_s,
            });
        }
        before != after
    }

    fn insert(&mut self, observation: RateObservation) {
        let has_same_limit =
            |known: &&mut RateObservation| known.limit_per_s == observation.limit_per_s;
        if let Some(known) = self.candidates.iter_mut().find(has_same_limit) {
            known.merge(&observation);
            return;
        }
        self.candidates.push(observation);
        self.candidates
            .sort_by(|a, b| a.limit().total_cmp(&b.limit()));
        if self.candidates.len() > CANDIDATES_MAX
            && let Some(highest) = self.candidates.pop()
            && let Some(next) = self.candidates.last_mut()
        {
            next.merge(&highest);
        }
    }

    /// The observation in effect; none before the first answer.
    pub fn effective(&self) -> Option<RateObservation> {
        let lowest = |a: &&RateObservation, b: &&RateObservation| a.limit().total_cmp(&b.limit());
        self.candidates.iter().min_by(lowest).copied()
    }

    fn limit_per_s(&self) -> Option<f64> {
        self.effective()?.limit_per_s
    }

    /// Whether a limit is in effect.
    pub fn is_limited(&self) -> bool {
        self.limit_per_s().is_some()
    }

    /// Requests per second that all boxes together may send now; none without a limit. After a limit has ended, the rate ramps
    /// up from it.
    pub fn rate_per_s(&self, now_ms: u64) -> Option<f64> {
        let announced = self.limit_per_s();
        let rate_per_s = announced.or_else(|| self.ramp_per_s(now_ms))?;
        Some(rate_per_s.max(RATE_MIN_PER_S))
    }

    fn ramp_per_s(&self, now_ms: u64) -> Option<f64> {
        let ended = self.ended?;
        let elapsed_ms = now_ms.saturating_sub(ended.at_ms);
        let doublings = elapsed_ms as f64 / RAMP_DOUBLING_MS;
        let start_per_s = ended.limit_per_s.max(RATE_MIN_PER_S);
        (elapsed_ms < RAMP_MS).then(|| start_per_s * doublings.exp2())
    }
}

#[cfg(test)]
#[path = "announced_tests.rs"]
mod tests;
