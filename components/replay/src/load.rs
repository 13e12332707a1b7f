//! A load pattern, as a file describes it.

use crate::engine::EngineSpec;
use policy::PoolSettings;
use serde::Deserialize;
use thiserror::Error;

/// A load pattern. Times are in milliseconds from its beginning.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Load {
    /// What it is for, in a line.
    pub about: String,
    /// How long requests come.
    pub length_ms: u64,
    /// Requests that come before this time are not counted: the pool is still filling.
    pub counted_from_ms: u64,
    /// How many engines there are.
    pub engines: u32,
    /// Data centres among which engines and boxes are divided.
    pub data_centres: u32,
    /// So many times slower than their kind engines are, in turn.
    pub slowness: Vec<f64>,
    /// What each engine is.
    pub engine: EngineSpec,
    /// Accounts among which requests are divided; the first half of the numbers get most of them.
    pub accounts: u32,
    /// Kinds of requests.
    pub kinds: Vec<Kind>,
    /// How the rate swings.
    #[serde(default)]
    pub wave: Option<Wave>,
    /// Engines that are taken away and replaced all the time.
    #[serde(default)]
    pub reclaims: Option<Reclaims>,
    /// What happens at set times.
    #[serde(default)]
    pub events: Vec<Event>,
    /// Settings of the pool.
    #[serde(default)]
    pub settings: PoolSettings,
}

/// A kind of requests.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Kind {
    /// Its name, as figures give it.
    pub name: String,
    /// 0 for the most urgent.
    pub rank: u8,
    /// Requests a second, on the mean.
    pub per_s: f64,
    /// Tokens of prompts.
    pub prompt_tokens: Lengths,
    /// Tokens of answers.
    pub answer_tokens: Lengths,
    /// Spread of callers' guesses of the answer: the deviation of their logarithm.
    pub guess_spread: f64,
    /// When the first token is due.
    pub goal_ms: u64,
    /// The longest pause between tokens that is not too long.
    pub pause_goal_ms: u64,
    /// How long a caller stays.
    pub stay_ms: u64,
    /// What an answer in time is worth.
    pub worth: f64,
    /// Share of that for a late answer.
    pub late_share: f64,
}

/// Lengths in tokens: lognormal, cut at the most.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Lengths {
    /// Mean, before the cut.
    pub mean: f64,
    /// Standard deviation as a share of the mean.
    pub spread: f64,
    /// The most.
    pub most: u32,
}

/// A rate that swings.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Wave {
    /// Largest deviation from the mean, as a share of it.
    pub swing: f64,
    /// From one peak to the next.
    pub period_ms: u64,
}

/// Engines that are taken away with a notice and replaced.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Reclaims {
    /// Pause between two.
    pub each_ms: u64,
    /// Share of the engines that goes each time.
    pub share: f64,
    /// From the notice to the end.
    pub notice_ms: u64,
    /// From the notice until others are there.
    pub back_ms: u64,
}

/// Something that happens for a time.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Event {
    /// When it begins.
    pub at_ms: u64,
    /// How long it lasts.
    pub for_ms: u64,
    /// What happens.
    pub what: Happening,
}

/// What happens.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum Happening {
    /// More requests of a kind come, or of all kinds.
    Burst {
        /// The kind's name; none for all.
        kind: Option<String>,
        /// So many times the usual.
        times: f64,
    },
    /// Prompts of a kind are longer.
    LongPrompts {
        /// The kind's name; none for all.
        kind: Option<String>,
        /// So many times the usual.
        times: f64,
    },
    /// Answers of a kind are longer.
    LongAnswers {
        /// The kind's name; none for all.
        kind: Option<String>,
        /// So many times the usual.
        times: f64,
    },
    /// The engines of a data centre get nothing new.
    Evacuate {
        /// Which data centre.
        data_centre: u32,
    },
    /// Engines crash without notice, and are back after the time.
    Crash {
        /// Share of the engines.
        share: f64,
    },
    /// Engines turn slow.
    Slow {
        /// Share of the engines.
        share: f64,
        /// So many times slower.
        times: f64,
    },
    /// One account sends this share of all requests.
    Flood {
        /// Share of the requests, besides those of the others.
        share: f64,
    },
}

/// Why a load pattern cannot be played.
#[derive(Clone, Debug, Error, PartialEq)]
pub enum LoadError {
    /// The file does not have the form of a load pattern.
    #[error("not a load pattern: {0}")]
    Form(String),
    /// A field has a value that cannot be played.
    #[error("`{field}` must be {must}")]
    Value {
        /// The field.
        field: &'static str,
        /// What it must be.
        must: &'static str,
    },
    /// An event names a kind that there is not.
    #[error("no kind is named `{0}`")]
    NoKind(String),
}

impl Load {
    /// Reads a load pattern.
    ///
    /// # Errors
    /// The first mistake that was found.
    pub fn read(text: &str) -> Result<Self, LoadError> {
        let load: Self =
            serde_saphyr::from_str(text).map_err(|error| LoadError::Form(error.to_string()))?;
        load.check()?;
        Ok(load)
    }

    fn check(&self) -> Result<(), LoadError> {
        let must = |holds: bool, field, must| match holds {
            true => Ok(()),
            false => Err(LoadError::Value { field, must }),
        };
        must(self.length_ms > 0, "length_ms", "above zero")?;
        must(self.engines > 0, "engines", "above zero")?;
        must(self.data_centres > 0, "data_centres", "above zero")?;
        must(self.accounts > 0, "accounts", "above zero")?;
        let plays = |slowness: &f64| slowness.is_finite() && *slowness > 0.0;
        let slowness = !self.slowness.is_empty() && self.slowness.iter().all(plays);
        must(slowness, "slowness", "a list of numbers above zero")?;
        must(!self.kinds.is_empty(), "kinds", "at least one")?;
        must(
            self.engine.is_playable(),
            "engine",
            "of a memory, a batch, a step and a chunk above zero",
        )?;
        for kind in &self.kinds {
            let finite = kind.per_s.is_finite() && kind.per_s >= 0.0;
            must(finite, "per_s", "a number that is not negative")?;
            for lengths in [kind.prompt_tokens, kind.answer_tokens] {
                let plays = lengths.mean >= 1.0 && lengths.spread >= 0.0 && lengths.most > 0;
                must(plays, "lengths", "of a mean of one or more, and a most")?;
            }
        }
        for event in &self.events {
            let named = match &event.what {
                Happening::Burst { kind, .. }
                | Happening::LongPrompts { kind, .. }
                | Happening::LongAnswers { kind, .. } => kind.as_ref(),
                _ => None,
            };
            let unknown = named.filter(|name| self.kinds.iter().all(|kind| kind.name != **name));
            if let Some(name) = unknown {
                return Err(LoadError::NoKind(name.clone()));
            }
        }
        Ok(())
    }
}
