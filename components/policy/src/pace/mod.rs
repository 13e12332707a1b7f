//! Pace of engines: how fast each one emits events, apart from the load on it, and how disturbances slow it down.
//!
//! Load patterns that this covers: different hardware behind one name; engines that share their machines with others and
//! slow down for a part of a second now and then; prefills beside running streams, which lengthen the steps meanwhile;
//! metrics of engines about themselves that are missing, stale or wrong.

pub(crate) mod disturbance;
pub(crate) mod impact;
pub(crate) mod model;
pub(crate) mod observation;
pub(crate) mod pause_risk;
pub(crate) mod relative_pace;
pub(crate) mod spans;
pub(crate) mod status;
pub(crate) mod steps;
