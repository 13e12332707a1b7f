//! Who waits, in which order, and who is refused.

pub(crate) mod coming;
pub(crate) mod forecast_error;
pub(crate) mod forward;
pub(crate) mod grant_pace;
pub(crate) mod outlook;
pub(crate) mod protection;
pub(crate) mod queue;
pub(crate) mod rate;
pub(crate) mod refusal;
pub(crate) mod returning;
pub(crate) mod room_ahead;
pub(crate) mod waiting;

#[cfg(test)]
pub(crate) mod test_demands;
