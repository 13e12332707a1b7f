//! How fast each engine makes events: its own speed, and how it is disturbed, apart from the load on it.
//!
//! Load patterns that this answers: engines of unlike machines behind one name; engines that share their machines with
//! others, and are slow for a part of a second now and then; prompts that are read beside streams, which take longer
//! steps meanwhile; figures of engines about themselves that are missing, stand still or are false.

pub(crate) mod disturbance;
pub(crate) mod impact;
pub(crate) mod model;
pub(crate) mod observation;
pub(crate) mod pause_risk;
pub(crate) mod relative_pace;
pub(crate) mod spans;
pub(crate) mod status;
pub(crate) mod steps;
