//! Boxes and stand-ins together in one process, and a caller who checks what it gets: for the demo, the
//! tests and the bench.

mod caller;
mod chat;
mod cluster;
mod plan;

pub use caller::{CallOutcome, Caller, ServiceReply};
pub use chat::{ChatEnd, ChatResult, ChatSpec};
pub use cluster::{Trial, TrialBox, TrialError};
pub use plan::{ANY_PORT, TrialAccount, TrialPlan};
