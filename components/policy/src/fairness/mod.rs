//! Shares of client accounts.

mod siblings;
pub(crate) mod told;
pub(crate) mod tree;
pub(crate) mod usage;
