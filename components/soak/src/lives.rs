//! Targets that leave, that start again under their names, and entries that cannot be read.

use crate::history::{Garbled, Leaving};
use crate::plant::Plant;
use crate::play::RECOVERY_MS;
use crate::world::{Entry, LOOK_EACH, Later, World};
use fleet::caller::{Caller, call_request, fresh_id, generation_request};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// A target that leaves serves on for this long.
pub(crate) const SERVES_ON_MS: u64 = 4_500;
/// How much later the store is told that a target leaves, where that is planted.
const PLANTED_LATE_MS: u64 = 4_000;
/// How long a write of a killed process may be on its way.
const LATE_WRITE_MS: u64 = 400;
/// When the target that holds the name writes its entry again.
const WRITTEN_AGAIN_MS: u64 = 700;
/// After no entry can be read, calls are refused within this time.
const REFUSED_MS: u64 = 2_000;
/// Rounds of calls to all boxes, one after another, that count as served.
const ROUNDS: usize = 2;
/// An engine that was killed broke its streams off within this time.
const CRASH_SEEN_MS: u64 = 1_000;

impl World<'_> {
    /// Has a target leave, in the store's words or, where that is planted, only in the history's.
    fn say_leaving(&mut self, instance: &str) {
        self.note_leaving(instance);
        if self.soak.plant == Some(Plant::LateWork) {
            let later = Later::ListTarget(instance.to_owned());
            self.later.push((self.now_ms() + PLANTED_LATE_MS, later));
        } else {
            self.list_leaving(instance);
        }
    }

    pub(crate) fn target_leaves(&mut self, at: usize, now_ms: u64) {
        let name = self.name("t");
        let fresh = self.start_target(&name);
        let old = std::mem::replace(&mut self.plain[at], fresh);
        let instance = old.target.instance.clone();
        self.say_leaving(&instance);
        self.retired.push(old);
        let gone = Later::TargetGone(self.retired.len() - 1);
        self.later.push((now_ms + SERVES_ON_MS, gone));
    }

    pub(crate) fn engine_leaves(&mut self, at: usize, now_ms: u64) {
        let name = self.name("e");
        let fresh = self.start_engine(&name);
        let old = std::mem::replace(&mut self.engines[at], fresh);
        let instance = old.instance.clone();
        self.say_leaving(&instance);
        self.retired_engines.push(old);
        let gone = Later::EngineGone(self.retired_engines.len() - 1);
        self.later.push((now_ms + SERVES_ON_MS, gone));
    }

    pub(crate) fn note_leaving(&mut self, instance: &str) {
        let told_ms = self.now_ms();
        if let Some(entry) = self.entries.get(instance) {
            self.history.leaving.push(Leaving {
                target: instance.to_owned(),
                life: entry.life,
                told_ms,
            });
        }
    }

    /// Takes a target off the list.
    pub(crate) fn unlist(&mut self, instance: &str) {
        self.entries.remove(instance);
        self.store.deregister_target(instance);
    }

    /// Has the former process of a name write its entry late, and the present one write its own again.
    fn write_late(&mut self, instance: &str, former: Option<Entry>) {
        let now_ms = self.now_ms();
        if let Some(former) = former {
            let late = Later::LateWrite(instance.to_owned(), former);
            self.later.push((now_ms + LATE_WRITE_MS, late));
            let again = Later::WriteAgain(instance.to_owned());
            self.later.push((now_ms + WRITTEN_AGAIN_MS, again));
        }
    }

    /// A plain target leaves and starts again under its name; the former process serves what it has.
    pub(crate) fn target_restarts(&mut self, at: usize) {
        let instance = self.plain[at].target.instance.clone();
        self.note_leaving(&instance);
        self.list_leaving(&instance);
        let former = self.entries.get(&instance).copied();
        let fresh = self.start_target(&instance);
        self.retired
            .push(std::mem::replace(&mut self.plain[at], fresh));
        self.write_late(&instance, former);
    }

    /// An engine starts again under its name. The former process serves what it has, or is killed.
    pub(crate) fn engine_restarts(&mut self, at: usize, killed: bool) {
        let instance = self.engines[at].instance.clone();
        if !killed {
            self.note_leaving(&instance);
            self.list_leaving(&instance);
        }
        let former = self.entries.get(&instance).copied();
        let fresh = self.start_engine(&instance);
        let old = std::mem::replace(&mut self.engines[at], fresh);
        if killed {
            let now_ms = self.now_ms();
            self.history.crashes.push((now_ms, now_ms + CRASH_SEEN_MS));
            drop(old);
        } else {
            self.retired_engines.push(old);
        }
        self.write_late(&instance, former);
    }

    /// Writes what cannot be read under a plain target's key, until it writes its entry again.
    pub(crate) fn garble(&mut self, at: usize, lasts_ms: u64) {
        let instance = self.plain[at].target.instance.clone();
        let now_ms = self.now_ms();
        if self.soak.plant != Some(Plant::Unreadable) {
            self.store.corrupt_target(&instance);
        }
        self.history.garbled.push(Garbled {
            target: instance.clone(),
            from_ms: now_ms,
            until_ms: now_ms + lasts_ms,
        });
        let again = Later::WriteAgain(instance);
        self.later.push((now_ms + lasts_ms, again));
    }

    fn plain_names(&self) -> Vec<String> {
        let names = self.plain.iter().map(|p| p.target.instance.clone());
        names.collect()
    }

    /// Makes the entries of all plain targets unreadable, sees whether calls are refused, and takes that back.
    pub(crate) fn garble_all(&mut self) {
        let names = self.plain_names();
        if self.soak.plant != Some(Plant::Unreadable) {
            names
                .iter()
                .for_each(|name| self.store.corrupt_target(name));
        }
        let limit = Duration::from_millis(REFUSED_MS + self.soak.slack_ms);
        let until = Instant::now() + limit;
        let all_refuse = |world: &Self| !world.boxes.iter().any(|one| is_served(one.callers));
        while !self.history.refused_unreadable && Instant::now() < until {
            self.history.refused_unreadable = all_refuse(self);
            std::thread::sleep(LOOK_EACH);
        }
        for name in names {
            if let Some(entry) = self.entries.get(&name).copied() {
                self.list(&name, entry);
            }
        }
    }

    /// Has all targets leave, starts them again under their names, and sees whether the new lives are used.
    pub(crate) fn restart_all(&mut self) {
        for at in 0..self.plain.len() {
            self.target_restarts(at);
            self.plain[at].target.recorder.clear_behaviours();
        }
        for at in 0..self.engines.len() {
            self.engine_restarts(at, false);
        }
        self.later
            .retain(|(_, later)| !matches!(later, Later::LateWrite(..) | Later::WriteAgain(_)));
        let until = Instant::now() + Duration::from_millis(RECOVERY_MS + self.soak.slack_ms);
        let mut in_a_row = 0;
        while in_a_row < ROUNDS && Instant::now() < until {
            let serves = |address| {
                is_served(address) && is_answered_well(address, &generation_request(&fresh_id()))
            };
            let served = self.boxes.iter().all(|one| serves(one.callers));
            in_a_row = if served { in_a_row + 1 } else { 0 };
            std::thread::sleep(LOOK_EACH);
        }
        self.history.served_by_next_lives = in_a_row >= ROUNDS;
    }
}

/// Whether a box serves a call now.
pub(crate) fn is_served(address: SocketAddr) -> bool {
    is_answered_well(address, &call_request(&fresh_id(), "/safe/x", "", ""))
}

/// Whether a box answers a request as it is to.
fn is_answered_well(address: SocketAddr, request: &[u8]) -> bool {
    let channel = Caller::try_connect_with_timeout(address, Duration::from_secs(2));
    let answer = channel.and_then(|mut channel| {
        let sent = channel.try_send(request);
        sent.then(|| channel.read_response()).flatten()
    });
    answer.is_some_and(|got| got.status < 500)
}
