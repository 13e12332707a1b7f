//! Limits on retries.

pub(crate) mod audit;
pub(crate) mod budget;
pub(crate) mod window;
