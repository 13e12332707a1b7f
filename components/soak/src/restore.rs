//! The store comes back from a copy, and what operators and targets wrote is written again.

use crate::history::Trouble;
use crate::plan::PLACES;
use crate::plant::Plant;
use crate::world::{Later, World};
use fleet::store;

/// How often the store is copied.
const COPY_EACH_MS: u64 = 250;
/// Copies that are kept.
const COPIES_MAX: usize = 24;
/// Writes of others before the store goes away: its revisions go back by as many at least.
const OTHER_WRITES: usize = 200;
/// In this time the boxes hear of them.
const HEARD_MS: u64 = 300;

impl World<'_> {
    /// Copies the store now and then.
    pub(crate) fn keep_copies(&mut self, now_ms: u64) {
        let last_ms = self.copies.back().map(|(at_ms, _)| *at_ms);
        if last_ms.is_some_and(|last_ms| now_ms < last_ms + COPY_EACH_MS) {
            return;
        }
        self.copies.push_back((now_ms, self.store.snapshot()));
        if self.copies.len() > COPIES_MAX {
            self.copies.pop_front();
        }
    }

    /// Much is written, of which boxes hear; then the store goes away, and will come back from a copy that is older.
    pub(crate) fn lose_store(&mut self, age_ms: u64, away_ms: u64, again_ms: u64, now_ms: u64) {
        let is_away = |later: &(u64, Later)| {
            matches!(
                later.1,
                Later::StoreGoes | Later::StoreBack { .. } | Later::AllAgain { .. }
            )
        };
        if self.later.iter().any(is_away) {
            return;
        }
        for at in 0..OTHER_WRITES {
            self.store.put("op/notes", &at.to_string());
        }
        self.write_entries();
        let goes_ms = now_ms + HEARD_MS;
        self.later.push((goes_ms, Later::StoreGoes));
        let back = Later::StoreBack {
            from_ms: now_ms,
            age_ms,
            again_ms,
        };
        self.later.push((goes_ms + away_ms, back));
    }

    pub(crate) fn store_back(&mut self, from_ms: u64, age_ms: u64, again_ms: u64, now_ms: u64) {
        let of_age = |copy: &&(u64, store::StoreSnapshot)| copy.0 + age_ms <= from_ms;
        let copy = self.copies.iter().rev().find(of_age);
        if let Some((_, copy)) = copy.or(self.copies.front()) {
            self.store.restore(copy);
        }
        self.trouble_store(None, store::StoreFault::None);
        let again = Later::AllAgain { from_ms };
        self.later.push((now_ms + again_ms, again));
    }

    /// Writes again what holds, and has what does not lapse.
    pub(crate) fn write_all_again(&mut self, from_ms: u64, now_ms: u64) {
        self.store
            .configure_toggled_key(self.version, self.key_holds);
        for place in PLACES {
            let is_back =
                |later: &(u64, Later)| matches!(later.1, Later::TakeBack(other) if other == place);
            match self.later.iter().any(is_back) {
                true if self.soak.plant == Some(Plant::Evacuation) => {}
                true => self.store.evacuate(place),
                false => self.store.cancel_evacuation(place),
            }
        }
        for key in self.store.keys("servers/") {
            let instance = key.trim_start_matches("servers/");
            if !self.entries.contains_key(instance) {
                self.store.deregister_target(instance);
            }
        }
        self.write_entries();
        self.disturb(Trouble::Store, None, from_ms, now_ms);
    }

    /// Each target writes its entry as it is.
    fn write_entries(&mut self) {
        let now_ms = self.now_ms();
        for (instance, entry) in self.entries.clone() {
            let mut garbled = self.history.garbled.iter();
            match garbled.any(|garbled| garbled.target == instance && now_ms < garbled.until_ms) {
                true => self.store.corrupt_target(&instance),
                false => self.write(&instance, entry),
            }
        }
    }
}
