//! Admission control: the order in which waiting requests are granted permits, and which requests
//! are refused.

pub(crate) mod arrivals;
pub(crate) mod first_token;
pub(crate) mod forecast;
pub(crate) mod forecast_error;
pub(crate) mod grant_rate;
pub(crate) mod memory_forecast;
pub(crate) mod pending_retries;
pub(crate) mod prefill_reserve;
pub(crate) mod prefill_simulation;
pub(crate) mod queue;
pub(crate) mod rate_limit;
pub(crate) mod refusal;

#[cfg(test)]
pub(crate) mod test_demands;
