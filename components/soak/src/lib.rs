//! A fault soak of a fleet's boxes: real programs over loopback, faults drawn from a seed, and a check for each
//! promise by what callers and targets saw.

mod announced;
mod boxes;
mod budget;
mod callers;
mod checks;
mod fatal_part;
mod history;
mod lives;
mod plan;
mod plant;
mod play;
mod refusals;
mod restore;
mod world;

pub use history::{Broken, Report};
pub use plant::Plant;
pub use play::{Soak, play};
pub use refusals::RefusalCounts;
