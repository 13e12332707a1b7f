//! Rate limits that targets announce, kept by all boxes together.

pub(crate) mod announced;
pub(crate) mod bucket;
pub(crate) mod engine;
pub(crate) mod queue;
pub(crate) mod share;
