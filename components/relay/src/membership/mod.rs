//! Which boxes there are, and how they tell each other what they know.

pub(crate) mod broadcast;
pub(crate) mod exchange;
pub(crate) mod gossip;
pub(crate) mod hints;
mod key_lease;
pub(crate) mod lacking;
pub(crate) mod list_budget;
pub(crate) mod members;
pub(crate) mod ranking;
pub(crate) mod registration;
pub(crate) mod snapshot;
pub(crate) mod stand_back;
pub(crate) mod startup;
