//! Disturbances of engines: for a part of a second all that runs there takes longer. They are known by their share of the
//! time, by how much longer events take meanwhile, and by how long one lasts.

use crate::pace::steps::DISTURBED_RATIO;

/// What is left of an observation's weight each time a new one comes: it counts half after 34 of them.
const FORGETTING: f64 = 0.98;
/// Weight of the pool's mean, in observations, that an engine's own are mixed with: a prior for one that has few.
const POOL_WEIGHT: f64 = 10.0;
/// Bounds of how long one disturbance lasts: shorter ones hit no whole event, longer ones are the engine's speed.
const SPELL_MS: (f64, f64) = (20.0, 5_000.0);
/// The most that events may take longer: what is beyond is a standstill.
const STRENGTH_MAX: f64 = 8.0;

/// What one telling said: how much longer events took than expected.
#[derive(Clone, Copy, Debug)]
pub struct Excess {
    /// On the mean, relative to what was expected.
    pub mean: f64,
    /// The longest, relative to what was expected.
    pub longest: f64,
    /// Time that it covers.
    pub over_ms: f64,
}

/// What was seen of disturbances, with older observations counting less.
#[derive(Clone, Copy, Debug, Default)]
pub struct Disturbances {
    observations: f64,
    over_ms: f64,
    excess: f64,
    hits: f64,
    strength: f64,
}

/// A disturbance as it is expected.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Disturbance {
    /// Share of the time.
    pub share: f64,
    /// How many times longer events take meanwhile.
    pub strength: f64,
    /// How long one lasts.
    pub spell_ms: f64,
}

impl Disturbances {
    /// Takes one telling in.
    pub fn observe(&mut self, excess: &Excess) {
        let hit = f64::from(u8::from(excess.longest > DISTURBED_RATIO));
        let longest = excess.longest.min(STRENGTH_MAX);
        self.observations = self.observations * FORGETTING + 1.0;
        self.over_ms = self.over_ms * FORGETTING + excess.over_ms;
        self.excess = self.excess * FORGETTING + hit * (excess.mean.min(longest) - 1.0).max(0.0);
        self.hits = self.hits * FORGETTING + hit;
        self.strength = self.strength * FORGETTING + hit * longest;
    }

    /// Whether anything was seen.
    pub fn is_known(&self) -> bool {
        self.observations > 0.0
    }

    fn mixed(&self, pool: &Self) -> Self {
        let weight = POOL_WEIGHT / pool.observations.max(POOL_WEIGHT);
        let with = |own: f64, pool: f64| own + weight * pool;
        Self {
            observations: with(self.observations, pool.observations),
            over_ms: with(self.over_ms, pool.over_ms),
            excess: with(self.excess, pool.excess),
            hits: with(self.hits, pool.hits),
            strength: with(self.strength, pool.strength),
        }
    }

    /// What is expected of an engine, by what was seen of it and of its pool; none where nothing was disturbed.
    pub fn expected(&self, pool: &Self) -> Option<Disturbance> {
        let all = self.mixed(pool);
        if all.hits <= 0.0 || all.observations <= 0.0 {
            return None;
        }
        let strength = (all.strength / all.hits).max(DISTURBED_RATIO);
        let share = (all.excess / all.observations / (strength - 1.0)).clamp(0.001, 0.9);
        // The chance that one telling has a disturbance follows from the share and from how long one lasts.
        let hit_share = (all.hits / all.observations).clamp(share, 0.99);
        let over_ms = all.over_ms / all.observations;
        let missed = ((1.0 - hit_share) / (1.0 - share)).min(0.999).ln();
        let spell_ms = over_ms * share / (-(1.0 - share) * missed);
        Some(Disturbance {
            share,
            strength,
            spell_ms: spell_ms.clamp(SPELL_MS.0, SPELL_MS.1),
        })
    }
}

#[cfg(test)]
#[path = "disturbance_tests.rs"]
mod tests;
