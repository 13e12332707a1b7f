//! Generations that go on at another engine.

pub(crate) mod mover;
