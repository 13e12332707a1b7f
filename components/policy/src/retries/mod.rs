//! Budgets of second sends.

pub(crate) mod resend;
pub(crate) mod retry;
