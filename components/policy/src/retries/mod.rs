//! Budgets of second sends.

pub(crate) mod budget;
pub(crate) mod window;
