//! What a fleet's operators declare and what is known of its targets, as plain data: which request goes to
//! which service, for whom, and under which bounds. Nothing here opens a socket or reads a clock.

mod evacuation;
mod request;
mod table;
mod target;

pub use evacuation::{EvacuationOrder, Evacuations};
pub use request::{GenerationRequest, PromptPart, RelayMark, RequestFacts};
pub use table::{
    AccountRule, CallerLimits, EngineTraits, Route, RouteKey, RouteKind, RoutingTable, Service,
    ServiceKey, ServiceShare, TableError, Verdict,
};
pub use target::{TargetEntry, TargetLife, TargetPhase};
