//! What dispatchers show of themselves in gauges.

use crate::state::Relay;

impl Relay {
    /// Shows by how much forecasts are corrected; ten ranks at the most.
    pub(crate) fn show_forecasts(&self) {
        for dispatcher in self.dispatchers.borrow().values() {
            for (rank, correction) in dispatcher.pool.forecast_corrections() {
                let rank = rank.to_string();
                metrics::gauge!("shuntpier_forecast_correction", "rank" => rank).set(correction);
            }
        }
    }
}
