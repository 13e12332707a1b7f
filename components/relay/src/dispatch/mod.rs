//! Permits for generations: the dispatcher of each engine pool, and the requests and reports that boxes send to it.

pub(crate) mod completion;
pub(crate) mod dispatcher;
pub(crate) mod engine_polls;
pub(crate) mod engines;
pub(crate) mod gaps;
pub(crate) mod heartbeat;
pub(crate) mod open_generations;
pub(crate) mod pace;
pub(crate) mod permits;
pub(crate) mod poll_round;
pub(crate) mod relocation;
pub(crate) mod shares;
pub(crate) mod takeover;
pub(crate) mod usage_window;
