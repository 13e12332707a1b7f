//! What this box has seen of generations that came to their end: how much longer they were than their callers
//! guessed, and how fast they came. It says how likely one is to end in a time.

use std::collections::VecDeque;

/// Generations that are remembered.
const REMEMBERED_MAX: usize = 96;
/// Ratios of length to guess that are taken for seen before any was: guesses are right in the median, and often
/// far off.
const RATIOS_INITIAL: [f64; 8] = [0.2, 0.4, 0.65, 0.85, 1.15, 1.5, 2.4, 5.0];
/// Time until the first token, and for each further one, before any was seen.
const FIRST_TOKEN_INITIAL_MS: f64 = 500.0;
const TOKEN_INITIAL_MS: f64 = 9.0;
/// Part of the goal for which a generation waits even where its first token will be late anyway: an engine may be
/// free at once.
const WAIT_FLOOR_SHARE: f64 = 0.1;
/// Weight of one generation in the mean times.
const WEIGHT: f64 = 0.1;

/// A generation that came to its end.
#[derive(Clone, Copy, Debug)]
pub(crate) struct CompletionSample {
    pub guess_tokens: Option<u32>,
    pub tokens: u32,
    pub first_token_ms: u64,
    pub total_ms: u64,
}

/// What was seen of generations that ended.
#[derive(Clone, Debug)]
pub(crate) struct CompletionEstimator {
    ratios: VecDeque<f64>,
    first_token_ms: f64,
    token_ms: f64,
}

impl Default for CompletionEstimator {
    fn default() -> Self {
        Self {
            ratios: RATIOS_INITIAL.into(),
            first_token_ms: FIRST_TOKEN_INITIAL_MS,
            token_ms: TOKEN_INITIAL_MS,
        }
    }
}

impl CompletionEstimator {
    /// Takes in a generation that came to its own end.
    pub(crate) fn record(&mut self, ended: CompletionSample) {
        self.first_token_ms += WEIGHT * (ended.first_token_ms as f64 - self.first_token_ms);
        if ended.tokens > 1 {
            let token_ms = ended.total_ms.saturating_sub(ended.first_token_ms) as f64
                / f64::from(ended.tokens - 1);
            // Short answers say little of the pace.
            let weight = WEIGHT * (f64::from(ended.tokens) / 256.0).min(1.0);
            self.token_ms += weight * (token_ms - self.token_ms);
        }
        let Some(guess) = ended.guess_tokens else {
            return;
        };
        if self.ratios.len() >= REMEMBERED_MAX {
            self.ratios.pop_front();
        }
        self.ratios
            .push_back(f64::from(ended.tokens) / f64::from(guess.max(1)));
    }

    /// How long a generation may wait for an engine: beyond that its first token would be late. What would wait
    /// longer is refused at once by the dispatcher.
    pub(crate) fn max_wait_ms(&self, goal_ms: u64) -> u64 {
        let in_goal_ms = goal_ms.saturating_sub(self.first_token_ms as u64);
        in_goal_ms.max((goal_ms as f64 * WAIT_FLOOR_SHARE) as u64)
    }

    /// How likely a generation ends within a time, between 0 and 1.
    pub(crate) fn completion_probability(
        &self,
        guess_tokens: Option<u32>,
        most_tokens: u32,
        left_ms: u64,
    ) -> f64 {
        let tokens = (left_ms as f64 - self.first_token_ms) / self.token_ms;
        if tokens >= f64::from(most_tokens) {
            return 1.0;
        }
        let Some(guess) = guess_tokens else {
            return 0.0;
        };
        let ratio = tokens / f64::from(guess.max(1));
        let within = self.ratios.iter().filter(|seen| **seen <= ratio).count();
        within as f64 / self.ratios.len() as f64
    }
}

#[cfg(test)]
#[path = "completion_tests.rs"]
mod tests;
