//! Running copies: an engine keeps a second copy of a generation's memory while it grows at another. A crash gives no
//! notice, and what ran there would be lost to its caller; from the copy it goes on.
//!
//! A copy takes as much memory as the generation itself. It is made only where that memory would lie idle, it is in the
//! ledger of the engine that keeps it, and it is kept in another data centre where there is one: engines of one place
//! fail together.

use crate::placement::forecast::Forecast;
use crate::placement::ledger::{EngineState, RoomView, StreamKey};
use crate::pool::Pool;
use prelude::{PermitId, TargetId};

/// Share of an engine's memory that stays free beside a copy: callers who come must not wait for it.
const AMPLE_SHARE: f64 = 0.5;
/// Generations that likely end within so many tokens are over before a copy of them is of use.
const TOKENS_MIN: f64 = 64.0;
/// Share of generations of a kind that must run for longer than that.
const LONG_SHARE: f64 = 0.25;

impl Pool {
    /// Chooses an engine that keeps a copy of a generation that was just granted its permit, and enters the copy in its
    /// ledger. None where the generation is likely short, others wait for memory, or no engine has ample room.
    pub fn back_up(&mut self, permit: PermitId, now_ms: u64) -> Option<TargetId> {
        let key = *self.by_permit.get(&permit)?;
        let stream = self.streams.get(key)?;
        if let Some(kept) = stream.backup {
            return Some(kept);
        }
        let is_long = stream.survival(&self.lengths, 0.0)(TOKENS_MIN) >= LONG_SHARE;
        if !is_long || self.queue.len() > 0 {
            return None;
        }
        let (target, prompt_tokens) = (stream.target, stream.prompt_tokens);
        let mut copy = Forecast::default();
        copy.add(
            f64::from(prompt_tokens),
            stream.survival(&self.lengths, 0.0),
        );
        let place = self.data_centre_of(target);
        let margin = self.margin_in_use();
        let view = RoomView {
            streams: &self.streams,
            lengths: &self.lengths,
            settings: &self.settings,
            tokens_per_ms: self.tokens_per_ms,
            margin,
            now_ms,
        };
        let mut best: Option<((bool, f64), TargetId)> = None;
        for ledger in &mut self.engines {
            if ledger.info.id == target || ledger.state != EngineState::Live {
                continue;
            }
            if ledger.info.cold_rate_per_s.is_some() {
                continue;
            }
            let left = ledger.room_left(&view, &copy);
            if left < ledger.info.capacity_tokens as f64 * AMPLE_SHARE {
                continue;
            }
            let apart = place != Some(ledger.info.data_centre);
            if best.is_none_or(|(other, _)| (apart, left) > other) {
                best = Some(((apart, left), ledger.info.id));
            }
        }
        let (_, holder) = best?;
        if let Some(ledger) = self.engine_mut(holder) {
            ledger.add_copy(key, &copy);
        }
        if let Some(stream) = self.streams.get_mut(key) {
            stream.backup = Some(holder);
        }
        Some(holder)
    }

    /// Notes that a generation goes on from its copy, as its engine failed: its permit is for that engine from now on.
    pub fn restore(&mut self, permit: PermitId, now_ms: u64) -> Option<TargetId> {
        let key = *self.by_permit.get(&permit)?;
        let holder = self.streams.get(key)?.backup?;
        self.drop_copy(key);
        let stream = self.streams.get_mut(key)?;
        let former = std::mem::replace(&mut stream.target, holder);
        let mut more = Forecast::default();
        let held = f64::from(stream.prompt_tokens) + f64::from(stream.generated_tokens);
        let stream = self.streams.get(key)?;
        let generated = f64::from(stream.generated_tokens);
        more.add(held, stream.survival(&self.lengths, generated));
        if let Some(ledger) = self.engine_mut(former) {
            ledger.remove(key, now_ms);
        }
        if let Some(ledger) = self.engine_mut(holder) {
            ledger.placed(now_ms);
            ledger.add(key, &more);
        }
        Some(holder)
    }

    /// Takes over a copy that another dispatcher had chosen.
    pub fn adopt_copy(&mut self, permit: PermitId, holder: TargetId) {
        let Some(key) = self.by_permit.get(&permit).copied() else {
            return;
        };
        let Some(stream) = self.streams.get(key).filter(|s| s.backup.is_none()) else {
            return;
        };
        let held = f64::from(stream.prompt_tokens) + f64::from(stream.generated_tokens);
        let generated = f64::from(stream.generated_tokens);
        let mut copy = Forecast::default();
        copy.add(held, stream.survival(&self.lengths, generated));
        if self.engine_mut(holder).is_none() {
            return;
        }
        if let Some(ledger) = self.engine_mut(holder) {
            ledger.add_copy(key, &copy);
        }
        if let Some(stream) = self.streams.get_mut(key) {
            stream.backup = Some(holder);
        }
    }

    /// Takes the copy of a generation out of the ledger of the engine that keeps it.
    pub(crate) fn drop_copy(&mut self, key: StreamKey) {
        let holder = self
            .streams
            .get_mut(key)
            .and_then(|stream| stream.backup.take());
        if let Some(ledger) = holder.and_then(|holder| self.engine_mut(holder)) {
            ledger.remove_copy(key);
        }
    }

    /// Forgets the copies that an engine kept which is gone.
    pub(crate) fn forget_copies(&mut self, holder: TargetId) {
        let Some(ledger) = self.engine_mut(holder) else {
            return;
        };
        for key in ledger.take_copies() {
            if let Some(stream) = self.streams.get_mut(key) {
                stream.backup = None;
            }
        }
    }
}

#[cfg(test)]
#[path = "backup_tests.rs"]
mod tests;
