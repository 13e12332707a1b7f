//! Forecast of an engine's pending prefill. An engine prefills prompts one at a time in order of
//! arrival at a nearly constant rate, so a burst of prompts can queue on engines with plenty of
//! free memory. The pending prompts and the observed prefill rate give the first-token time of one
//! more prompt.
//!
//! This handles uneven load where prompts meet on one engine while others are idle, bursts of long
//! prompts, and engines that are slow, cold or stalled.

use crate::placement::ledger::StreamKey;
use std::collections::VecDeque;

/// Initial rate in tokens per millisecond: low, so that a new pool does not pile prompts on one
/// engine.
const RATE_INITIAL_TOKENS_PER_MS: f64 = 5.0;
/// Minimum weight of an observation in the pool's rate: averages over about fifty prompts, less
/// than a second of a busy pool.
const POOL_WEIGHT_MIN: f64 = 0.02;
/// Weight of an observation in an engine's relative rate: averages over three or four prompts, one
/// to two seconds of a busy engine.
const ENGINE_WEIGHT: f64 = 0.25;
/// Maximum factor between an observation and the pool's rate. Cached prompt prefixes need almost no
/// time and late reports make a prompt look slow; neither reflects the engine's rate.
const RATE_FACTOR_MAX: f64 = 4.0;
/// Shorter prompts finish within a step or two and say little about the rate.
const PROMPT_TOKENS_MIN: u32 = 256;

/// The prefill rate of a pool's engines, estimated from first tokens.
#[derive(Clone, Copy, Debug)]
pub struct PrefillRate {
    tokens_per_ms: f64,
    observations: f64,
}

impl Default for PrefillRate {
    fn default() -> Self {
        Self {
            tokens_per_ms: RATE_INITIAL_TOKENS_PER_MS,
            observations: 0.0,
        }
    }
}

impl PrefillRate {
    /// Tokens per millisecond.
    pub fn tokens_per_ms(&self) -> f64 {
        self.tokens_per_ms
    }

    /// Number of first tokens that the rate was measured from.
    pub fn observations(&self) -> f64 {
        self.observations
    }

    fn observe(&mut self, tokens_per_ms: f64) {
        self.observations += 1.0;
        let weight = self.observations.recip().max(POOL_WEIGHT_MIN);
        self.tokens_per_ms += weight * (tokens_per_ms - self.tokens_per_ms);
    }
}

#[derive(Clone, Copy, Debug)]
struct Prompt {
    key: StreamKey,
    tokens: u32,
}

/// Prompts whose prefill is pending on one engine.
#[derive(Clone, Debug, Default)]
pub struct PrefillQueue {
    prompts: VecDeque<Prompt>,
    /// The earliest time at which the engine started on the first prompt.
    started_ms: u64,
    /// The engine's rate relative to the pool's; `None` before the first observation.
    relative_rate: Option<f64>,
}

impl PrefillQueue {
    /// Records that a prompt was sent to the engine.
    pub fn push(&mut self, key: StreamKey, tokens: u32, now_ms: u64) {
        if self.prompts.is_empty() {
            self.started_ms = now_ms;
        }
        self.prompts.push_back(Prompt { key, tokens });
    }

    /// Records the first token of a prompt and updates the rate.
    pub fn record_first_token(&mut self, key: StreamKey, now_ms: u64, pool: &mut PrefillRate) {
        let Some(index) = self.prompts.iter().position(|prompt| prompt.key == key) else {
            return;
        };
        let tokens = self.prompts[index].tokens;
        let elapsed_ms = now_ms.saturating_sub(self.started_ms);
        if index == 0 && elapsed_ms > 0 && tokens >= PROMPT_TOKENS_MIN {
            self.observe(f64::from(tokens) / elapsed_ms as f64, pool);
        }
        self.prompts.remove(index);
        self.started_ms = now_ms;
    }

    fn observe(&mut self, tokens_per_ms: f64, pool: &mut PrefillRate) {
        let baseline = pool.tokens_per_ms();
        let observed = match pool.observations > 0.0 {
            true => tokens_per_ms.clamp(baseline / RATE_FACTOR_MAX, baseline * RATE_FACTOR_MAX),
            false => tokens_per_ms,
        };
        pool.observe(observed);
        let relative = observed / pool.tokens_per_ms();
        let previous = self.relative_rate.unwrap_or(1.0);
        self.relative_rate = Some(previous + ENGINE_WEIGHT * (relative - previous));
    }

    /// Removes a stream that left the engine or ended.
    pub fn remove(&mut self, key: StreamKey, now_ms: u64) {
        let first = self.prompts.front().map(|prompt| prompt.key);
        self.prompts.retain(|prompt| prompt.key != key);
        if first == Some(key) {
            self.started_ms = now_ms;
        }
    }

    /// Whether no prefill is pending.
    pub fn is_idle(&self) -> bool {
        self.prompts.is_empty()
    }

    /// Pending prompt tokens. A partly processed prompt counts in full.
    pub fn pending_tokens(&self) -> u64 {
        let tokens = self.prompts.iter().map(|prompt| u64::from(prompt.tokens));
        tokens.sum()
    }

    /// The engine's prefill rate in tokens per millisecond.
    pub fn tokens_per_ms(&self, pool: &PrefillRate) -> f64 {
        pool.tokens_per_ms() * self.relative_rate.unwrap_or(1.0)
    }

    /// Expected time until the pending prefill is done, in milliseconds. An overdue prompt is
    /// expected to take as long again as it is overdue, so the estimate for a stalled engine keeps
    /// growing.
    pub fn remaining_ms(&self, pool: &PrefillRate, now_ms: u64) -> f64 {
        let Some(first) = self.prompts.front() else {
            return 0.0;
        };
        let rate = self.tokens_per_ms(pool);
        let elapsed_ms = now_ms.saturating_sub(self.started_ms) as f64;
        let first_ms = f64::from(first.tokens) / rate;
        let other_tokens = self.pending_tokens() - u64::from(first.tokens);
        (first_ms - elapsed_ms).abs() + other_tokens as f64 / rate
    }
}

#[cfg(test)]
#[path = "prefill_tests.rs"]
mod tests;
