//! Live migration of running generations between engines.

mod copy_calls;
mod job;
pub(crate) mod migrated_copy;
pub(crate) mod migrator;
mod stop_order;
