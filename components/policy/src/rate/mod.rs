//! Rate limits that targets announce, enforced across all boxes.

pub(crate) mod announced;
pub(crate) mod bucket;
pub(crate) mod engine;
pub(crate) mod queue;
pub(crate) mod share;
