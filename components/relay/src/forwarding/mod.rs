//! Forwards requests to targets and their responses back to callers.

pub(crate) mod admission;
pub(crate) mod announcements;
mod attempt;
pub(crate) mod balance;
pub(crate) mod call;
pub(crate) mod call_stats;
mod capacity_wait;
pub(crate) mod control;
pub(crate) mod events;
pub(crate) mod generation;
mod hedge;
pub(crate) mod idle_channels;
pub(crate) mod open_response;
pub(crate) mod outcome;
mod outlives;
mod pauses;
pub(crate) mod reachability;
mod refused;
mod relay;
pub(crate) mod relay_peers;
mod relay_stream;
pub(crate) mod retries;
pub(crate) mod send;
pub(crate) mod sends;
pub(crate) mod stream;
mod stream_end;
