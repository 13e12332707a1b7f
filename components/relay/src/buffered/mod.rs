//! Buffers for callers and targets that read slowly. Their bytes count against a limit of the box and one of each client
//! account; at a limit, reading from the source stops (backpressure).

pub(crate) mod deliver;
mod ledger;
mod reservation;
pub(crate) mod unsent;

pub(crate) use ledger::BufferLimits;
pub(crate) use reservation::{BufferBudget, BufferReservation};
