//! Generations that go on at another engine.

pub(crate) mod moved;
pub(crate) mod mover;
