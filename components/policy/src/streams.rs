//! Streams that hold permits: their progress and their end.

use crate::placement::ledger::StreamKey;
use crate::placement::length::{LengthClass, StreamEnd};
use crate::pool::Pool;
use prelude::{BoxId, PermitId, TargetId};

/// Weight of one measurement in the moving average of the pace.
const PACE_WEIGHT: f64 = 0.02;

impl Pool {
    /// Whether a stream holds this permit and has not generated a token yet.
    pub fn awaits_first_token(&self, permit: PermitId) -> bool {
        let stream = self.by_permit.get(&permit);
        let stream = stream.and_then(|key| self.streams.get(*key));
        stream.is_some_and(|stream| stream.generated_tokens == 0)
    }

    /// Records the progress of a stream. Returns false if its permit is unknown.
    pub fn record_progress(&mut self, permit: PermitId, tokens: u32, now_ms: u64) -> bool {
        self.now_ms = self.now_ms.max(now_ms);
        self.last_seen_ms.insert(permit.entry, now_ms);
        self.observed_boxes.record_contact(permit.entry, now_ms);
        let Some(key) = self.by_permit.get(&permit).copied() else {
            return false;
        };
        let Some(stream) = self.streams.get_mut(key) else {
            return false;
        };
        let previous_tokens = stream.generated_tokens;
        if tokens <= previous_tokens {
            return true;
        }
        let elapsed_ms = now_ms.saturating_sub(stream.progress_ms);
        stream.generated_tokens = tokens;
        stream.progress_ms = now_ms;
        let (share, class, target) = (stream.share, stream.class, stream.target);
        if previous_tokens == 0 {
            self.admission_forecast
                .errors
                .record_first_token(permit, now_ms);
            self.record_prefill(key, target);
        }
        if previous_tokens > 0 && elapsed_ms > 0 {
            let pace = f64::from(tokens - previous_tokens) / elapsed_ms as f64;
            self.tokens_per_ms += PACE_WEIGHT * (pace - self.tokens_per_ms);
        }
        self.record_length(class, previous_tokens, tokens, None);
        self.tree
            .adjust_tokens_in_use(&share, f64::from(tokens - previous_tokens));
        true
    }

    /// Ends a stream and frees its memory.
    pub fn release(&mut self, permit: PermitId, tokens: u32, end: StreamEnd) {
        let Some(key) = self.by_permit.remove(&permit) else {
            return;
        };
        let Some(stream) = self.streams.remove(key) else {
            return;
        };
        self.decrement_box_streams(stream.entry_box());
        let previous_tokens = stream.generated_tokens;
        let tokens = tokens.max(previous_tokens);
        let now_ms = self.now_ms;
        if previous_tokens == 0 && tokens > 0 {
            self.admission_forecast
                .errors
                .record_first_token(permit, now_ms);
            self.record_prefill(key, stream.target);
        }
        self.admission_forecast.errors.forget(permit);
        self.engines.remove_stream(stream.target, key, now_ms);
        self.record_length(stream.class, previous_tokens, tokens, Some(end));
        let used_tokens = stream.prompt_tokens + previous_tokens;
        self.tree
            .adjust_tokens_in_use(&stream.share, -f64::from(used_tokens));
        self.tree.remove_running(&stream.share);
    }

    /// Records that an engine has finished the prefill of a stream.
    fn record_prefill(&mut self, key: StreamKey, target: TargetId) {
        let now_ms = self.now_ms;
        let mut rate = self.prefill_rate;
        if let Some(ledger) = self.engine_mut(target) {
            ledger.prefill.record_first_token(key, now_ms, &mut rate);
            ledger
                .prefill_spans
                .set_prefilling(!ledger.prefill.is_idle(), now_ms);
        }
        self.prefill_rate = rate;
    }

    pub(crate) fn record_length(
        &mut self,
        class: LengthClass,
        previous_tokens: u32,
        tokens: u32,
        end: Option<StreamEnd>,
    ) {
        if !self.settings.learns_lengths {
            return;
        }
        self.lengths.record_growth(class, previous_tokens, tokens);
        if let Some(end) = end {
            self.lengths.record_end(class, tokens, end);
        }
    }

    fn decrement_box_streams(&mut self, entry: BoxId) {
        if let Some(count) = self.streams_by_box.get_mut(&entry) {
            *count -= 1;
            if *count == 0 {
                self.streams_by_box.remove(&entry);
            }
        }
    }

    /// The engine that a permit was granted for.
    pub fn target_of(&self, permit: PermitId) -> Option<TargetId> {
        let key = self.by_permit.get(&permit)?;
        self.streams.get(*key).map(|stream| stream.target)
    }

    /// Number of streams of a box that hold a permit.
    pub fn streams_of(&self, entry: BoxId) -> usize {
        self.streams_by_box.get(&entry).copied().unwrap_or(0)
    }
}
