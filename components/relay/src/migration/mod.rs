//! Generations that go on at another engine.

pub(crate) mod migrated_copy;
pub(crate) mod migrator;
