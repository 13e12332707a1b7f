//! How long will an answer be? A product-limit estimate (Kaplan and Meier, 1958) on logarithmic bins
//! of output length, kept up while answers run: each bin counts the answers that reached it and those
//! that ended in it. Answers that were cut, or that still run, count as reached and not as ended, so
//! the estimate is not biased short when engines are crowded.

use prelude::AccountId;
use std::collections::HashMap;
use std::hash::{BuildHasherDefault, Hasher};

/// Bins to each doubling of the length.
const BINS_PER_DOUBLING: usize = 4;
/// Doublings covered: up to 131,072 tokens.
const DOUBLINGS: usize = 17;
const BINS: usize = BINS_PER_DOUBLING * DOUBLINGS;
/// Answers after which an old observation counts half.
const HALF_LIFE_ANSWERS: f64 = 2000.0;
/// How many answers of its own a class needs in a bin to weigh as much as its parent.
const PARENT_WEIGHT: f64 = 20.0;
/// Share of answers that end in a bin where nothing is known.
const PRIOR_HAZARD: f64 = 0.08;
/// The same for the shortest answers, below [`PRIOR_SHORT_TOKENS`].
const PRIOR_SHORT_HAZARD: f64 = 0.01;
const PRIOR_SHORT_TOKENS: f64 = 16.0;
/// Weight of that prior, in answers.
const PRIOR_WEIGHT: f64 = 5.0;
/// Changes after which a survival table is computed anew.
const CHANGES_PER_TABLE: u32 = 32;
/// An odd factor whose bits are spread evenly (two to the 64th by the golden ratio).
const HASH_FACTOR: u64 = 0x9e37_79b9_7f4a_7c15;
/// Weights are brought back to one when they pass this.
const WEIGHT_LIMIT: f64 = 1e12;

/// Whose answers are alike in length.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct LengthClass {
    /// The account.
    pub account: AccountId,
    /// Kind of request: whether it is urgent, streamed, or bounded short.
    pub kind: u8,
}

/// How an answer came to its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// The model ended it.
    Finished,
    /// It was cut, cancelled or lost: it would have been longer.
    Censored,
}

/// The first lengths of the bins of one doubling, as parts of its first length.
const PARTS: [f64; BINS_PER_DOUBLING + 1] = [
    1.0,
    1.189_207_115_002_721,
    std::f64::consts::SQRT_2,
    1.681_792_830_507_429,
    2.0,
];

/// The first length in a bin.
fn bin_start(bin: usize) -> f64 {
    let doubling = (1_u64 << (bin / BINS_PER_DOUBLING)) as f64;
    doubling * PARTS[bin % BINS_PER_DOUBLING]
}

/// Bits of a number of 64 bits that stand below its exponent, and what is added to that exponent.
const FRACTION_BITS: u32 = 52;
const EXPONENT_BIAS: u64 = 1_023;

/// What is taken for known of a bin before anything was observed: hazard and weight.
fn prior(bin: usize) -> (f64, f64) {
    let short = bin_start(bin) < PRIOR_SHORT_TOKENS;
    let hazard = if short {
        PRIOR_SHORT_HAZARD
    } else {
        PRIOR_HAZARD
    };
    (hazard, PRIOR_WEIGHT)
}

/// The bin of a length: its doubling is the exponent of the number, which costs no logarithm.
fn bin_of(tokens: f64) -> usize {
    let bits = tokens.max(1.0).to_bits();
    let doubling = ((bits >> FRACTION_BITS) - EXPONENT_BIAS) as usize;
    if doubling >= DOUBLINGS {
        return BINS - 1;
    }
    let fraction = bits & ((1 << FRACTION_BITS) - 1);
    let part = f64::from_bits(fraction | (EXPONENT_BIAS << FRACTION_BITS));
    let above = PARTS[1..BINS_PER_DOUBLING].iter();
    let within = above.filter(|first| part >= **first).count();
    doubling * BINS_PER_DOUBLING + within
}

#[derive(Clone, Debug)]
pub(crate) struct Bins {
    reached: [f64; BINS],
    ended: [f64; BINS],
    weight: f64,
    /// Share of answers that reach each bin's start. A table, as a forecast asks for hundreds of shares at a time.
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

    fn reach(&mut self, bin: usize, share: f64) {
        self.reached[bin] += self.weight * share;
    }

    fn end(&mut self, bin: usize) {
        self.ended[bin] += self.weight;
    }

    /// Makes everything observed so far weigh a little less.
    fn age(&mut self) {
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

    /// The share of answers longer than `tokens`.
    fn longer(&self, tokens: f64) -> f64 {
        let tokens = tokens.max(1.0);
        let bin = bin_of(tokens);
        let start = bin_start(bin);
        let part = ((tokens - start) / (bin_start(bin + 1) - start)).clamp(0.0, 1.0);
        let low = self.survival[bin];
        low + part * (self.survival[bin + 1] - low)
    }
}

/// Answers of one class that have come to a length.
#[derive(Clone, Copy, Debug)]
pub struct Survivor<'a> {
    bins: &'a Bins,
    generated: f64,
    /// One by the share of answers that come to this length.
    by_now: f64,
}

impl Survivor<'_> {
    /// The share of them that goes on for more than `more` tokens.
    pub fn share(&self, more: f64) -> f64 {
        self.bins.longer(self.generated + more) * self.by_now
    }
}

/// Hashes a class by one multiplication a part: a forecast looks the class of each stream up.
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

    fn write_u8(&mut self, part: u8) {
        self.write_u64(u64::from(part));
    }

    fn write_u64(&mut self, part: u64) {
        let mixed = (self.0.rotate_left(5) ^ part).wrapping_mul(HASH_FACTOR);
        self.0 = mixed ^ (mixed >> 32);
    }
}

/// Length estimates for one pool: a class is shrunk towards the whole pool, bin by bin.
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
    /// Notes that an answer of `class` grew from `from_tokens` to `to_tokens` and goes on.
    pub fn grew(&mut self, class: LengthClass, from_tokens: u32, to_tokens: u32) {
        let from = bin_of(f64::from(from_tokens.max(1)));
        let to = bin_of(f64::from(to_tokens.max(1)));
        if from == to {
            return;
        }
        let bins = self.classes.entry(class).or_insert_with(Bins::new);
        for bin in from..to {
            bins.reach(bin, 1.0);
            self.pool.reach(bin, 1.0);
        }
        self.changed(class);
    }

    /// Notes that an answer of `class` ended at `tokens`.
    pub fn ended(&mut self, class: LengthClass, tokens: u32, end: End) {
        let bin = bin_of(f64::from(tokens.max(1)));
        let bins = self.classes.entry(class).or_insert_with(Bins::new);
        for bins in [bins, &mut self.pool] {
            match end {
                End::Finished => {
                    bins.reach(bin, 1.0);
                    bins.end(bin);
                }
                End::Censored => bins.reach(bin, 0.5),
            }
            bins.age();
        }
        self.changed(class);
    }

    /// The share of answers that go on for more than `more` tokens, among those of `class` that have
    /// `generated` already.
    pub fn survival(&self, class: LengthClass, generated: f64, more: f64) -> f64 {
        self.survivor(class, generated).share(more)
    }

    /// The answers of `class` that have `generated` tokens already.
    pub fn survivor(&self, class: LengthClass, generated: f64) -> Survivor<'_> {
        let bins = self.classes.get(&class).unwrap_or(&self.pool);
        Survivor {
            bins,
            generated,
            by_now: bins.longer(generated).recip(),
        }
    }

    fn changed(&mut self, class: LengthClass) {
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
            bins.tabulate(|bin| (pool.hazard(bin, prior(bin)), PARENT_WEIGHT));
        }
    }
}

#[cfg(test)]
#[path = "length_tests.rs"]
mod tests;
