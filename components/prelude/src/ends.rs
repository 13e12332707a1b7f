//! Crashes of targets, and what may have caused them, as boxes report them to each other.

use crate::ids::{KeyError, RequestKey, TargetId};
use serde::{Deserialize, Serialize};
use std::fmt;
use std::str::FromStr;

/// Prefix of the text form of a prompt part.
const PART_PREFIX: &str = "part-";

/// A prompt part at the engines of one service that serve one model.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct PartKey {
    /// The first 32 bits of a BLAKE3 hash of service and model.
    pub engines: u32,
    /// The part's id, as callers declare it.
    pub id: u64,
}

impl PartKey {
    /// The value of `engines` for a service and a model.
    pub fn engines_of(service: &str, model: &str) -> u32 {
        let mut hasher = blake3::Hasher::new();
        for text in [service, model] {
            hasher.update(&(text.len() as u64).to_le_bytes());
            hasher.update(text.as_bytes());
        }
        let mut engines = [0; 4];
        hasher.finalize_xof().fill(&mut engines);
        u32::from_le_bytes(engines)
    }
}

impl fmt::Display for PartKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{PART_PREFIX}{:08x}-{:x}", self.engines, self.id)
    }
}

impl FromStr for PartKey {
    type Err = KeyError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let numbers = text.strip_prefix(PART_PREFIX).ok_or(KeyError)?;
        let (engines, id) = numbers.split_once('-').ok_or(KeyError)?;
        Ok(Self {
            engines: u32::from_str_radix(engines, 16).map_err(|_| KeyError)?,
            id: u64::from_str_radix(id, 16).map_err(|_| KeyError)?,
        })
    }
}

/// What may have caused the crash of a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Suspect {
    /// A request, whatever its attempts are called.
    Request(RequestKey),
    /// A prompt part, whatever else the prompt contains.
    Part(PartKey),
}

impl fmt::Display for Suspect {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Request(request) => request.fmt(f),
            Self::Part(part) => part.fmt(f),
        }
    }
}

impl FromStr for Suspect {
    type Err = KeyError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text.starts_with(PART_PREFIX) {
            true => text.parse().map(Self::Part),
            false => text.parse().map(Self::Request),
        }
    }
}

impl From<RequestKey> for Suspect {
    fn from(request: RequestKey) -> Self {
        Self::Request(request)
    }
}

impl From<PartKey> for Suspect {
    fn from(part: PartKey) -> Self {
        Self::Part(part)
    }
}

/// Identifies a run that a crash interrupted, by its request. Suspects that share a run were in one prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RunId(pub u32);

impl RunId {
    /// The id of a run of a request.
    pub fn of(request: RequestKey) -> Self {
        Self(request.digest as u32)
    }
}

/// A target that ended while requests with one suspect ran there.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetEnd {
    /// What may have caused it.
    pub suspect: Suspect,
    /// The target's life.
    pub target: TargetId,
    /// The interrupted runs with the suspect.
    pub runs: Vec<RunId>,
    /// How long the latest of them had run there, in ms.
    pub ran_ms: u32,
    /// How long ago it was, in ms, at the least.
    pub age_ms: u32,
}

/// Why ends are not put down to a suspect.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum AcquittedBy {
    /// A target answered it well.
    Answer,
    /// An operator says so.
    Operator,
}

/// That what ended until a time is not put down to a suspect.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Acquittal {
    /// The suspect.
    pub suspect: Suspect,
    /// Why.
    pub by: AcquittedBy,
    /// How long ago it was answered, in ms, at the most; or cleared.
    pub age_ms: u32,
}
