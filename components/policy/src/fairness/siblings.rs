//! Weighted service counters of one node's children. A window bounds them: a child saves up at most
//! [`FAIRNESS_WINDOW_MS`] of its share, and pays for no longer than that for capacity that others
//! left unused.

use std::collections::BTreeMap;

/// Bounds how long a child is served before or after its siblings for past service. An account that
/// returns has its share again after this time.
pub(crate) const FAIRNESS_WINDOW_MS: f64 = 2_000.0;

/// A child without requests stays for this time, so that the share of small accounts is not given
/// to a flooding one. On a few engines small accounts send a request every five seconds or more; a
/// shorter time detects a flood seconds too late.
const IDLE_RETENTION_MS: f64 = 6_000.0;

/// Half-life of requested tokens: bursts of a large account are shorter, floods are longer.
const DEMAND_HALF_LIFE_MS: f64 = 3_000.0;

/// Time in which boxes report past usage to a new dispatcher; each does so within a second.
const USAGE_REPORT_MS: f64 = 2_000.0;

/// Counters of one child.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Child {
    /// Service received, in engine milliseconds divided by its weight.
    pub service_ms: f64,
    /// Memory that its requests use, in tokens.
    pub tokens_in_use: f64,
    /// Prompt tokens requested, with exponential decay.
    pub requested_tokens: f64,
    /// Weight given with its last request.
    pub weight: f64,
    /// Time since it last had requests.
    pub idle_ms: f64,
    /// Number of waiting requests.
    pub waiting: u32,
    /// Number of running requests.
    pub running: u32,
    /// Part of `service_ms` that boxes reported recently.
    reported_ms: f64,
    /// Reported part of the initial `service_ms`, which was copied from a sibling.
    initial_reported_ms: f64,
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
    /// Service of the least served waiting child; never decreases.
    floor_ms: f64,
    /// Number of engines that the node is entitled to.
    entitled_engines: f64,
    /// Time left in which boxes may report past usage.
    reporting_left_ms: f64,
}

impl<K> Default for Siblings<K> {
    fn default() -> Self {
        Self {
            children: BTreeMap::new(),
            floor_ms: 0.0,
            entitled_engines: 1.0,
            reporting_left_ms: 0.0,
        }
    }
}

impl<K: Copy + Ord> Siblings<K> {
    /// Returns a child's counters. A new child starts level with the least served active child.
    pub fn child_mut(&mut self, key: K, weight: f64) -> &mut Child {
        if !self.children.contains_key(&key) {
            let least_served = self.least_served_active().copied().unwrap_or_default();
            let child = Child {
                service_ms: self.service_ms(key),
                initial_reported_ms: least_served.reported_ms + least_served.initial_reported_ms,
                ..Child::default()
            };
            self.children.insert(key, child);
        }
        let child = self.children.entry(key).or_default();
        child.weight = weight.max(f64::MIN_POSITIVE);
        child
    }

    /// Charges past usage that a box reports. A new child started with the service of a sibling;
    /// the part of it that boxes had reported is removed, as the child's own usage is now known.
    pub fn charge_reported(&mut self, key: K, weight: f64, ms: f64) {
        self.reporting_left_ms = USAGE_REPORT_MS;
        let child = self.child_mut(key, weight);
        let ms = ms / child.weight;
        child.service_ms += ms - std::mem::take(&mut child.initial_reported_ms);
        child.reported_ms += ms;
    }

    /// Adds a waiting request. A child that had none waiting has saved up at most one window.
    pub fn add_waiting(&mut self, key: K, weight: f64) {
        let child = self.child_mut(key, weight);
        child.waiting += 1;
        let is_first = child.waiting == 1;
        let min_ms = self.floor_ms - FAIRNESS_WINDOW_MS * self.fair_rate();
        let child = self.child_mut(key, weight);
        if is_first {
            child.service_ms = child.service_ms.max(min_ms);
        }
    }

    /// Charges for memory in use over the elapsed time, and clamps service to the window.
    pub fn advance(&mut self, elapsed_ms: f64, engine_tokens: f64, entitled_engines: f64) {
        self.entitled_engines = entitled_engines;
        let decay = (-elapsed_ms / DEMAND_HALF_LIFE_MS).exp2();
        for child in self.children.values_mut() {
            child.requested_tokens *= decay;
            child.service_ms += child.tokens_in_use / engine_tokens * elapsed_ms / child.weight;
        }
        let waiting = self.children.values().filter(|child| child.waiting > 0);
        let min_service_ms = waiting
            .map(|child| child.service_ms)
            .fold(f64::INFINITY, f64::min);
        if min_service_ms.is_finite() {
            self.floor_ms = self.floor_ms.max(min_service_ms);
        }
        let window_ms = FAIRNESS_WINDOW_MS * self.fair_rate();
        let (min_ms, max_ms) = (self.floor_ms - window_ms, self.floor_ms + window_ms);
        for child in self.children.values_mut() {
            child.service_ms = child.service_ms.clamp(min_ms, max_ms);
            child.idle_ms = match child.is_active() {
                true => 0.0,
                false => child.idle_ms + elapsed_ms,
            };
        }
        self.children
            .retain(|_, child| child.idle_ms <= IDLE_RETENTION_MS);
        self.reporting_left_ms -= elapsed_ms;
        if self.reporting_left_ms <= 0.0 {
            for child in self.children.values_mut() {
                (child.reported_ms, child.initial_reported_ms) = (0.0, 0.0);
            }
        }
    }

    /// Returns the service beyond the least served waiting child, in milliseconds of the fair
    /// share; negative if it received less.
    pub fn excess_ms(&self, key: K) -> f64 {
        let service_ms = self.service_ms(key);
        (service_ms - self.floor_ms) / self.fair_rate()
    }

    /// Returns a child's service, or the value that a new child would start with.
    pub fn service_ms(&self, key: K) -> f64 {
        if let Some(child) = self.children.get(&key) {
            return child.service_ms;
        }
        let least_served = self.least_served_active();
        least_served.map_or(self.floor_ms, |child| child.service_ms)
    }

    /// Returns the least served child with waiting or running requests.
    fn least_served_active(&self) -> Option<&Child> {
        let active = self.children.values().filter(|child| child.is_active());
        active.min_by(|one, other| one.service_ms.total_cmp(&other.service_ms))
    }

    /// Returns the fraction of the node that a child is entitled to among active children, counting
    /// itself as active.
    pub fn entitled_part(&self, key: K, weight: f64) -> f64 {
        let others = self
            .children
            .iter()
            .filter(|(other, child)| **other != key && child.is_active());
        let others: f64 = others.map(|(_, child)| child.weight).sum();
        weight / (weight + others)
    }

    /// Returns the fraction of the node that a child is entitled to among children that were active
    /// recently.
    pub fn recent_entitled_part(&self, key: K, weight: f64) -> f64 {
        let others = self.children.iter().filter(|(other, _)| **other != key);
        let others: f64 = others.map(|(_, child)| child.weight).sum();
        weight / (weight + others)
    }

    /// Returns a child's fraction of the tokens requested recently.
    pub fn requested_part(&self, key: K) -> f64 {
        let total: f64 = self
            .children
            .values()
            .map(|child| child.requested_tokens)
            .sum();
        let child = self.children.get(&key);
        child.map_or(0.0, |child| child.requested_tokens) / total.max(1.0)
    }

    /// Returns a child's fraction of the memory in use.
    pub fn held_part(&self, key: K) -> f64 {
        let total: f64 = self
            .children
            .values()
            .map(|child| child.tokens_in_use)
            .sum();
        let child = self.children.get(&key);
        child.map_or(0.0, |child| child.tokens_in_use) / total.max(1.0)
    }

    /// Returns the engine time per millisecond that a child of weight 1 is entitled to among active
    /// children.
    fn fair_rate(&self) -> f64 {
        let active = self.children.values().filter(|child| child.is_active());
        let weights: f64 = active.map(|child| child.weight).sum();
        let weights = if weights > 0.0 { weights } else { 1.0 };
        self.entitled_engines.max(f64::MIN_POSITIVE) / weights
    }
}
