//! Quarantine of requests that crash one target after another: detects them and keeps them from further targets.
//! `broken_runs` finds out whether a target crashed during a run; `withhold` applies [`policy::Quarantine`]; `broadcast`
//! informs the other boxes; `record` persists crashes in the platform's store, for boxes that start and for boxes without
//! contact to a peer.

pub(crate) mod broadcast;
pub(crate) mod broken_runs;
pub(crate) mod record;
mod withhold;
