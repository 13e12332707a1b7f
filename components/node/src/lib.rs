//! One entry box: the actors and tasks that tie callers, policies, engines, services and peers
//! together.

mod adopt;
mod calls;
mod chat;
mod claimant;
mod claims;
mod console;
mod desk;
mod dispatch;
mod handler;
mod inforce;
mod members;
mod once;
mod orders;
mod permits;
mod poller;
mod pump;
mod quarantine;
mod shared;
mod spread;
mod start;
mod stop;
mod targets;
mod timing;
mod watcher;

pub use poller::decision_times_ns;
pub use shared::Node;
pub use start::{Addresses, StartError, start, start_live};
