//! Estimates how likely a generation is to finish in a given time. The estimate is learned from finished generations of
//! this box: the ratio of their length to the caller's guess, and their speed.

use std::collections::VecDeque;

/// Number of generations whose ratio is kept.
const REMEMBERED_MAX: usize = 96;
/// Prior ratios of length to guess, used until generations are observed: guesses are right in the median, and often far
/// off.
const RATIOS_INITIAL: [f64; 8] = [0.2, 0.4, 0.65, 0.85, 1.15, 1.5, 2.4, 5.0];
/// Prior time to the first token, and per further token, in milliseconds.
const FIRST_TOKEN_INITIAL_MS: f64 = 500.0;
const TOKEN_INITIAL_MS: f64 = 9.0;
/// Share of the goal for which a generation waits even if its first token will be late anyway, as an engine may become
/// free at once.
const WAIT_FLOOR_SHARE: f64 = 0.1;
/// Weight of one generation in the moving averages of times.
const WEIGHT: f64 = 0.1;
/// Generations that are known at least before a time is taken for safe, and its multiple of the slowest of them.
const SAFE_SAMPLES_MIN: usize = 16;
const SAFE_FACTOR: f64 = 2.0;

/// A finished generation.
#[derive(Clone, Copy, Debug)]
pub(crate) struct CompletionSample {
    pub guess_tokens: Option<u32>,
    pub tokens: u32,
    pub first_token_ms: u64,
    pub total_ms: u64,
}

/// How fast one generation was.
#[derive(Clone, Copy, Debug)]
struct Pace {
    first_token_ms: f64,
    /// Time per further token.
    token_ms: f64,
    /// Time from the first token to the end.
    stream_ms: u64,
}

/// Ratios and times learned from finished generations.
#[derive(Clone, Debug)]
pub(crate) struct CompletionEstimator {
    ratios: VecDeque<f64>,
    first_token_ms: f64,
    token_ms: f64,
    /// Recent generations of more than one token.
    recent: VecDeque<Pace>,
}

impl Default for CompletionEstimator {
    fn default() -> Self {
        Self {
            ratios: RATIOS_INITIAL.into(),
            first_token_ms: FIRST_TOKEN_INITIAL_MS,
            token_ms: TOKEN_INITIAL_MS,
            recent: VecDeque::new(),
        }
    }
}

impl CompletionEstimator {
    /// Adds a generation that finished by itself.
    pub(crate) fn record(&mut self, sample: CompletionSample) {
        self.first_token_ms += WEIGHT * (sample.first_token_ms as f64 - self.first_token_ms);
        if sample.tokens > 1 {
            let token_ms = sample.total_ms.saturating_sub(sample.first_token_ms) as f64
                / f64::from(sample.tokens - 1);
            // Short answers carry little information on the pace.
            let weight = WEIGHT * (f64::from(sample.tokens) / 256.0).min(1.0);
            self.token_ms += weight * (token_ms - self.token_ms);
            if self.recent.len() >= REMEMBERED_MAX {
                self.recent.pop_front();
            }
            self.recent.push_back(Pace {
                first_token_ms: sample.first_token_ms as f64,
                token_ms,
                stream_ms: sample.total_ms.saturating_sub(sample.first_token_ms),
            });
        }
        let Some(guess) = sample.guess_tokens else {
            return;
        };
        if self.ratios.len() >= REMEMBERED_MAX {
            self.ratios.pop_front();
        }
        self.ratios
            .push_back(f64::from(sample.tokens) / f64::from(guess.max(1)));
    }

    /// Returns how long a generation may wait for an engine before its first token misses the goal. The dispatcher refuses at
    /// once what would wait longer.
    pub(crate) fn max_wait_ms(&self, goal_ms: u64) -> u64 {
        let within_goal_ms = goal_ms.saturating_sub(self.first_token_ms as u64);
        within_goal_ms.max((goal_ms as f64 * WAIT_FLOOR_SHARE) as u64)
    }

    /// Returns the longest time per token, in milliseconds, of recent generations after their first token; 0 if none is known.
    pub(crate) fn slowest_token_ms(&self) -> f64 {
        let paces = self.recent.iter().map(|pace| pace.token_ms);
        paces.fold(0.0, f64::max)
    }

    /// Returns the median time, in milliseconds, that recent generations took from their first token on, which leaves out how
    /// long they waited; none if none is known.
    pub(crate) fn typical_stream_ms(&self) -> Option<u64> {
        let mut times: Vec<u64> = self.recent.iter().map(|pace| pace.stream_ms).collect();
        times.sort_unstable();
        times.get(times.len() / 2).copied()
    }

    /// Returns the time, in milliseconds, in which a generation finishes even if it is much slower than the slowest recent
    /// one; none while few are known.
    pub(crate) fn safe_duration_ms(&self, max_tokens: u32) -> Option<u64> {
        if self.recent.len() < SAFE_SAMPLES_MIN {
            return None;
        }
        let firsts = self.recent.iter().map(|pace| pace.first_token_ms);
        let first_ms = firsts.fold(0.0, f64::max);
        let rest_ms = f64::from(max_tokens) * self.slowest_token_ms();
        Some((SAFE_FACTOR * (first_ms + rest_ms)) as u64)
    }

    /// Returns the probability, between 0 and 1, that a generation finishes within `left_ms`.
    pub(crate) fn completion_probability(
        &self,
        guess_tokens: Option<u32>,
        max_tokens: u32,
        left_ms: u64,
    ) -> f64 {
        let tokens = (left_ms as f64 - self.first_token_ms) / self.token_ms;
        if tokens >= f64::from(max_tokens) {
            return 1.0;
        }
        let Some(guess) = guess_tokens else {
            return 0.0;
        };
        let ratio = tokens / f64::from(guess.max(1));
        let within = self
            .ratios
            .iter()
            .filter(|observed| **observed <= ratio)
            .count();
        within as f64 / self.ratios.len() as f64
    }
}

#[cfg(test)]
#[path = "completion_tests.rs"]
mod tests;
