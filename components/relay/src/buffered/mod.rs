//! What the box keeps for callers and targets that read slowly: counted, bounded for the box and for each client account,
//! and slowing its source.

pub(crate) mod deliver;
mod ledger;
mod reservation;
pub(crate) mod unsent;

pub(crate) use ledger::BufferLimits;
pub(crate) use reservation::{BufferBudget, BufferReservation};
