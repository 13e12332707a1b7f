//! The engine's scheduler: continuous batching with chunked prefill, and preemption by recompute of
//! the sequence of lowest priority that came last, as vLLM does it.

use super::prefixes::Prefixes;
use super::server::EngineSettings;
use std::collections::VecDeque;

/// One request inside the engine.
#[derive(Debug)]
pub(super) struct Sequence {
    pub generation: String,
    pub priority: i64,
    pub arrival: u64,
    pub prompt_tokens: u32,
    pub prefix: Option<(u64, u32)>,
    pub output_tokens: u32,
    pub generated: u32,
    pub prefill_left: u32,
}

impl Sequence {
    fn held_tokens(&self) -> u64 {
        u64::from(self.prompt_tokens) + u64::from(self.generated)
    }
}

/// A token that a step made.
pub(super) struct MadeToken {
    pub generation: String,
    pub finished: bool,
}

/// The running and the waiting sequences.
#[derive(Default)]
pub(super) struct Core {
    pub running: Vec<Sequence>,
    pub waiting: VecDeque<Sequence>,
    pub prefixes: Prefixes,
    pub preemptions: u64,
    /// Memory taken by load that no request stands for.
    pub foreign_tokens: u64,
    arrivals: u64,
}

impl Core {
    pub fn add(&mut self, mut sequence: Sequence) {
        self.arrivals += 1;
        sequence.arrival = self.arrivals;
        self.enqueue(sequence);
    }

    /// Puts a sequence into the waiting queue by priority, then by arrival.
    fn enqueue(&mut self, sequence: Sequence) {
        let rank = (sequence.priority, sequence.arrival);
        let at = self
            .waiting
            .partition_point(|other| (other.priority, other.arrival) < rank);
        self.waiting.insert(at, sequence);
    }

    pub fn remove(&mut self, generation: &str) {
        self.running
            .retain(|sequence| sequence.generation != generation);
        self.waiting
            .retain(|sequence| sequence.generation != generation);
    }

    pub fn used_tokens(&self) -> u64 {
        let held: u64 = self.running.iter().map(Sequence::held_tokens).sum();
        held + self.foreign_tokens
    }

    /// Runs one step: makes room, prefills, decodes. Returns the tokens made and how long the step
    /// takes in microseconds; none where there is nothing to do.
    pub fn step(
        &mut self,
        settings: &EngineSettings,
        now_ms: u64,
    ) -> Option<(Vec<MadeToken>, u64)> {
        self.make_room(settings);
        self.admit(settings, now_ms);
        if self.running.is_empty() {
            return None;
        }
        let prefilled = self.prefill(settings, now_ms);
        let made = self.decode();
        let time_us = settings.step_base_us
            + settings.step_per_stream_us * made.len() as u64
            + settings.prefill_ns_per_token * prefilled / 1000;
        Some((made, time_us))
    }

    /// Preempts until every decoding sequence can hold one token more.
    fn make_room(&mut self, settings: &EngineSettings) {
        loop {
            let growing = self.running.iter().filter(|s| s.prefill_left == 0).count() as u64;
            if self.used_tokens() + growing <= settings.kv_capacity_tokens {
                return;
            }
            let victim = (0..self.running.len())
                .max_by_key(|&at| (self.running[at].priority, self.running[at].arrival));
            let Some(victim) = victim else { return };
            let mut sequence = self.running.swap_remove(victim);
            sequence.prefill_left = sequence.prompt_tokens + sequence.generated;
            self.preemptions += 1;
            self.enqueue(sequence);
        }
    }

    fn admit(&mut self, settings: &EngineSettings, now_ms: u64) {
        while let Some(next) = self.waiting.front() {
            let need = next.held_tokens() + 1;
            let full =
                self.used_tokens() + need + self.running.len() as u64 > settings.kv_capacity_tokens;
            if full || self.running.len() >= settings.max_running as usize {
                break;
            }
            let Some(mut sequence) = self.waiting.pop_front() else {
                break;
            };
            if let Some((hash, tokens)) = sequence.prefix
                && self.prefixes.touch(hash)
            {
                sequence.prefill_left = sequence.prefill_left.saturating_sub(tokens).max(1);
            }
            self.running.push(sequence);
        }
        let free = settings
            .kv_capacity_tokens
            .saturating_sub(self.used_tokens());
        self.prefixes.shrink(free, now_ms);
    }

    /// Works off prompts, oldest first, up to the step's budget.
    fn prefill(&mut self, settings: &EngineSettings, now_ms: u64) -> u64 {
        let mut budget = settings.prefill_chunk_tokens;
        for sequence in self.running.iter_mut().filter(|s| s.prefill_left > 0) {
            let part = sequence.prefill_left.min(budget);
            sequence.prefill_left -= part;
            budget -= part;
            if sequence.prefill_left == 0
                && let Some((hash, tokens)) = sequence.prefix
            {
                self.prefixes.store(hash, tokens, now_ms);
            }
            if budget == 0 {
                break;
            }
        }
        u64::from(settings.prefill_chunk_tokens - budget)
    }

    fn decode(&mut self) -> Vec<MadeToken> {
        let mut made = Vec::with_capacity(self.running.len());
        for sequence in self.running.iter_mut().filter(|s| s.prefill_left == 0) {
            sequence.generated += 1;
            made.push(MadeToken {
                generation: sequence.generation.clone(),
                finished: sequence.generated >= sequence.output_tokens,
            });
        }
        self.running.retain(|s| s.generated < s.output_tokens);
        made
    }
}

#[cfg(test)]
#[path = "core_tests.rs"]
mod tests;
