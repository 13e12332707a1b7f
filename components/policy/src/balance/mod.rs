//! Load balancing of plain calls over targets that other boxes send to as well: latency, slowness and failures of each
//! target as this box observes them or gets them reported, and the choice of a target for each call.

pub(crate) mod choose;
pub(crate) mod failures;
pub(crate) mod hedge;
pub(crate) mod hints;
pub(crate) mod latency;
pub(crate) mod limit;
pub(crate) mod slowness;
pub(crate) mod stats;
