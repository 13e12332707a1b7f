//! Claims: a claim records that exactly one box may send a call. Each claim is a key of its own in
//! the platform's key-value service, created by compare-and-swap.

use prelude::{AccountId, BoxId, BoxIncarnation, ServiceId};
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::{xxh3_64, xxh3_128};

/// Number of roles over which claims are sharded. Each role has one writer at a time, which batches
/// its claims.
pub const CLAIM_SLOTS: u64 = 8;
const CLAIM_PREFIX: &str = "/shuntpier/claims/";

/// Stored value of a claim.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// The box that may send the call.
    pub claimant: BoxId,
    /// Process incarnation of that box.
    pub life: BoxIncarnation,
    /// Unique to the attempt that created the claim.
    pub nonce: u64,
    /// Fingerprint of the request, to detect that a key is reused for a different request.
    pub request: u64,
    /// Outcome of the call, once it is recorded.
    pub outcome: Option<RecordedOutcome>,
}

/// Recorded outcome of a call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RecordedOutcome {
    /// The call ran, with this response.
    Done {
        /// HTTP status.
        status: u16,
        /// Content type of the body.
        content_type: Option<String>,
        /// The body, if it is short enough to be stored.
        body: Option<Vec<u8>>,
    },
    /// The call was never sent; the key may be claimed again.
    NotRun,
    /// The call may have run.
    MayHaveRun,
}

impl Claim {
    /// Encodes the claim as the value of its key.
    pub fn to_bytes(&self) -> Vec<u8> {
        postcard::to_stdvec(self).unwrap_or_default()
    }

    /// Decodes a value. `None` means that it is no valid claim: the key is taken by an unknown box.
    pub fn from_bytes(bytes: &[u8]) -> Option<Self> {
        postcard::from_bytes(bytes).ok()
    }
}

/// Returns the fingerprint of an account's key for a service. It has 128 bits to make collisions
/// negligible.
pub fn fingerprint(service: ServiceId, account: AccountId, key: &str) -> u128 {
    let mut bytes = Vec::with_capacity(key.len() + 16);
    bytes.extend_from_slice(&service.0.to_le_bytes());
    bytes.extend_from_slice(&account.0.to_le_bytes());
    bytes.extend_from_slice(key.as_bytes());
    xxh3_128(&bytes)
}

/// Returns the key of a claim in the platform's key-value service.
pub fn claim_key(fingerprint: u128) -> String {
    format!("{CLAIM_PREFIX}{fingerprint:032x}")
}

/// Returns the role of a slot, by which rendezvous hashing elects the slot's writer.
pub fn slot_role(slot: u64) -> u64 {
    xxh3_64(format!("claim-slot-{slot}").as_bytes())
}

/// Returns the role whose holder writes the claim.
pub fn claim_role(fingerprint: u128) -> u64 {
    slot_role(xxh3_64(&fingerprint.to_le_bytes()) % CLAIM_SLOTS)
}

#[cfg(test)]
#[path = "claim_tests.rs"]
mod tests;
