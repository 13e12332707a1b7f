//! Estimates answer lengths with a product-limit estimator (Kaplan and Meier, 1958) on logarithmic
//! bins of output length. Each bin counts the answers that reached it and those that ended in it,
//! updated while answers run. Cancelled and running answers count as reached but not as ended, so
//! the estimate is not biased short when engines are crowded.

use prelude::AccountId;
use std::collections::HashMap;
use std::hash::{BuildHasherDefault, Hasher};

/// Bins per doubling of the length.
const BINS_PER_DOUBLING: usize = 4;
/// Number of doublings covered: up to 131,072 tokens.
const DOUBLINGS: usize = 17;
const BINS: usize = BINS_PER_DOUBLING * DOUBLINGS;
/// Number of answers after which the weight of an observation is halved.
const HALF_LIFE_ANSWERS: f64 = 2000.0;
/// Weight of the pool's estimate in a class's bin, in answers.
const POOL_WEIGHT: f64 = 20.0;
/// Prior hazard of a bin: the share of answers that end in it.
const PRIOR_HAZARD: f64 = 0.08;
/// Prior hazard of bins below [`PRIOR_SHORT_TOKENS`].
const PRIOR_SHORT_HAZARD: f64 = 0.01;
const PRIOR_SHORT_TOKENS: f64 = 16.0;
/// Weight of the prior, in answers.
const PRIOR_WEIGHT: f64 = 5.0;
/// Number of changes after which a survival table is recomputed.
const CHANGES_PER_TABLE: u32 = 32;
/// Multiplier with evenly spread bits: 2^64 divided by the golden ratio, rounded to an odd number.
const HASH_FACTOR: u64 = 0x9e37_79b9_7f4a_7c15;
/// Weights are rescaled to one above this limit.
const WEIGHT_LIMIT: f64 = 1e12;

/// A class of answers with similar lengths.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct LengthClass {
    /// The account.
    pub account: AccountId,
    /// Kind of request: whether it is urgent, streamed, or limited to a short answer.
    pub kind: u8,
}

/// How a stream ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StreamEnd {
    /// The model finished its answer.
    Finished,
    /// It was cancelled, truncated or lost, and would have been longer.
    Censored,
}

/// Lower bounds of the bins within one doubling, relative to its start.
const BIN_BOUNDS: [f64; BINS_PER_DOUBLING + 1] = [
    1.0,
    1.189_207_115_002_721,
    std::f64::consts::SQRT_2,
    1.681_792_830_507_429,
    2.0,
];

/// The lower bound of a bin, in tokens.
fn bin_start(bin: usize) -> f64 {
    let doubling = (1_u64 << (bin / BINS_PER_DOUBLING)) as f64;
    doubling * BIN_BOUNDS[bin % BINS_PER_DOUBLING]
}

/// Layout of a 64-bit float: fraction bits and exponent bias.
const FRACTION_BITS: u32 = 52;
const EXPONENT_BIAS: u64 = 1_023;

/// Prior hazard of a bin and its weight.
fn prior(bin: usize) -> (f64, f64) {
    let is_short = bin_start(bin) < PRIOR_SHORT_TOKENS;
    let hazard = if is_short {
        PRIOR_SHORT_HAZARD
    } else {
        PRIOR_HAZARD
    };
    (hazard, PRIOR_WEIGHT)
}

/// The bin of a length. The exponent of the float gives the doubling without a logarithm.
fn bin_of(tokens: f64) -> usize {
    let bits = tokens.max(1.0).to_bits();
    let doubling = ((bits >> FRACTION_BITS) - EXPONENT_BIAS) as usize;
    if doubling >= DOUBLINGS {
        return BINS - 1;
    }
    let fraction = bits & ((1 << FRACTION_BITS) - 1);
    let ratio = f64::from_bits(fraction | (EXPONENT_BIAS << FRACTION_BITS));
    let bounds = BIN_BOUNDS[1..BINS_PER_DOUBLING].iter();
    let passed = bounds.filter(|bound| ratio >= **bound).count();
    doubling * BINS_PER_DOUBLING + passed
}

#[derive(Clone, Debug)]
pub(crate) struct Bins {
    reached: [f64; BINS],
    ended: [f64; BINS],
    weight: f64,
    /// Probability of reaching the start of each bin, precomputed because a forecast needs hundreds
    /// of values at a time.
    survival: [f64; BINS + 1],
    changes: u32,
}

impl Bins {
    fn new() -> Self {
        let mut bins = Self {
            reached: [0.0; BINS],
            ended: [0.0; BINS],
            weight: 1.0,
            survival: [1.0; BINS + 1],
            changes: 0,
        };
        bins.tabulate(prior);
        bins
    }

    fn add_reached(&mut self, bin: usize, probability: f64) {
        self.reached[bin] += self.weight * probability;
    }

    fn add_ended(&mut self, bin: usize) {
        self.ended[bin] += self.weight;
    }

    /// Reduces the weight of everything observed so far.
    fn decay(&mut self) {
        self.weight *= (std::f64::consts::LN_2 / HALF_LIFE_ANSWERS).exp();
        if self.weight < WEIGHT_LIMIT {
            return;
        }
        let scale = self.weight.recip();
        self.reached.iter_mut().for_each(|value| *value *= scale);
        self.ended.iter_mut().for_each(|value| *value *= scale);
        self.weight = 1.0;
    }

    fn hazard(&self, bin: usize, prior: (f64, f64)) -> f64 {
        let (hazard, weight) = prior;
        let reached = self.reached[bin] / self.weight + weight;
        let ended = self.ended[bin] / self.weight + weight * hazard;
        (ended / reached).clamp(0.0, 0.999)
    }

    fn tabulate(&mut self, prior: impl Fn(usize) -> (f64, f64)) {
        let mut survival = 1.0;
        for bin in 0..BINS {
            self.survival[bin] = survival;
            survival *= 1.0 - self.hazard(bin, prior(bin));
        }
        self.survival[BINS] = survival;
        self.changes = 0;
    }

    /// The probability of an answer longer than `tokens`.
    fn survival_at(&self, tokens: f64) -> f64 {
        let tokens = tokens.max(1.0);
        let bin = bin_of(tokens);
        let start = bin_start(bin);
        let fraction = ((tokens - start) / (bin_start(bin + 1) - start)).clamp(0.0, 1.0);
        let low = self.survival[bin];
        low + fraction * (self.survival[bin + 1] - low)
    }
}

/// Survival of the answers of one class, given the tokens generated so far.
#[derive(Clone, Copy, Debug)]
pub struct ConditionalSurvival<'a> {
    bins: &'a Bins,
    generated: f64,
    /// Reciprocal of the probability of reaching the current length.
    inverse_survival: f64,
}

impl ConditionalSurvival<'_> {
    /// The probability of generating more than `more` further tokens.
    pub fn probability(&self, more: f64) -> f64 {
        self.bins.survival_at(self.generated + more) * self.inverse_survival
    }
}

/// Hashes a class with one multiplication per field, as a forecast looks up the class of each
/// stream.
#[derive(Clone, Copy, Debug, Default)]
struct ClassHasher(u64);

impl Hasher for ClassHasher {
    fn finish(&self) -> u64 {
        self.0
    }

    fn write(&mut self, bytes: &[u8]) {
        for byte in bytes {
            self.write_u64(u64::from(*byte));
        }
    }

    fn write_u8(&mut self, field: u8) {
        self.write_u64(u64::from(field));
    }

    fn write_u64(&mut self, field: u64) {
        let mixed = (self.0.rotate_left(5) ^ field).wrapping_mul(HASH_FACTOR);
        self.0 = mixed ^ (mixed >> 32);
    }
}

/// Length estimates of one pool. The estimate of a class shrinks towards that of the pool, bin by
/// bin.
#[derive(Clone, Debug)]
pub struct LengthModel {
    pool: Bins,
    classes: HashMap<LengthClass, Bins, BuildHasherDefault<ClassHasher>>,
}

impl Default for LengthModel {
    fn default() -> Self {
        Self {
            pool: Bins::new(),
            classes: HashMap::default(),
        }
    }
}

impl LengthModel {
    /// Records that a running answer of `class` grew from `from_tokens` to `to_tokens`.
    pub fn record_growth(&mut self, class: LengthClass, from_tokens: u32, to_tokens: u32) {
        let from = bin_of(f64::from(from_tokens.max(1)));
        let to = bin_of(f64::from(to_tokens.max(1)));
        if from == to {
            return;
        }
        let bins = self.classes.entry(class).or_insert_with(Bins::new);
        for bin in from..to {
            bins.add_reached(bin, 1.0);
            self.pool.add_reached(bin, 1.0);
        }
        self.record_change(class);
    }

    /// Records that an answer of `class` ended at `tokens`.
    pub fn record_end(&mut self, class: LengthClass, tokens: u32, end: StreamEnd) {
        let bin = bin_of(f64::from(tokens.max(1)));
        let bins = self.classes.entry(class).or_insert_with(Bins::new);
        for bins in [bins, &mut self.pool] {
            match end {
                StreamEnd::Finished => {
                    bins.add_reached(bin, 1.0);
                    bins.add_ended(bin);
                }
                StreamEnd::Censored => bins.add_reached(bin, 0.5),
            }
            bins.decay();
        }
        self.record_change(class);
    }

    /// The probability that an answer of `class` with `generated` tokens generates more than `more`
    /// further ones.
    pub fn survival(&self, class: LengthClass, generated: f64, more: f64) -> f64 {
        self.conditional_survival(class, generated)
            .probability(more)
    }

    /// The survival of answers of `class` that have generated `generated` tokens.
    pub fn conditional_survival(
        &self,
        class: LengthClass,
        generated: f64,
    ) -> ConditionalSurvival<'_> {
        let bins = self.classes.get(&class).unwrap_or(&self.pool);
        ConditionalSurvival {
            bins,
            generated,
            inverse_survival: bins.survival_at(generated).recip(),
        }
    }

    fn record_change(&mut self, class: LengthClass) {
        self.pool.changes += 1;
        if self.pool.changes >= CHANGES_PER_TABLE {
            self.pool.tabulate(prior);
        }
        let Some(bins) = self.classes.get_mut(&class) else {
            return;
        };
        bins.changes += 1;
        if bins.changes >= CHANGES_PER_TABLE {
            let pool = &self.pool;
            bins.tabulate(|bin| (pool.hazard(bin, prior(bin)), POOL_WEIGHT));
        }
    }
}

#[cfg(test)]
#[path = "length_tests.rs"]
mod tests;
