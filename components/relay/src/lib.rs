//! One box of a platform's fleet: it takes callers' requests as they come, chooses a target, and passes the
//! answer on. What must last lies in the platform's store; what a box knows of others it has from there and
//! from its peers.

mod dispatch;
mod forwarding;
mod held;
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
