//! What the children of one node have used, each divided by its weight, within a bounded window: nobody saves up more
//! than [`WINDOW_MS`] of its share, and nobody pays for longer for what it used while others left it.

use std::collections::BTreeMap;

/// For how long, at the most, a child's requests go before or behind those of its siblings for what was used. Callers
/// of an account that comes back have its share again after this time.
pub(crate) const WINDOW_MS: f64 = 2_000.0;

/// For how long a child counts as present that has no requests: what small accounts will ask is not given to one that floods.
/// At a few engines they come every five seconds or more; were they forgotten before, a flood would be told seconds later.
const PRESENT_MS: f64 = 6_000.0;

/// Time after which what was asked counts half: a large account's bursts last for less, a flood for longer.
const ASKED_HALF_LIFE_MS: f64 = 3_000.0;

/// For how long boxes tell a dispatcher that is new what was used: each does so within a second.
const TELLING_MS: f64 = 2_000.0;

/// One child.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Child {
    /// What it used, in milliseconds of one engine, divided by its weight.
    pub used_ms: f64,
    /// Memory that its requests hold, in tokens.
    pub held_tokens: f64,
    /// Tokens of the prompts that were asked for of late; what came longer ago counts less.
    pub asked_tokens: f64,
    /// Its weight, as its last request told it.
    pub weight: f64,
    /// For how long it had no requests.
    pub idle_ms: f64,
    /// Requests that wait.
    pub waiting: u32,
    /// Requests that run.
    pub running: u32,
    /// What boxes told lately of its use, of `used_ms`.
    told_ms: f64,
    /// What boxes had told of the child with which it was put level when it came, of `used_ms`.
    level_told_ms: f64,
}

impl Child {
    fn is_active(&self) -> bool {
        self.waiting + self.running > 0
    }
}

/// The children of one node.
#[derive(Clone, Debug)]
pub(crate) struct Siblings<K> {
    pub children: BTreeMap<K, Child>,
    /// What the least served child that waits had used; it never falls.
    floor_ms: f64,
    /// Engines that the node is entitled to.
    engines: f64,
    /// For how long boxes may still tell what was used.
    telling_ms: f64,
}

impl<K> Default for Siblings<K> {
    fn default() -> Self {
        Self {
            children: BTreeMap::new(),
            floor_ms: 0.0,
            engines: 1.0,
            telling_ms: 0.0,
        }
    }
}

impl<K: Copy + Ord> Siblings<K> {
    /// A child's entry; one that is new stands where the least served one stands that waits or runs.
    pub fn child(&mut self, key: K, weight: f64) -> &mut Child {
        if !self.children.contains_key(&key) {
            let level = self.least_active().copied().unwrap_or_default();
            let child = Child {
                used_ms: self.used_ms(key),
                level_told_ms: level.told_ms + level.level_told_ms,
                ..Child::default()
            };
            self.children.insert(key, child);
        }
        let child = self.children.entry(key).or_default();
        child.weight = weight.max(f64::MIN_POSITIVE);
        child
    }

    /// Charges what a box tells that a child used before. The child was put level with one whose use was told before: that
    /// part is not its own, whose use is known now.
    pub fn told(&mut self, key: K, weight: f64, ms: f64) {
        self.telling_ms = TELLING_MS;
        let child = self.child(key, weight);
        let ms = ms / child.weight;
        child.used_ms += ms - std::mem::take(&mut child.level_told_ms);
        child.told_ms += ms;
    }

    /// Notes that a request of a child waits. One that none waited of has saved up a window at the most.
    pub fn waits(&mut self, key: K, weight: f64) {
        let child = self.child(key, weight);
        child.waiting += 1;
        let is_first = child.waiting == 1;
        let least_ms = self.floor_ms - WINDOW_MS * self.fair_rate();
        let child = self.child(key, weight);
        if is_first {
            child.used_ms = child.used_ms.max(least_ms);
        }
    }

    /// Charges for the time in which memory was held, and forgets what lies outside the window.
    pub fn pass(&mut self, elapsed_ms: f64, engine_tokens: f64, engines: f64) {
        self.engines = engines;
        let asked_left = (-elapsed_ms / ASKED_HALF_LIFE_MS).exp2();
        for child in self.children.values_mut() {
            child.asked_tokens *= asked_left;
            child.used_ms += child.held_tokens / engine_tokens * elapsed_ms / child.weight;
        }
        let waiting = self.children.values().filter(|child| child.waiting > 0);
        let least = waiting
            .map(|child| child.used_ms)
            .fold(f64::INFINITY, f64::min);
        if least.is_finite() {
            self.floor_ms = self.floor_ms.max(least);
        }
        let window_ms = WINDOW_MS * self.fair_rate();
        let (least_ms, most_ms) = (self.floor_ms - window_ms, self.floor_ms + window_ms);
        for child in self.children.values_mut() {
            child.used_ms = child.used_ms.clamp(least_ms, most_ms);
            child.idle_ms = match child.is_active() {
                true => 0.0,
                false => child.idle_ms + elapsed_ms,
            };
        }
        self.children.retain(|_, child| child.idle_ms <= PRESENT_MS);
        self.telling_ms -= elapsed_ms;
        if self.telling_ms <= 0.0 {
            for child in self.children.values_mut() {
                (child.told_ms, child.level_told_ms) = (0.0, 0.0);
            }
        }
    }

    /// What a child has used beyond the least served one that waits, as time in which it would use so much of its fair
    /// share; below zero where it used less.
    pub fn ahead_ms(&self, key: K) -> f64 {
        let used_ms = self.used_ms(key);
        (used_ms - self.floor_ms) / self.fair_rate()
    }

    /// What a child has used, or will be taken to have used once it comes.
    pub fn used_ms(&self, key: K) -> f64 {
        if let Some(child) = self.children.get(&key) {
            return child.used_ms;
        }
        let least = self.least_active();
        least.map_or(self.floor_ms, |child| child.used_ms)
    }

    /// The least served child that waits or runs.
    fn least_active(&self) -> Option<&Child> {
        let active = self.children.values().filter(|child| child.is_active());
        active.min_by(|one, other| one.used_ms.total_cmp(&other.used_ms))
    }

    /// The part of the node that a child is entitled to among those that wait or run, were it one of them.
    pub fn entitled_part(&self, key: K, weight: f64) -> f64 {
        let others = self
            .children
            .iter()
            .filter(|(other, child)| **other != key && child.is_active());
        let others: f64 = others.map(|(_, child)| child.weight).sum();
        weight / (weight + others)
    }

    /// The part of the node that a child is entitled to among those that came lately.
    pub fn present_part(&self, key: K, weight: f64) -> f64 {
        let others = self.children.iter().filter(|(other, _)| **other != key);
        let others: f64 = others.map(|(_, child)| child.weight).sum();
        weight / (weight + others)
    }

    /// The part of what was asked of the node lately that a child asked.
    pub fn asked_part(&self, key: K) -> f64 {
        let all: f64 = self.children.values().map(|child| child.asked_tokens).sum();
        let own = self.children.get(&key);
        own.map_or(0.0, |child| child.asked_tokens) / all.max(1.0)
    }

    /// The part of the node's held memory that a child holds.
    pub fn held_part(&self, key: K) -> f64 {
        let all: f64 = self.children.values().map(|child| child.held_tokens).sum();
        let own = self.children.get(&key);
        own.map_or(0.0, |child| child.held_tokens) / all.max(1.0)
    }

    /// What a child of weight 1 is entitled to use in a millisecond, among those that wait or run.
    fn fair_rate(&self) -> f64 {
        let active = self.children.values().filter(|child| child.is_active());
        let weights: f64 = active.map(|child| child.weight).sum();
        let weights = if weights > 0.0 { weights } else { 1.0 };
        self.engines.max(f64::MIN_POSITIVE) / weights
    }
}
