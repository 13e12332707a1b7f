//! Settings files that change while a process runs: read, checked, and put into force as one snapshot, or refused whole.

mod follow;
mod live;

pub use follow::{LOOK_EACH, follow};
pub use live::{Change, Live, Offer, Snapshot};
