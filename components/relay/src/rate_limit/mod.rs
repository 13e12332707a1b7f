//! Rate limits that targets announce: observes them, shares them between boxes, and grants rate tokens to calls. Each target
//! has one coordinator box that grants its tokens.

pub(crate) mod announced;
mod broadcast;
mod coordinator;
pub(crate) mod state;
pub(crate) mod token;
