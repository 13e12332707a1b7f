//! Who waits, in which order, and who is refused.

pub(crate) mod forward;
pub(crate) mod grant_pace;
pub(crate) mod queue;
pub(crate) mod refusal;
pub(crate) mod waiting;
