//! Simulation of prefill: when the prompts of waiting requests are processed, in the order of
//! service, by engines that each process one prompt after another.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// Prefill state of one engine.
#[derive(Clone, Copy, Debug)]
pub struct PrefillEngine {
    /// Time to finish the prompts sent to it.
    pub backlog_ms: f64,
    /// Prefill throughput.
    pub tokens_per_ms: f64,
}

/// Converts to microseconds, so that times can be ordered.
fn micros(ms: f64) -> u64 {
    (ms.max(0.0) * 1000.0) as u64
}

/// Simulated prefill queues of all engines.
#[derive(Clone, Debug)]
pub struct PrefillSimulation {
    tokens_per_ms_by_engine: Vec<f64>,
    idle_times: BinaryHeap<Reverse<(u64, usize)>>,
}

impl PrefillSimulation {
    /// Starts from the engines' current backlogs.
    pub fn new(engines: &[PrefillEngine]) -> Self {
        let indexed_engines = engines.iter().enumerate();
        Self {
            tokens_per_ms_by_engine: engines.iter().map(|engine| engine.tokens_per_ms).collect(),
            idle_times: indexed_engines
                .map(|(at, engine)| Reverse((micros(engine.backlog_ms), at)))
                .collect(),
        }
    }

    /// Returns the prefill throughput of all engines together.
    pub fn tokens_per_ms(&self) -> f64 {
        self.tokens_per_ms_by_engine.iter().sum()
    }

    /// Returns the time to the first token of the next prompt, or `None` without engines.
    pub fn first_token_ms(&self, tokens: u32) -> Option<f64> {
        let Reverse((idle_us, at)) = self.idle_times.peek()?;
        Some(*idle_us as f64 / 1000.0 + f64::from(tokens) / self.tokens_per_ms_by_engine[*at])
    }

    /// Assigns a prompt to the engine that becomes idle first.
    pub fn enqueue(&mut self, tokens: u32) {
        let Some(Reverse((idle_us, at))) = self.idle_times.pop() else {
            return;
        };
        let prefill_us = micros(f64::from(tokens) / self.tokens_per_ms_by_engine[at]);
        self.idle_times.push(Reverse((idle_us + prefill_us, at)));
    }
}

#[cfg(test)]
#[path = "prefill_simulation_tests.rs"]
mod tests;
