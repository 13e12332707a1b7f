//! One box of a platform's fleet. It accepts callers' requests, chooses a target for each and forwards the answer.
//! Durable state is kept in the platform's store. A box learns about other boxes and targets from the store and from its
//! peers.

mod buffered;
mod dispatch;
mod forwarding;
mod ingress;
mod membership;
mod migration;
mod quarantine;
mod rate_limit;
mod reconfigure;
mod start;
mod state;
mod view;
mod watch;

pub use forwarding::events::{EventError, EventSplitter, Events};
pub use rate_limit::state::TargetRateLimit;
pub use start::{Running, StartError, start};
pub use watch::targets::{Change, ColdRate, Target, TargetRegistry, TargetSlot, TargetState};
