//! Plain services: their client, and the claims by which a call that may not be repeated runs at most
//! once.

mod batch;
mod claim;
mod client;
mod keyed;

pub use batch::{ClaimBatcher, ClaimWriteResult, PendingClaim};
pub use claim::{
    CLAIM_SLOTS, Claim, RecordedOutcome, claim_key, claim_role, fingerprint, slot_role,
};
pub use client::{CallError, ServiceClient, ServiceRequest, ServiceResponse};
pub use keyed::{KeyAge, key_age, key_time_ms};
