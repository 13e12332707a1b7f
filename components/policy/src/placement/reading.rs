//! How long an engine will be reading prompts. An engine reads one prompt after another, in the order in which they
//! came, at a nearly steady rate: a burst of prompts then waits in engines that have all the memory they need. So the
//! prompts that are still to be read, and the rate at which each engine was seen to read, forecast when the first token
//! of one more would come.
//!
//! Load patterns that this answers: a calm wave on which prompts meet at one engine while others read nothing; bursts
//! of long prompts; engines that are slower than others, cold, or that stand still.

use crate::placement::ledger::StreamKey;
use std::collections::VecDeque;

/// Rate before any was observed, in tokens per millisecond: low, so that a pool that knows nothing does not gather
/// prompts at one engine.
const RATE_INITIAL: f64 = 5.0;
/// Least weight of one observation in the pool's rate: some fifty prompts, less than a second of a busy pool.
const POOL_WEIGHT_MIN: f64 = 0.02;
/// Weight of one observation in an engine's own rate: three or four prompts, one to two seconds of a busy engine.
const ENGINE_WEIGHT: f64 = 0.25;
/// How far one observation may lie from the pool's rate. Parts of prompts that an engine has kept read in no time, and
/// a report that comes late makes a prompt look slow: neither is the engine's rate.
const RATE_SPAN: f64 = 4.0;
/// Shorter prompts are read within a step or two, which says little of the rate.
const PROMPT_TOKENS_MIN: u32 = 256;

/// The rate at which the engines of a pool read, as their first tokens showed it.
#[derive(Clone, Copy, Debug)]
pub struct ReadingRate {
    tokens_per_ms: f64,
    observations: f64,
}

impl Default for ReadingRate {
    fn default() -> Self {
        Self {
            tokens_per_ms: RATE_INITIAL,
            observations: 0.0,
        }
    }
}

impl ReadingRate {
    /// Tokens per millisecond.
    pub fn tokens_per_ms(&self) -> f64 {
        self.tokens_per_ms
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

/// The prompts that one engine has still to read.
#[derive(Clone, Debug, Default)]
pub struct Reading {
    prompts: VecDeque<Prompt>,
    /// When the engine turned to the first of them, at the earliest.
    since_ms: u64,
    /// The engine's own rate relative to the pool's; none before it was observed.
    relative_rate: Option<f64>,
}

impl Reading {
    /// Notes that a prompt was sent to the engine.
    pub fn sent(&mut self, key: StreamKey, tokens: u32, now_ms: u64) {
        if self.prompts.is_empty() {
            self.since_ms = now_ms;
        }
        self.prompts.push_back(Prompt { key, tokens });
    }

    /// Notes that the first token of a prompt came, from which the rate is learnt.
    pub fn first_token(&mut self, key: StreamKey, now_ms: u64, pool: &mut ReadingRate) {
        let Some(at) = self.prompts.iter().position(|prompt| prompt.key == key) else {
            return;
        };
        let tokens = self.prompts[at].tokens;
        let elapsed_ms = now_ms.saturating_sub(self.since_ms);
        if at == 0 && elapsed_ms > 0 && tokens >= PROMPT_TOKENS_MIN {
            self.observe(f64::from(tokens) / elapsed_ms as f64, pool);
        }
        self.prompts.remove(at);
        self.since_ms = now_ms;
    }

    fn observe(&mut self, tokens_per_ms: f64, pool: &mut ReadingRate) {
        let usual = pool.tokens_per_ms();
        let observed = match pool.observations > 0.0 {
            true => tokens_per_ms.clamp(usual / RATE_SPAN, usual * RATE_SPAN),
            false => tokens_per_ms,
        };
        pool.observe(observed);
        let relative = observed / pool.tokens_per_ms();
        let known = self.relative_rate.unwrap_or(1.0);
        self.relative_rate = Some(known + ENGINE_WEIGHT * (relative - known));
    }

    /// Notes that a stream left the engine, or ended.
    pub fn left(&mut self, key: StreamKey, now_ms: u64) {
        let first = self.prompts.front().map(|prompt| prompt.key);
        self.prompts.retain(|prompt| prompt.key != key);
        if first == Some(key) {
            self.since_ms = now_ms;
        }
    }

    /// Whether nothing is left to be read.
    pub fn is_idle(&self) -> bool {
        self.prompts.is_empty()
    }

    /// Tokens that are left to be read, as they were sent.
    pub fn tokens(&self) -> u64 {
        let tokens = self.prompts.iter().map(|prompt| u64::from(prompt.tokens));
        tokens.sum()
    }

    /// The engine's rate in tokens per millisecond.
    pub fn rate(&self, pool: &ReadingRate) -> f64 {
        pool.tokens_per_ms() * self.relative_rate.unwrap_or(1.0)
    }

    /// Time until the engine has read what it was sent. A prompt that is overdue is expected to take as long again as
    /// it is overdue: an engine that stands still looks the longer the longer it does.
    pub fn left_ms(&self, pool: &ReadingRate, now_ms: u64) -> f64 {
        let Some(first) = self.prompts.front() else {
            return 0.0;
        };
        let rate = self.rate(pool);
        let elapsed_ms = now_ms.saturating_sub(self.since_ms) as f64;
        let first_ms = f64::from(first.tokens) / rate;
        let others = self.tokens() - u64::from(first.tokens);
        (first_ms - elapsed_ms).abs() + others as f64 / rate
    }
}

#[cfg(test)]
#[path = "reading_tests.rs"]
mod tests;
