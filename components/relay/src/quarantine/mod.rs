//! Requests under which targets end one after another: which they are, and how boxes keep them from further targets.
//! `broken` finds out whether a target ended with a run; `withhold` decides with [`policy::Quarantine`]; `spread` tells the other
//! boxes; `record` keeps it in the platform's store, for boxes that start and for those that hear no other.

pub(crate) mod broken;
pub(crate) mod record;
pub(crate) mod spread;
mod withhold;
