//! Requests on their way to a target, and answers on their way back.

pub(crate) mod admission;
pub(crate) mod announcements;
pub(crate) mod balance;
mod beside;
pub(crate) mod call;
pub(crate) mod call_records;
pub(crate) mod control;
pub(crate) mod events;
pub(crate) mod generation;
pub(crate) mod idle_channels;
mod offer;
pub(crate) mod outcome;
mod pauses;
mod room;
pub(crate) mod send;
pub(crate) mod stream;
mod stream_end;
