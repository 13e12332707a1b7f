//! Which targets failed lately, and which requests they failed under.

pub(crate) mod outlier;
pub(crate) mod probation;
pub(crate) mod quarantine;
pub(crate) mod retry_after;
