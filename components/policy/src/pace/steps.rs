//! How long an engine of usual speed takes from one event to the next, by the streams that it has and the prompts that
//! it reads: recursive least squares with exponential forgetting.

/// What is left of an observation's weight each time a new one comes: it counts half after 138 of them, a second or two of
/// a busy pool.
const FORGETTING: f64 = 0.995;
/// Variance of each part before any observation: large, as nothing is known.
const UNCERTAINTY: f64 = 1_000.0;
/// The most variance that forgetting may build up while the load is always the same.
const UNCERTAINTY_MAX: f64 = 10_000.0;
/// Observations before one may be told from the others as disturbed.
const SETTLED: u32 = 20;
/// An event that takes this many times what is expected tells of a disturbance, not of load.
pub(crate) const DISTURBED_RATIO: f64 = 1.5;

/// Streams and share of the time spent on reading.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Load {
    /// Streams that run.
    pub streams: f64,
    /// Share of the time in which a prompt is read beside them.
    pub reading_share: f64,
}

/// The time from one event to the next at usual speed.
#[derive(Clone, Debug)]
pub struct StepModel {
    /// Milliseconds by themselves, for each stream, and for reading.
    parts_ms: [f64; 3],
    /// Covariance of the parts.
    spread: [[f64; 3]; 3],
    seen: u32,
}

impl Default for StepModel {
    fn default() -> Self {
        let mut spread = [[0.0; 3]; 3];
        for (at, row) in spread.iter_mut().enumerate() {
            row[at] = UNCERTAINTY;
        }
        Self {
            parts_ms: [0.0; 3],
            spread,
            seen: 0,
        }
    }
}

fn dot(a: &[f64; 3], b: &[f64; 3]) -> f64 {
    a.iter().zip(b).map(|(a, b)| a * b).sum()
}

impl StepModel {
    /// Whether enough was seen to decide by it.
    pub fn is_settled(&self) -> bool {
        self.seen >= SETTLED
    }

    /// Time from one event to the next at usual speed, undisturbed; none before any was seen.
    pub fn event_ms(&self, load: Load) -> Option<f64> {
        let parts = self.parts_ms.map(|part| part.max(0.0));
        let event_ms = dot(&parts, &[1.0, load.streams, load.reading_share]);
        (self.seen > 0 && event_ms > 0.0).then_some(event_ms)
    }

    /// Takes in the mean time of some events, as it would have been at usual speed.
    pub fn observe(&mut self, load: Load, event_ms: f64) {
        let Some(event_ms) = self.within_span(load, event_ms) else {
            return;
        };
        if self.seen == 0 {
            self.parts_ms[0] = event_ms;
        }
        self.seen += 1;
        let input = [1.0, load.streams, load.reading_share];
        let spread_input = self.spread.map(|row| dot(&row, &input));
        let gain = spread_input.map(|value| value / (FORGETTING + dot(&spread_input, &input)));
        let error = event_ms - dot(&self.parts_ms, &input);
        for (row, gain) in gain.iter().enumerate() {
            self.parts_ms[row] += gain * error;
            // A covariance is symmetric. Were both halves worked out, their difference by rounding would grow with each
            // forgetting, and after some thousand observations the parts with it, without bound.
            for (at, value) in spread_input.iter().enumerate().skip(row) {
                let less = (self.spread[row][at] - gain * value) / FORGETTING;
                self.spread[row][at] = less;
                self.spread[at][row] = less;
            }
        }
        let sound = 0.0..=UNCERTAINTY_MAX;
        if (0..3).any(|at| !sound.contains(&self.spread[at][at])) {
            let parts_ms = self.parts_ms;
            *self = Self {
                parts_ms,
                seen: self.seen,
                ..Self::default()
            };
        }
    }

    /// What of an observation is taken in: none of a disturbed one, and no more than a part of one that came too soon.
    fn within_span(&self, load: Load, event_ms: f64) -> Option<f64> {
        let expected_ms = self.event_ms(load).filter(|_| self.is_settled());
        match expected_ms {
            Some(expected_ms) if event_ms > expected_ms * DISTURBED_RATIO => None,
            Some(expected_ms) => Some(event_ms.max(expected_ms / DISTURBED_RATIO)),
            None => Some(event_ms),
        }
    }
}

#[cfg(test)]
#[path = "steps_tests.rs"]
mod tests;
