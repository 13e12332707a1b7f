//! Open channels to targets that rest between requests.

use crate::watch::targets::TargetSlot;
use http1::Channel;
use std::collections::HashMap;

/// Channels to one target that may rest.
const RESTING_MAX: usize = 6;
/// How long a channel rests where the target does not say how long it may.
const REST_MS: u64 = 10_000;
/// Left of the time that a target allows: a request sent as the target closes may be lost.
const REST_MARGIN_MS: u64 = 1_200;

#[derive(Debug)]
struct Resting {
    channel: Channel,
    since_ms: u64,
    until_ms: u64,
}

/// Channels that rest, by target.
#[derive(Debug, Default)]
pub struct Channels(HashMap<TargetSlot, Vec<Resting>>);

impl Channels {
    /// A resting channel to a target, which is open, has nothing to read, and has rested for `most_ms` at the most.
    pub fn take(&mut self, slot: TargetSlot, most_ms: u64, now_ms: u64) -> Option<Channel> {
        let resting = self.0.get_mut(&slot)?;
        while let Some(mut kept) = resting.pop() {
            if now_ms - kept.since_ms > most_ms {
                // Those below have rested longer.
                resting.push(kept);
                return None;
            }
            if now_ms < kept.until_ms && kept.channel.is_quiet() {
                return Some(kept.channel);
            }
        }
        None
    }

    /// Lets a channel rest, for as long as its target allows.
    pub fn rest(&mut self, slot: TargetSlot, channel: Channel, limit_ms: Option<u64>, now_ms: u64) {
        let limit_ms = limit_ms.unwrap_or(REST_MS).saturating_sub(REST_MARGIN_MS);
        let resting = self.0.entry(slot).or_default();
        if limit_ms == 0 || resting.len() >= RESTING_MAX {
            return;
        }
        resting.push(Resting {
            channel,
            since_ms: now_ms,
            until_ms: now_ms + limit_ms,
        });
    }

    /// Closes the resting channels to a target.
    pub fn close(&mut self, slot: TargetSlot) {
        self.0.remove(&slot);
    }

    /// Closes what has rested long enough.
    pub fn sweep(&mut self, now_ms: u64) {
        for resting in self.0.values_mut() {
            resting.retain(|kept| now_ms < kept.until_ms);
        }
        self.0.retain(|_, resting| !resting.is_empty());
    }
}
