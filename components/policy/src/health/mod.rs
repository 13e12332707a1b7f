//! Which targets failed lately, and which requests they failed under.

pub(crate) mod backoff;
pub(crate) mod quarantine;
pub(crate) mod suspicion;
pub(crate) mod trial;
