//! Target health: outlier ejection, probation, `Retry-After` pauses, reachability, and requests and prompt parts that crash
//! targets.

mod causes;
mod evidence;
pub(crate) mod outlier;
pub(crate) mod probation;
pub(crate) mod quarantine;
pub(crate) mod reachability;
pub(crate) mod refusals;
pub(crate) mod retry_after;
