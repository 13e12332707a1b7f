//! Idle channels to targets, kept open for reuse by later requests.

use crate::watch::targets::TargetSlot;
use http1::Channel;
use std::collections::HashMap;

/// Maximum number of idle channels per target.
const MAX_IDLE_CHANNELS: usize = 6;
/// Idle timeout of a channel whose target announces none.
const DEFAULT_IDLE_TIMEOUT_MS: u64 = 10_000;
/// Subtracted from the target's keep-alive timeout: a request sent while the target closes the channel may be lost.
const IDLE_TIMEOUT_MARGIN_MS: u64 = 1_200;

#[derive(Debug)]
struct IdleChannel {
    channel: Channel,
    idle_since_ms: u64,
    expires_ms: u64,
}

/// Idle channels by target.
#[derive(Debug, Default)]
pub struct IdleChannels(HashMap<TargetSlot, Vec<IdleChannel>>);

impl IdleChannels {
    /// Takes an idle channel to a target that is still open, has no unread bytes, and has been idle for at most
    /// `max_idle_ms`.
    pub fn take(&mut self, slot: TargetSlot, max_idle_ms: u64, now_ms: u64) -> Option<Channel> {
        let idle = self.0.get_mut(&slot)?;
        while let Some(mut candidate) = idle.pop() {
            if now_ms - candidate.idle_since_ms > max_idle_ms {
                // The stack is ordered by idle time: the remaining channels have been idle for longer.
                idle.push(candidate);
                return None;
            }
            if now_ms < candidate.expires_ms && candidate.channel.is_quiet() {
                return Some(candidate.channel);
            }
        }
        None
    }

    /// Keeps a channel for reuse until the keep-alive timeout of its target expires.
    pub fn put(
        &mut self,
        slot: TargetSlot,
        channel: Channel,
        timeout_ms: Option<u64>,
        now_ms: u64,
    ) {
        let timeout_ms = timeout_ms
            .unwrap_or(DEFAULT_IDLE_TIMEOUT_MS)
            .saturating_sub(IDLE_TIMEOUT_MARGIN_MS);
        let idle = self.0.entry(slot).or_default();
        if timeout_ms == 0 || idle.len() >= MAX_IDLE_CHANNELS {
            return;
        }
        idle.push(IdleChannel {
            channel,
            idle_since_ms: now_ms,
            expires_ms: now_ms + timeout_ms,
        });
    }

    /// Closes the idle channels to a target.
    pub fn close_target(&mut self, slot: TargetSlot) {
        self.0.remove(&slot);
    }

    /// Closes the channels whose idle timeout has expired.
    pub fn close_expired(&mut self, now_ms: u64) {
        for idle in self.0.values_mut() {
            idle.retain(|candidate| now_ms < candidate.expires_ms);
        }
        self.0.retain(|_, idle| !idle.is_empty());
    }
}
