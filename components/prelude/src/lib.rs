//! The types that every package of shuntpier uses: keys, time, outcomes.

mod avoided;
mod ends;
mod ids;
mod outcome;
mod status;
mod time;
mod version;

pub use avoided::Avoided;
pub use ends::{Acquittal, AcquittedBy, PartKey, RunId, Suspect, TargetEnd};
pub use ids::{
    AccountId, BoxId, BoxIncarnation, DataCentreId, KeyError, ModelId, OwnerId, PartnerId,
    PermitId, PoolId, RegionId, RequestKey, ServiceId, TargetId, TargetIncarnation, TargetKey,
};
pub use outcome::{Refusal, RefusalReason, RunState, Standing};
pub use status::is_final_status;
pub use time::{Clock, retry_after_ms, unix_ms};
pub use version::Version;
