//! Live migration of running generations between engines.

pub(crate) mod migrated_copy;
pub(crate) mod migrator;
