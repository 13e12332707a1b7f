//! Fair shares of client accounts.

pub(crate) mod recent_usage;
mod siblings;
pub(crate) mod tree;
pub(crate) mod usage;
