//! Which targets failed lately.

pub(crate) mod suspicion;
pub(crate) mod trial;
