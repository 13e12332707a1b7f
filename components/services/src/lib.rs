//! HTTP client of plain services, and the claims that make a non-idempotent call run at most once.

mod batch;
mod claim;
mod client;
mod key_age;

pub use batch::{ClaimBatcher, ClaimWriteResult, PendingClaim};
pub use claim::{
    CLAIM_SLOTS, Claim, RecordedOutcome, claim_key, claim_role, fingerprint, slot_role,
};
pub use client::{CallError, ServiceClient, ServiceRequest, ServiceResponse};
pub use key_age::{KeyAge, key_age, key_time_ms};
