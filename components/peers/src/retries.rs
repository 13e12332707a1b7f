//! Retries that boxes lend each other from their shares of a service's retry budget.

use serde::{Deserialize, Serialize};

/// A part of a retry budget. A duration instead of a time: boxes share no clock.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct LentRetries {
    /// Number of retries; may be a part of one.
    pub amount: f32,
    /// How long they may be sent, in ms.
    pub valid_ms: u32,
}

/// Asks a box to lend a part of its retry budget.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RetryLoanRequest {
    /// Name of the service.
    pub service: Box<str>,
    /// Number of retries wanted.
    pub wanted: f32,
    /// Retries that the other box keeps if it does not lend all that is wanted.
    pub offered: Option<LentRetries>,
}
