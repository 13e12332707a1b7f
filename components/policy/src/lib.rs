//! Scheduling and load balancing decisions: which target gets a request, when a request waits and
//! when it is refused. This crate opens no sockets, starts no tasks and reads no clock.

mod admission;
mod balance;
mod box_permits;
mod demand;
mod engine_updates;
mod fairness;
mod health;
mod pace;
mod placement;
mod pool;
mod rate;
mod retries;
mod settings;
mod streams;

pub use admission::first_token::ForecastInputs;
pub use balance::choose::{Candidate, SelectionPolicy, choose_target};
pub use balance::failures::{FailureRate, RouteFailures, SharedSuspicion};
pub use balance::hedge::hedge_delay_ms;
pub use balance::hints::HintBudget;
pub use balance::latency::{RouteLatency, TargetLatency};
pub use balance::limit::ConcurrencyLimit;
pub use balance::slowness::Slowness;
pub use balance::stats::{RouteStats, TargetStats};
pub use demand::{Demand, RANK_COUNT, RunningStream, SubmitOutcome, Verdict};
pub use fairness::recent_usage::RecentUsage;
pub use fairness::tree::{FairTree, Share};
pub use fairness::usage::{AccountUsage, RankCounts};
pub use health::outlier::OutlierEjection;
pub use health::probation::Probation;
pub use health::quarantine::{
    Quarantine, QuarantineVerdict, RecordedCrashes, Trial, WithheldCause,
};
pub use health::reachability::{FAILED_TARGETS_MIN, Reachability, ReachabilityChange};
pub use health::refusals::RefusedConnections;
pub use health::retry_after::RetryAfterBackoff;
pub use pace::disturbance::Disturbance;
pub use pace::model::{EnginePace, PaceModel};
pub use pace::observation::{EventGaps, PaceObservation};
pub use pace::status::{PaceStatus, PausePrediction};
pub use pace::steps::Load as PaceLoad;
pub use placement::forecast::{Forecast, HORIZONS_TOKENS};
pub use placement::ledger::{EngineInfo, EngineLedger, EngineReport, EngineState, Stream};
pub use placement::length::{ConditionalSurvival, LengthClass, LengthModel, StreamEnd};
pub use placement::local::{LocalPool, LocalTarget};
pub use placement::prefixes::PrefixIndex;
pub use placement::relocate::Relocation;
pub use placement::rendezvous::{rendezvous_order, rendezvous_owner};
pub use placement::transfer_slots::TransferSlots;
pub use placement::view::{EngineView, PoolView};
pub use placement::warmup::Warmup;
pub use pool::Pool;
pub use rate::announced::{AnnouncedRate, RateObservation};
pub use rate::bucket::TokenBucket;
pub use rate::queue::{RateGrantRequest, RateQueue, RateVerdict};
pub use rate::share::{FAILOVER_MS, FAILOVER_SHARE, FallbackShare};
pub use retries::audit::{RetryExcess, worst_retry_excess};
pub use retries::budget::RetryBudget;
pub use retries::window::{RetryCounts, RetryLimit, RetryLoan, RetryWindow, TakenRetry};
pub use settings::{PolicyKind, PoolSettings, PrefillPolicy, WaitingPolicy};
