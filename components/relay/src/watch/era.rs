//! Recovery of the platform's store from a backup that is some seconds old. Its era rises, recent writes are lost,
//! and revisions are assigned again. Until operators and targets have written their entries again, reads may return
//! stale data of the backup. In that time boxes keep what they know if it withholds work, and combine both states
//! where they differ.

use crate::state::Relay;
use crate::watch::targets::{TargetRegistry, TargetState};
use prelude::Version;
use routing::TargetEntry;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::sleep;

/// Time in ms during which the store may return stale data. An entry of a target that ended since the backup lapses
/// after three missed heartbeats of 1.2 s, and live targets have written theirs again by then.
const SETTLE_MS: u64 = 6_000;
/// A box that learns of the era from a peer settles this much earlier, so that it accepts what the others read once
/// they have settled.
const PEER_SETTLE_LEAD_MS: u64 = 1_000;
/// Boxes spread the rewrites of their keys and records over this time; all at once would exceed the store's rate in
/// large fleets.
const REWRITE_WINDOW: Duration = Duration::from_millis(5_000);

/// Where a new era was observed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum EraSource {
    /// In an answer of the store.
    Store,
    /// In a message of another box.
    Peer,
}

impl TargetRegistry {
    /// Records that the store's era rose; until `until_ms` its list may be stale.
    pub fn record_era_rise(&mut self, until_ms: u64) {
        self.settles_until_ms = Some(until_ms);
        for (slot, target) in &mut self.targets {
            // The backup may list the target as ready, so boxes that never read its leaving entry get a report of it
            // from now on.
            target.leaving_reported |= target.state == TargetState::Leaving;
            self.index.update_leaving(slot, target);
        }
    }

    /// Until when the list may be stale; `None` if it isn't.
    pub(super) fn settling_until_ms(&self, now_ms: u64) -> Option<u64> {
        self.settles_until_ms.filter(|until_ms| now_ms < *until_ms)
    }

    /// For how long the list may still be stale, in ms.
    pub(crate) fn settles_in_ms(&self, now_ms: u64) -> u32 {
        let until_ms = self.settling_until_ms(now_ms).unwrap_or(now_ms);
        u32::try_from(until_ms - now_ms).unwrap_or(u32::MAX)
    }

    /// Whether an entry is of an incarnation that was removed in a previous era, so that it may only exist in the
    /// stale backup.
    pub(super) fn may_be_stale(&self, entry: &TargetEntry, now_ms: u64) -> bool {
        if self.settling_until_ms(now_ms).is_none() {
            return false;
        }
        let era = entry.version.era();
        match self.newest(&entry.instance) {
            Some((_, target)) if target.entry.born_ms == entry.born_ms => {
                target.state == TargetState::Gone && target.entry.version.era() < era
            }
            Some(_) => false,
            None => {
                let unlisted_at = self.tombstones.get(&entry.instance).unlisted_at;
                unlisted_at != Version::default() && unlisted_at.era() < era
            }
        }
    }

    /// Records that the list was read at a version. The first read after the store has settled makes other boxes
    /// compare their lists with it.
    pub(super) fn record_list_read(&mut self, version: Version, now_ms: u64) {
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
    /// Whether the store may return stale data.
    pub(crate) fn is_settling(&self) -> bool {
        let now_ms = self.now_ms();
        self.targets.borrow().settling_until_ms(now_ms).is_some()
    }

    /// Records the era of a message or an answer.
    pub(crate) fn observe_era(self: &Rc<Self>, era: u32, source: EraSource) {
        let before = self.observed_era.get();
        // A peer that knows no era reports 0.
        let has_era = source == EraSource::Store || era > 0;
        if !has_era || before.is_some_and(|before| era <= before) {
            return;
        }
        self.observed_era.set(Some(era));
        self.store.observe_era(era);
        metrics::gauge!("shuntpier_store_era").set(f64::from(era));
        if let Some(before) = before {
            self.handle_era_rise(before, era, source);
        }
    }

    fn handle_era_rise(self: &Rc<Self>, before: u32, era: u32, source: EraSource) {
        let settle_ms = match source {
            EraSource::Store => SETTLE_MS,
            EraSource::Peer => SETTLE_MS - PEER_SETTLE_LEAD_MS,
        };
        self.begin_settling(era, settle_ms);
        let withheld = self
            .quarantine
            .borrow()
            .withheld_causes(self.now_ms())
            .len();
        slog::warn!(self.log, "store era rose"; "before" => before, "era" => era,
            "source" => ?source, "settles_in_ms" => settle_ms,
            "kept_declarations" => self.declared().map(|held| held.table.version),
            "kept_targets" => self.targets.borrow().entries(self.now_ms()).len(),
            "kept_evacuations" => self.evacuation.borrow().known().data_centres.len(),
            "kept_withheld_requests" => withheld);
        metrics::counter!("shuntpier_store_era_rises").increment(1);
        // Open watches refer to a history that no longer exists.
        self.store_suspected.notify_waiters();
        tokio::task::spawn_local(rewrite_records(self.clone()));
    }

    /// Records that a peer keeps evacuations that the restored store may have lost, and settles in `settles_in_ms`. A box that
    /// started since the restore settles with it. With a time of its own it would keep removed targets after the others have
    /// settled, and the boxes that start after it would do so, too.
    pub(crate) fn observe_kept_evacuations(self: &Rc<Self>, era: u32, settles_in_ms: u32) {
        // The clock counts from the start of the box.
        let is_new = self.now_ms() < SETTLE_MS;
        let is_current = self.observed_era.get() == Some(era);
        if !is_new || !is_current || self.is_settling() || settles_in_ms == 0 {
            return;
        }
        let settle_ms = u64::from(settles_in_ms).min(SETTLE_MS - PEER_SETTLE_LEAD_MS);
        slog::info!(self.log, "store era settles"; "era" => era, "settles_in_ms" => settle_ms);
        self.begin_settling(era, settle_ms);
    }

    fn begin_settling(self: &Rc<Self>, era: u32, settle_ms: u64) {
        let until_ms = self.now_ms() + settle_ms;
        self.targets.borrow_mut().record_era_rise(until_ms);
        tokio::task::spawn_local(settle(self.clone(), era, settle_ms));
    }
}

/// Restarts this box's reads and watches once the store has settled.
async fn settle(relay: Rc<Relay>, era: u32, settle_ms: u64) {
    sleep(Duration::from_millis(settle_ms)).await;
    if relay.observed_era.get() != Some(era) {
        return;
    }
    slog::info!(relay.log, "store era settled"; "era" => era);
    relay.store_suspected.notify_waiters();
}

/// Writes this box's key and the records that it knows to the store again.
async fn rewrite_records(relay: Rc<Relay>) {
    sleep(REWRITE_WINDOW.mul_f64(rand::random())).await;
    relay.follow_started.notify_one();
    relay.rewrite_records();
}

/// Observes eras in answers to all calls of the store, for the lifetime of the box.
pub(crate) async fn run_eras(relay: Rc<Relay>) {
    let mut eras = relay.store.subscribe_era();
    loop {
        let era = *eras.borrow_and_update();
        if let Some(era) = era {
            relay.observe_era(era, EraSource::Store);
        }
        if eras.changed().await.is_err() {
            return;
        }
    }
}

#[cfg(test)]
#[path = "era_tests.rs"]
mod tests;
