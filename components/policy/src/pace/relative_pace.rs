//! An engine's own speed, which lasts for its life. A disturbance only makes events slower, so a low quantile of what was
//! seen lately is the engine itself; what it says of itself counts until enough of its events were seen.

use std::collections::VecDeque;

/// Observations that are kept: each stream reports about one a second.
const KEPT: usize = 12;
/// Quantile of them, from the fastest, that is taken for the engine's own speed: it stays as it is even if the engine is
/// disturbed for a third of the time.
const QUANTILE: f64 = 0.3;
/// Tellings from which events outweigh what the engine says of itself.
const TRUSTED: usize = 4;
/// Time without an event after which the speed's difference from the usual counts half, so that the engine is tried again.
const HALF_LIFE_MS: f64 = 20_000.0;
/// Quantile of the known engines' speeds, from the fastest, that an engine of which nothing is known is taken to have: it
/// is empty, and as a usual one it would get streams that it may be too slow for.
const UNKNOWN: f64 = 0.75;
/// Speeds closer to the usual than this are the usual: the figures are not more exact.
const USUAL: std::ops::RangeInclusive<f64> = 0.87..=1.15;

/// The last observations, with their low quantile worked out as they come: decisions read it often.
#[derive(Clone, Debug, Default)]
struct Recent {
    kept: VecDeque<f64>,
    own: Option<f64>,
}

impl Recent {
    fn keep(&mut self, value: f64) {
        self.kept.push_back(value);
        if self.kept.len() > KEPT {
            self.kept.pop_front();
        }
        let mut sorted: Vec<f64> = self.kept.iter().copied().collect();
        sorted.sort_by(f64::total_cmp);
        let at = ((sorted.len() - 1) as f64 * QUANTILE) as usize;
        self.own = Some(sorted[at]);
    }
}

/// What is known of one engine's speed. 1 is usual; 2 takes twice as long.
#[derive(Clone, Debug, Default)]
pub struct Speed {
    seen: Recent,
    said: Recent,
    heard_ms: u64,
}

/// What is usual among the engines of a pool.
#[derive(Clone, Copy, Debug)]
pub struct Usual {
    seen: f64,
    said: f64,
    /// Speed that an engine is taken to have while nothing is known of it.
    unknown: f64,
}

impl Default for Usual {
    fn default() -> Self {
        Self {
            seen: 1.0,
            said: 1.0,
            unknown: 1.0,
        }
    }
}

fn median(mut values: Vec<f64>) -> f64 {
    values.sort_by(f64::total_cmp);
    values.get(values.len() / 2).copied().unwrap_or(1.0)
}

impl Usual {
    /// The middle one of all engines, by their events and by their own word.
    pub fn of<'a>(speeds: impl Iterator<Item = &'a Speed> + Clone) -> Self {
        let seen = speeds.clone().filter_map(|speed| speed.seen.own);
        let said = speeds.clone().filter_map(|speed| speed.said.own);
        let mut usual = Self {
            seen: median(seen.collect()),
            said: median(said.collect()),
            unknown: 1.0,
        };
        let mut known: Vec<f64> = speeds.filter_map(|speed| speed.raw(&usual)).collect();
        known.sort_by(f64::total_cmp);
        let at = (known.len() as f64 * UNKNOWN) as usize;
        usual.unknown = known.get(at).copied().unwrap_or(1.0).max(1.0);
        usual
    }
}

impl Speed {
    /// Takes in how long its events took, relative to an engine of usual speed under the same load.
    pub fn seen(&mut self, relative: f64, now_ms: u64) {
        self.seen.keep(relative);
        self.heard_ms = now_ms;
    }

    /// Takes in how slow it says that work is there.
    pub fn said(&mut self, relative: f64, now_ms: u64) {
        self.said.keep(relative);
        self.heard_ms = now_ms;
    }

    /// Its speed by all that is known; none where nothing is.
    fn raw(&self, usual: &Usual) -> Option<f64> {
        let seen = self.seen.own.map(|seen| seen / usual.seen);
        let said = self.said.own.map(|said| said / usual.said);
        match self.seen.kept.len() >= TRUSTED {
            true => seen,
            // A disturbance only makes either slower.
            false => match (seen, said) {
                (Some(seen), Some(said)) => Some(seen.min(said)),
                (seen, said) => seen.or(said),
            },
        }
    }

    /// Its speed relative to the pool's, drawn towards the usual the longer nothing was heard of it.
    pub fn relative(&self, usual: &Usual, now_ms: u64) -> f64 {
        let relative = match self.raw(usual) {
            Some(raw) => {
                let silent_ms = now_ms.saturating_sub(self.heard_ms) as f64;
                let kept = (-silent_ms / HALF_LIFE_MS * std::f64::consts::LN_2).exp();
                1.0 + (raw - 1.0) * kept
            }
            None => usual.unknown,
        };
        match USUAL.contains(&relative) {
            true => 1.0,
            false => relative,
        }
    }
}

#[cfg(test)]
#[path = "relative_pace_tests.rs"]
mod tests;
