//! A run of the pool forward: when the requests that wait will be read, in the order in which they are served, by
//! engines that each read one prompt after another.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// An engine that reads prompts.
#[derive(Clone, Copy, Debug)]
pub struct PrefillEngine {
    /// Time until it has read what it was sent.
    pub left_ms: f64,
    /// Tokens that it reads in a millisecond.
    pub tokens_per_ms: f64,
}

/// Microseconds, so that times can be ordered.
fn micros(ms: f64) -> u64 {
    (ms.max(0.0) * 1000.0) as u64
}

/// A look-ahead simulation of the engines, as they read one prompt after another.
#[derive(Clone, Debug)]
pub struct PrefillSimulation {
    rates: Vec<f64>,
    free: BinaryHeap<Reverse<(u64, usize)>>,
}

impl PrefillSimulation {
    /// The engines as they are now.
    pub fn new(readers: &[PrefillEngine]) -> Self {
        let free = readers.iter().enumerate();
        Self {
            rates: readers.iter().map(|reader| reader.tokens_per_ms).collect(),
            free: free
                .map(|(at, reader)| Reverse((micros(reader.left_ms), at)))
                .collect(),
        }
    }

    /// Tokens that all engines read in a millisecond.
    pub fn tokens_per_ms(&self) -> f64 {
        self.rates.iter().sum()
    }

    /// Time until a prompt that goes next is read; none where no engine reads.
    pub fn first_token_ms(&self, tokens: u32) -> Option<f64> {
        let Reverse((free_us, at)) = self.free.peek()?;
        Some(*free_us as f64 / 1000.0 + f64::from(tokens) / self.rates[*at])
    }

    /// Has the engine that is free first read a prompt.
    pub fn read(&mut self, tokens: u32) {
        let Some(Reverse((free_us, at))) = self.free.pop() else {
            return;
        };
        let read_us = micros(f64::from(tokens) / self.rates[at]);
        self.free.push(Reverse((free_us + read_us, at)));
    }
}

#[cfg(test)]
#[path = "prefill_simulation_tests.rs"]
mod tests;
