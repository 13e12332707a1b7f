//! Membership of the fleet: which boxes exist, and the gossip between them.

pub(crate) mod broadcast;
pub(crate) mod clocks;
pub(crate) mod compression;
pub(crate) mod exchange;
pub(crate) mod gossip;
pub(crate) mod hints;
mod key_lease;
pub(crate) mod list_budget;
pub(crate) mod load_shedding;
pub(crate) mod members;
pub(crate) mod missing;
pub(crate) mod ranking;
pub(crate) mod registration;
pub(crate) mod slack;
pub(crate) mod startup;
