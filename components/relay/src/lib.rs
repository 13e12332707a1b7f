//! One box of a platform's fleet: it takes callers' requests as they come, chooses a target, and passes the
//! answer on. What must last lies in the platform's store; what a box knows of others it has from there and
//! from its peers.

mod backoff;
mod broadcast;
mod call;
mod channels;
mod control;
mod dispatch;
mod engines;
mod evacuation;
mod events;
mod exchange;
mod follow;
mod generation;
mod gossip;
mod informed;
mod ingress;
mod judge;
mod members;
mod moving;
mod outlook;
mod packed;
mod permits;
mod presence;
mod pump;
mod readiness;
mod reconcile;
mod reconfigure;
mod reports;
mod request;
mod runs;
mod send;
mod start;
mod state;
mod stopping;
mod targets;
mod telling;
mod turn;
mod view;

pub use events::{EventError, EventSplitter, Events};
pub use start::{Running, StartError, start};
pub use targets::{Belief, Change, ColdRate, Target, TargetBook, TargetSlot};
