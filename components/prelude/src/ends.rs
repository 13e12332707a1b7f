//! Targets that end under requests, as boxes tell each other of them.

use crate::ids::{RequestKey, TargetId};
use serde::{Deserialize, Serialize};

/// A target that ended while a request ran there.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetEnd {
    /// The request.
    pub request: RequestKey,
    /// The target's life.
    pub target: TargetId,
    /// How long the request had run there, in ms.
    pub ran_ms: u32,
    /// How long ago it was, in ms.
    pub age_ms: u32,
}

/// Why ends are not put down to a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum AcquittedBy {
    /// A target answered it well.
    Answer,
    /// An operator says so.
    Operator,
}

/// That what ended until a time is not put down to a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Acquittal {
    /// The request.
    pub request: RequestKey,
    /// Why.
    pub by: AcquittedBy,
    /// How long ago it was answered or cleared, in ms.
    pub age_ms: u32,
}
