//! Shares of client accounts.

pub(crate) mod tree;
