//! Streams that hold permits: how far they have come, and their ends.

use crate::placement::ledger::StreamKey;
use crate::placement::length::{End, LengthClass};
use crate::pool::Pool;
use prelude::{BoxId, PermitId, TargetId};

/// Weight of one measured pace.
const PACE_WEIGHT: f64 = 0.02;

impl Pool {
    /// Whether a generation runs that no token is known of.
    pub fn waits_for_first_token(&self, permit: PermitId) -> bool {
        let stream = self.by_permit.get(&permit);
        let stream = stream.and_then(|key| self.streams.get(*key));
        stream.is_some_and(|stream| stream.generated_tokens == 0)
    }

    /// Notes how far a stream has come. False where its permit is not known here.
    pub fn progress(&mut self, permit: PermitId, tokens: u32, now_ms: u64) -> bool {
        self.now_ms = self.now_ms.max(now_ms);
        self.heard_ms.insert(permit.entry, now_ms);
        self.known.record_contact(permit.entry, now_ms);
        let Some(key) = self.by_permit.get(&permit).copied() else {
            return false;
        };
        let Some(stream) = self.streams.get_mut(key) else {
            return false;
        };
        let before = stream.generated_tokens;
        if tokens <= before {
            return true;
        }
        let elapsed_ms = now_ms.saturating_sub(stream.progress_ms);
        stream.generated_tokens = tokens;
        stream.progress_ms = now_ms;
        let (share, class, target) = (stream.share, stream.class, stream.target);
        if before == 0 {
            self.outlook.errors.record_first_token(permit, now_ms);
            self.read(key, target);
        }
        if before > 0 && elapsed_ms > 0 {
            let pace = f64::from(tokens - before) / elapsed_ms as f64;
            self.tokens_per_ms += PACE_WEIGHT * (pace - self.tokens_per_ms);
        }
        self.learn(class, before, tokens, None);
        self.tree
            .adjust_tokens_in_use(&share, f64::from(tokens - before));
        true
    }

    /// Ends a stream and frees what it held.
    pub fn release(&mut self, permit: PermitId, tokens: u32, end: End) {
        let Some(key) = self.by_permit.remove(&permit) else {
            return;
        };
        let Some(stream) = self.streams.remove(key) else {
            return;
        };
        self.left_box(stream.entry());
        let before = stream.generated_tokens;
        let tokens = tokens.max(before);
        let now_ms = self.now_ms;
        if before == 0 && tokens > 0 {
            self.outlook.errors.record_first_token(permit, now_ms);
            self.read(key, stream.target);
        }
        self.outlook.errors.forget(permit);
        self.engines.remove_stream(stream.target, key, now_ms);
        self.learn(stream.class, before, tokens, Some(end));
        let held_tokens = stream.prompt_tokens + before;
        self.tree
            .adjust_tokens_in_use(&stream.share, -f64::from(held_tokens));
        self.tree.remove_running(&stream.share);
    }

    /// Notes that an engine has read the prompt of a stream.
    fn read(&mut self, key: StreamKey, target: TargetId) {
        let now_ms = self.now_ms;
        let mut rate = self.reading_rate;
        if let Some(ledger) = self.engine_mut(target) {
            ledger.reading.first_token(key, now_ms, &mut rate);
            ledger
                .spans
                .set_prefilling(!ledger.reading.is_idle(), now_ms);
        }
        self.reading_rate = rate;
    }

    pub(crate) fn learn(&mut self, class: LengthClass, before: u32, tokens: u32, end: Option<End>) {
        if !self.settings.learns_lengths {
            return;
        }
        self.lengths.grew(class, before, tokens);
        if let Some(end) = end {
            self.lengths.ended(class, tokens, end);
        }
    }

    fn left_box(&mut self, entry: BoxId) {
        if let Some(count) = self.streams_by_box.get_mut(&entry) {
            *count -= 1;
            if *count == 0 {
                self.streams_by_box.remove(&entry);
            }
        }
    }

    /// The engine of a permit that is held.
    pub fn target_of(&self, permit: PermitId) -> Option<TargetId> {
        let key = self.by_permit.get(&permit)?;
        self.streams.get(*key).map(|stream| stream.target)
    }

    /// Streams of a box that hold a permit.
    pub fn streams_of(&self, entry: BoxId) -> usize {
        self.streams_by_box.get(&entry).copied().unwrap_or(0)
    }
}
