//! Callers: channels and requests as they come in, the box's own answers, readiness, and what a stopping box still takes.

pub(crate) mod accept;
pub(crate) mod lag;
pub(crate) mod overload;
mod read_request;
pub(crate) mod readiness;
pub(crate) mod request;
pub(crate) mod stopping;
