//! How far the pauses that were foretold came true: chances are weighed by it, so that an estimate that sees disturbances
//! where callers felt none does not send requests to worse engines.

/// What is left of an answer's weight each time a new one ends: it counts half after 138 of them, some seconds of a busy pool.
const FORGETTING: f64 = 0.995;
/// Pauses that count as foretold and felt from the start, so that one more or less changes little: a prior.
const PRIOR_PAUSES: f64 = 1.0;
/// Bounds of the weight: what was never felt may still come, and few pauses prove no estimate too low.
const WEIGHT: (f64, f64) = (0.1, 1.0);

/// Long pauses foretold and felt, with older ones counting less.
#[derive(Clone, Copy, Debug, Default)]
pub struct Calibration {
    foretold: f64,
    felt: f64,
}

impl Calibration {
    /// Takes in an answer that ended, with the chance of a long pause that was foretold for it.
    pub fn ended(&mut self, chance: f64, paused: bool) {
        self.foretold = self.foretold * FORGETTING + chance;
        self.felt = self.felt * FORGETTING + f64::from(u8::from(paused));
    }

    /// What a foretold chance counts for.
    pub fn weight(&self) -> f64 {
        let weight = (self.felt + PRIOR_PAUSES) / (self.foretold + PRIOR_PAUSES);
        weight.clamp(WEIGHT.0, WEIGHT.1)
    }
}

#[cfg(test)]
#[path = "calibration_tests.rs"]
mod tests;
