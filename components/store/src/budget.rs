//! Keeps a role within its share of the key-value service's rate.

/// A bucket of calls, filled at a steady rate.
#[derive(Clone, Debug)]
pub struct CallBudget {
    calls_per_s: f64,
    burst: f64,
    calls: f64,
    filled_ms: u64,
}

impl CallBudget {
    /// A full bucket.
    pub fn new(calls_per_s: f64, burst: f64) -> Self {
        Self {
            calls_per_s,
            burst,
            calls: burst,
            filled_ms: 0,
        }
    }

    /// Takes one call, or says in how many milliseconds there will be one.
    ///
    /// # Errors
    /// The time to wait, in milliseconds.
    pub fn take(&mut self, now_ms: u64) -> Result<(), u64> {
        let elapsed_ms = now_ms.saturating_sub(self.filled_ms);
        self.filled_ms = now_ms;
        let gained = elapsed_ms as f64 / 1000.0 * self.calls_per_s;
        self.calls = (self.calls + gained).min(self.burst);
        if self.calls >= 1.0 {
            self.calls -= 1.0;
            return Ok(());
        }
        Err(((1.0 - self.calls) / self.calls_per_s * 1000.0).ceil() as u64)
    }
}

#[cfg(test)]
#[path = "budget_tests.rs"]
mod tests;
