//! Percentiles of measured times.

use hdrhistogram::Histogram;

/// Times in microseconds.
#[derive(Clone, Debug)]
pub struct Times(Histogram<u64>);

const HIGHEST_US: u64 = 3_600_000_000;
const DIGITS: u8 = 3;

impl Default for Times {
    fn default() -> Self {
        let histogram = Histogram::new_with_bounds(1, HIGHEST_US, DIGITS);
        Self(histogram.expect("the bounds are right"))
    }
}

impl Times {
    /// Adds a time.
    pub fn add_us(&mut self, us: u64) {
        self.0.saturating_record(us.max(1));
    }

    /// A percentile in milliseconds.
    pub fn ms(&self, percentile: f64) -> f64 {
        self.0.value_at_percentile(percentile) as f64 / 1000.0
    }
}

/// Prints the fields of a JSON object, a line each.
pub fn print_lines(value: &serde_json::Value) {
    for (name, value) in value.as_object().into_iter().flatten() {
        println!("{name:36} {value}");
    }
}
