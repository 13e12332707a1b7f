//! A claim: the record that one box, and nobody else, may send a call. It is a key of its own in the
//! platform's service, created by compare-and-swap.

use prelude::{AccountId, BoxId, BoxIncarnation, ServiceId};
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::{xxh3_64, xxh3_128};

/// Roles among which claims are split; each has one writer at a time, which batches them.
pub const CLAIM_SLOTS: u64 = 8;
const CLAIM_PREFIX: &str = "/shuntpier/claims/";

/// What a claim's value holds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// The box that may send the call.
    pub claimant: BoxId,
    /// Its life.
    pub life: BoxIncarnation,
    /// Unique to the try that made the claim.
    pub nonce: u64,
    /// Fingerprint of the request, to tell when a key is used for another.
    pub request: u64,
    /// What became of the call, once that is recorded.
    pub outcome: Option<RecordedOutcome>,
}

/// A call's recorded outcome.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RecordedOutcome {
    /// It ran, with this answer.
    Done {
        /// HTTP status.
        status: u16,
        /// Type of the body.
        content_type: Option<String>,
        /// The body, where it is short enough to be kept.
        body: Option<Vec<u8>>,
    },
    /// It was never sent: the key may be claimed again.
    NotRun,
    /// It may have run.
    MayHaveRun,
}

impl Claim {
    /// The claim as the value of its key.
    pub fn to_bytes(&self) -> Vec<u8> {
        postcard::to_stdvec(self).unwrap_or_default()
    }

    /// Reads a value. None where it is no claim; the key is then taken, by whom is not known.
    pub fn from_bytes(bytes: &[u8]) -> Option<Self> {
        postcard::from_bytes(bytes).ok()
    }
}

/// Fingerprint of an account's key for a service. 128 bits, so that two keys do not meet.
pub fn fingerprint(service: ServiceId, account: AccountId, key: &str) -> u128 {
    let mut bytes = Vec::with_capacity(key.len() + 16);
    bytes.extend_from_slice(&service.0.to_le_bytes());
    bytes.extend_from_slice(&account.0.to_le_bytes());
    bytes.extend_from_slice(key.as_bytes());
    xxh3_128(&bytes)
}

/// The key of a claim in the platform's service.
pub fn claim_key(fingerprint: u128) -> String {
    format!("{CLAIM_PREFIX}{fingerprint:032x}")
}

/// The role of a slot's holder, for rendezvous hashing.
pub fn slot_role(slot: u64) -> u64 {
    xxh3_64(format!("claim-slot-{slot}").as_bytes())
}

/// The role whose holder writes a claim.
pub fn claim_role(fingerprint: u128) -> u64 {
    slot_role(xxh3_64(&fingerprint.to_le_bytes()) % CLAIM_SLOTS)
}

#[cfg(test)]
#[path = "claim_tests.rs"]
mod tests;
