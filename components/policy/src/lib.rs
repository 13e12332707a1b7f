//! The decisions: which target, when to wait, when to refuse. Nothing here opens a socket, starts a
//! task or reads a clock.

mod admission;
mod choose;
mod demand;
mod fairness;
mod forecast;
mod forward;
mod holders;
mod kind;
mod ledger;
mod length;
mod local;
mod pace;
mod pool;
mod prefixes;
mod queue;
mod reading;
mod relocate;
mod rendezvous;
mod resend;
mod retry;
mod suspicion;
mod trial;
mod turns;
mod view;
mod waiting;
mod warmup;

pub use demand::{Adopted, Demand, Submitted, Verdict};
pub use fairness::{FairTree, Share};
pub use forecast::{Forecast, HORIZONS_TOKENS};
pub use kind::{PolicyKind, PoolSettings, ReadingPolicy, WaitingPolicy};
pub use ledger::{EngineInfo, EngineLedger, EngineReport, EngineState, Stream};
pub use length::{End, LengthClass, LengthModel, Survivor};
pub use local::{LocalPool, LocalTarget};
pub use pool::Pool;
pub use prefixes::PrefixIndex;
pub use relocate::Relocation;
pub use rendezvous::{ranked, winner};
pub use resend::{ResendBound, ResendWindow};
pub use retry::RetryBudget;
pub use suspicion::Suspicion;
pub use trial::Trial;
pub use turns::Turns;
pub use view::{EngineView, PoolView};
pub use warmup::Warmup;
