//! Limits on retries.

pub(crate) mod budget;
pub(crate) mod window;
