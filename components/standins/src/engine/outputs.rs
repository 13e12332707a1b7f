//! How far each generation has come, kept for a while after its end so that it can be resumed.

use std::collections::HashMap;
use tokio::sync::watch;

/// How far a generation has come.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct Progress {
    /// Tokens that were generated.
    pub tokens: u64,
    /// Whether that is all.
    pub finished: bool,
    /// Whether it was cancelled.
    pub cancelled: bool,
}

/// A generation as its readers see it.
pub(super) struct Output {
    pub marker: String,
    pub progress: watch::Sender<Progress>,
    pub readers: usize,
    /// When the last reader left or the generation ended.
    pub idle_since_ms: u64,
}

/// All generations that can be read.
#[derive(Default)]
pub(super) struct Outputs {
    by_generation: HashMap<String, Output>,
}

impl Outputs {
    pub fn insert(&mut self, generation: String, marker: String, now_ms: u64) {
        let (progress, _) = watch::channel(Progress::default());
        let output = Output {
            marker,
            progress,
            readers: 0,
            idle_since_ms: now_ms,
        };
        self.by_generation.insert(generation, output);
    }

    pub fn add_token(&mut self, generation: &str, finished: bool, now_ms: u64) {
        let Some(output) = self.by_generation.get_mut(generation) else {
            return;
        };
        output.progress.send_modify(|progress| {
            progress.tokens += 1;
            progress.finished |= finished;
        });
        if finished {
            output.idle_since_ms = now_ms;
        }
    }

    pub fn cancel(&mut self, generation: &str) {
        if let Some(output) = self.by_generation.remove(generation) {
            output
                .progress
                .send_modify(|progress| progress.cancelled = true);
        }
    }

    pub fn add_reader(&mut self, generation: &str) -> Option<(String, watch::Receiver<Progress>)> {
        let output = self.by_generation.get_mut(generation)?;
        output.readers += 1;
        Some((output.marker.clone(), output.progress.subscribe()))
    }

    pub fn remove_reader(&mut self, generation: &str, now_ms: u64) {
        if let Some(output) = self.by_generation.get_mut(generation) {
            output.readers = output.readers.saturating_sub(1);
            output.idle_since_ms = now_ms;
        }
    }

    /// Generations without a reader since `before_ms`.
    pub fn idle(&self, before_ms: u64) -> Vec<String> {
        self.by_generation
            .iter()
            .filter(|(_, output)| output.readers == 0 && output.idle_since_ms < before_ms)
            .map(|(generation, _)| generation.clone())
            .collect()
    }
}
