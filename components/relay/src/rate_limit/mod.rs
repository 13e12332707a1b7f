//! Rate limits that targets announce: what is known of them, who grants the tokens of which target, and how a call gets one.

pub(crate) mod announced;
mod broadcast;
mod coordinator;
pub(crate) mod state;
pub(crate) mod token;
