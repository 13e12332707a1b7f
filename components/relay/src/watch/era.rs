//! The platform's store may come back from a copy that is some seconds old: its era rises, what was written since is gone, and
//! revisions are given out again. For a while what it says may be the copy's; operators and targets write again what they had
//! written. Until then boxes go by what they knew where that withholds work, and by both where they differ.

use crate::state::Relay;
use crate::watch::targets::{Belief, TargetBook};
use prelude::Version;
use routing::TargetEntry;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::sleep;

/// How long what the store says may be a copy's: the entry of a target that has ended since lapses after three missed heartbeats
/// of 1.2 s, and what lives has written again by then.
const SETTLE_MS: u64 = 6_000;
/// A box that hears of the era from another one settles so much sooner: it is told what the others read after they settled,
/// and takes it in.
const TOLD_LESS_MS: u64 = 1_000;
/// Within this time boxes write their keys and records again: all at once would pass the store's rate where there are many.
const WRITE_AGAIN_WITHIN: Duration = Duration::from_millis(5_000);

/// Who said that the era rose.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum EraSource {
    /// The store.
    Store,
    /// Another box.
    Peer,
}

impl TargetBook {
    /// The store's era rose: until then its list may be a copy's.
    pub fn era_rose(&mut self, until_ms: u64) {
        self.settles_until_ms = Some(until_ms);
        for (slot, target) in &mut self.targets {
            // The copy may say otherwise: from now on this is told to boxes that never read it.
            target.leaves_by_word |= target.belief == Belief::Leaving;
            self.index.note_leaving(slot, target);
        }
    }

    /// Until when the list may be a copy's; none where it is not.
    pub(super) fn settling_until_ms(&self, now_ms: u64) -> Option<u64> {
        self.settles_until_ms.filter(|until_ms| now_ms < *until_ms)
    }

    /// Whether an entry is of a life that went in a former era, and may stand in a copy only.
    pub(super) fn may_be_copied(&self, entry: &TargetEntry, now_ms: u64) -> bool {
        if self.settling_until_ms(now_ms).is_none() {
            return false;
        }
        let era = entry.version.era();
        match self.newest(&entry.instance) {
            Some((_, target)) if target.entry.born_ms == entry.born_ms => {
                target.belief == Belief::Gone && target.entry.version.era() < era
            }
            Some(_) => false,
            None => {
                let unlisted_at = self.pasts.of(&entry.instance).unlisted_at;
                unlisted_at != Version::default() && unlisted_at.era() < era
            }
        }
    }

    /// Notes that the list was read anew at a version. After the store has settled, other boxes are to compare theirs with it.
    pub(super) fn read_at(&mut self, version: Version, now_ms: u64) {
        let is_settled = self
            .settles_until_ms
            .is_some_and(|until_ms| until_ms <= now_ms);
        if is_settled {
            self.settles_until_ms = None;
            self.changed_at = self.changed_at.max(version);
        }
    }
}

impl Relay {
    /// Whether what the store says may be a copy's.
    pub(crate) fn is_settling(&self) -> bool {
        let now_ms = self.now_ms();
        self.targets.borrow().settling_until_ms(now_ms).is_some()
    }

    /// Notes the era of something that was said.
    pub(crate) fn see_era(self: &Rc<Self>, era: u32, source: EraSource) {
        let before = self.observed_era.get();
        // Where no era is known to a peer, it tells 0.
        let is_told = source == EraSource::Store || era > 0;
        if !is_told || before.is_some_and(|before| era <= before) {
            return;
        }
        self.observed_era.set(Some(era));
        self.store.observe_era(era);
        metrics::gauge!("shuntpier_store_era").set(f64::from(era));
        if let Some(before) = before {
            self.era_rose(before, era, source);
        }
    }

    fn era_rose(self: &Rc<Self>, before: u32, era: u32, source: EraSource) {
        let settle_ms = match source {
            EraSource::Store => SETTLE_MS,
            EraSource::Peer => SETTLE_MS - TOLD_LESS_MS,
        };
        let until_ms = self.now_ms() + settle_ms;
        self.targets.borrow_mut().era_rose(until_ms);
        let withheld = self
            .quarantine
            .borrow()
            .withheld_requests(self.now_ms())
            .len();
        slog::warn!(self.log, "store era rose"; "before" => before, "era" => era,
            "source" => ?source, "settles_in_ms" => settle_ms,
            "kept_declarations" => self.declared().map(|held| held.table.version),
            "kept_targets" => self.targets.borrow().entries(self.now_ms()).len(),
            "kept_evacuations" => self.evacuation.borrow().known().data_centres.len(),
            "kept_withheld_requests" => withheld);
        metrics::counter!("shuntpier_store_era_rises").increment(1);
        // Open watches are on a history that is no more.
        self.store_suspected.notify_waiters();
        tokio::task::spawn_local(settle(self.clone(), era, settle_ms));
        tokio::task::spawn_local(write_again(self.clone()));
    }
}

/// Has this box read anew what it follows once the store has settled.
async fn settle(relay: Rc<Relay>, era: u32, settle_ms: u64) {
    sleep(Duration::from_millis(settle_ms)).await;
    if relay.observed_era.get() != Some(era) {
        return;
    }
    slog::info!(relay.log, "store era settled"; "era" => era);
    relay.store_suspected.notify_waiters();
}

/// Writes this box's key and the records that it knows again.
async fn write_again(relay: Rc<Relay>) {
    sleep(WRITE_AGAIN_WITHIN.mul_f64(rand::random())).await;
    relay.follow_started.notify_one();
    relay.keep_records_again();
}

/// Notes eras that this box hears of in answers to other calls than reads, for as long as it lives.
pub(crate) async fn run_eras(relay: Rc<Relay>) {
    let mut eras = relay.store.subscribe_era();
    loop {
        let era = *eras.borrow_and_update();
        if let Some(era) = era {
            relay.see_era(era, EraSource::Store);
        }
        if eras.changed().await.is_err() {
            return;
        }
    }
}

#[cfg(test)]
#[path = "era_tests.rs"]
mod tests;
