//! Placement: memory forecasts, pending prefill, answer lengths and relocation of generations.

pub(crate) mod choose;
pub(crate) mod engine_set;
pub(crate) mod forecast;
pub(crate) mod ledger;
pub(crate) mod length;
pub(crate) mod local;
pub(crate) mod prefill;
pub(crate) mod prefixes;
pub(crate) mod relocate;
pub(crate) mod rendezvous;
pub(crate) mod transfer_slots;
pub(crate) mod view;
pub(crate) mod warmup;
