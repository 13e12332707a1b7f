//! Plain calls, balanced among targets that other boxes send to as well: what a box knows of each target's pace, of how
//! slow it is right now, and of what it fails; and which target a call goes to.

pub(crate) mod choose;
pub(crate) mod failures;
pub(crate) mod hedge;
pub(crate) mod hints;
pub(crate) mod latency;
pub(crate) mod limit;
pub(crate) mod slowness;
pub(crate) mod stats;
