//! Accepts callers' channels and requests, builds the box's own replies, answers readiness checks, and decides what an
//! overloaded or stopping box still accepts.

pub(crate) mod accept;
pub(crate) mod arrival;
pub(crate) mod lag;
pub(crate) mod overload;
mod read_request;
pub(crate) mod readiness;
pub(crate) mod request;
pub(crate) mod settled;
pub(crate) mod stopping;
