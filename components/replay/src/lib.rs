//! Replays load patterns in virtual time: engines, callers and faults are models, and the decisions are those of
//! [`policy::Pool`] itself. A minute of a pool of sixty engines takes well under a second, and repeats from its seed.
//!
//! A load pattern is a file (see [`Load`]); [`play`] runs it and returns [`Figures`].

mod arrivals;
mod engine;
mod faults;
mod figures;
mod load;
mod moves;
mod request;
mod serving;
mod world;

pub use engine::{Engine, EngineSpec, Made, Run};
pub use figures::{AccountFigures, Figures, KindFigures};
pub use load::{Event, Happening, Kind, Lengths, Load, LoadError, Reclaims, Wave};
pub use world::play;
