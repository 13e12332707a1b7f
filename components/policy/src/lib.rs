//! The decisions: which target, when to wait, when to refuse. Nothing here opens a socket, starts a
//! task or reads a clock.

mod admission;
mod balance;
mod demand;
mod fairness;
mod health;
mod holders;
mod kind;
mod pace;
mod placement;
mod pool;
mod retries;

pub use balance::choose::{Candidate, Choosing, choose_target};
pub use balance::doubt::{FailedShare, RouteDoubts, SharedDoubt};
pub use balance::hints::HintBudget;
pub use balance::limit::CallLimit;
pub use balance::pace::{RoutePace, TargetPace};
pub use balance::patience::patience_ms;
pub use balance::record::{CallRecord, RouteRecord};
pub use balance::slowness::Slowness;
pub use demand::{Adopted, Demand, RANKS, Submitted, Verdict};
pub use fairness::told::UsedLately;
pub use fairness::tree::{FairTree, Share};
pub use fairness::usage::{AccountUse, RankUse};
pub use health::suspicion::Suspicion;
pub use health::trial::Trial;
pub use kind::{PolicyKind, PoolSettings, ReadingPolicy, WaitingPolicy};
pub use pace::book::{EnginePace, PaceBook};
pub use pace::disturbance::Disturbance;
pub use pace::observed::{GapsTold, Observed};
pub use pace::shown::{PaceShown, PauseForetold};
pub use pace::steps::Load as PaceLoad;
pub use placement::forecast::{Forecast, HORIZONS_TOKENS};
pub use placement::ledger::{EngineInfo, EngineLedger, EngineReport, EngineState, Stream};
pub use placement::length::{End, LengthClass, LengthModel, Survivor};
pub use placement::links::Turns;
pub use placement::local::{LocalPool, LocalTarget};
pub use placement::prefixes::PrefixIndex;
pub use placement::relocate::Relocation;
pub use placement::rendezvous::{ranked, winner};
pub use placement::view::{EngineView, PoolView};
pub use placement::warmup::Warmup;
pub use pool::Pool;
pub use retries::resend::{ResendBound, ResendWindow};
pub use retries::retry::RetryBudget;
