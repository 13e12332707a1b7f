//! Predicts the time from one event to the next at an engine of baseline pace, from its streams and the prompts that it
//! prefills: least squares with exponential forgetting, a ridge penalty, and coefficients that are never negative. A
//! coefficient that recent loads do not determine shrinks to 0: with forgetting alone it would drift at random, and predict
//! pauses that no engine makes.

/// Factor on the weight of older observations with each new one: it halves after 69 of them, a second of a busy pool.
const DECAY: f64 = 0.99;
/// Ridge penalty on each coefficient, in squares of its feature's unit: none on the constant time of an event; for streams
/// and prefill it weighs less than a few observations that determine the coefficient.
const RIDGE: [f64; 3] = [0.0, 12.0, 0.2];
/// Observations before others can be classified as disturbed.
const MIN_OBSERVATIONS: u32 = 20;
/// An event that takes this many times the predicted time indicates a disturbance, not load.
pub(crate) const DISTURBED_RATIO: f64 = 1.5;
/// After more disturbed observations in a row than this, over all engines, the prediction is taken to be wrong.
const MAX_DISTURBED_IN_A_ROW: u32 = 100;

/// Load on an engine.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Load {
    /// Running streams.
    pub streams: f64,
    /// Share of the time in which a prompt is prefilled alongside.
    pub prefill_share: f64,
}

impl Load {
    fn features(self) -> [f64; 3] {
        [1.0, self.streams, self.prefill_share]
    }
}

/// Linear model of the time from one event to the next at baseline pace.
#[derive(Clone, Debug, Default)]
pub struct StepModel {
    /// Milliseconds for the event itself, for each stream, and for constant prefill.
    coefficients_ms: [f64; 3],
    /// Decayed sums of the products of features, and of features with times: the normal equations.
    feature_products: [[f64; 3]; 3],
    time_products: [f64; 3],
    observations: u32,
    disturbed_in_a_row: u32,
}

impl StepModel {
    /// Whether there are enough observations to base decisions on.
    pub fn is_trained(&self) -> bool {
        self.observations >= MIN_OBSERVATIONS
    }

    /// Time from one event to the next at baseline pace, undisturbed; none before the first observation.
    pub fn event_ms(&self, load: Load) -> Option<f64> {
        let event_ms = dot(&self.coefficients_ms, &load.features());
        (self.observations > 0 && event_ms > 0.0).then_some(event_ms)
    }

    /// Adds an observation of the mean time from one event to the next, scaled to baseline pace.
    pub fn observe(&mut self, load: Load, event_ms: f64) {
        let Some(event_ms) = self.without_outlier(load, event_ms) else {
            return;
        };
        self.observations += 1;
        let features = load.features();
        for (row, feature) in features.iter().enumerate() {
            self.time_products[row] = self.time_products[row] * DECAY + feature * event_ms;
            for (column, other) in features.iter().enumerate() {
                self.feature_products[row][column] =
                    self.feature_products[row][column] * DECAY + feature * other;
            }
        }
        self.coefficients_ms = self.fit();
    }

    /// The coefficients that fit the observations best. Those that would be negative are fixed at 0, and the others are
    /// fitted without them.
    fn fit(&self) -> [f64; 3] {
        let mut fixed = [false; 3];
        loop {
            let coefficients_ms = self.fit_with_fixed(&fixed);
            let negative = (0..3).filter(|index| coefficients_ms[*index] < 0.0);
            match negative.min_by(|a, b| coefficients_ms[*a].total_cmp(&coefficients_ms[*b])) {
                Some(index) => fixed[index] = true,
                None => return coefficients_ms,
            }
        }
    }

    /// Solves the normal equations with some coefficients fixed at 0.
    fn fit_with_fixed(&self, fixed: &[bool; 3]) -> [f64; 3] {
        let mut rows = [[0.0; 4]; 3];
        for (index, row) in rows.iter_mut().enumerate() {
            row[..3].copy_from_slice(&self.feature_products[index]);
            row[index] += RIDGE[index];
            row[3] = self.time_products[index];
        }
        for index in (0..3).filter(|index| fixed[*index]) {
            rows.iter_mut().for_each(|row| row[index] = 0.0);
            rows[index] = [0.0; 4];
            rows[index][index] = 1.0;
        }
        solve(rows)
    }

    /// The time to learn from an observation: none if it is disturbed, and a lower bound if it is too short.
    fn without_outlier(&mut self, load: Load, event_ms: f64) -> Option<f64> {
        let Some(expected_ms) = self.event_ms(load).filter(|_| self.is_trained()) else {
            return Some(event_ms);
        };
        if event_ms <= expected_ms * DISTURBED_RATIO {
            self.disturbed_in_a_row = 0;
            return Some(event_ms.max(expected_ms / DISTURBED_RATIO));
        }
        self.disturbed_in_a_row = self.disturbed_in_a_row.saturating_add(1);
        (self.disturbed_in_a_row > MAX_DISTURBED_IN_A_ROW).then_some(event_ms)
    }
}

fn dot(a: &[f64; 3], b: &[f64; 3]) -> f64 {
    a.iter().zip(b).map(|(a, b)| a * b).sum()
}

/// Solves three equations with a symmetric, positive definite matrix by Gaussian elimination; the fourth column is the
/// right-hand side.
fn solve(mut rows: [[f64; 4]; 3]) -> [f64; 3] {
    for index in 0..3 {
        let pivot = rows[index];
        for row in rows.iter_mut().skip(index + 1) {
            let factor = row[index] / pivot[index];
            for (value, above) in row.iter_mut().zip(pivot).skip(index) {
                *value -= factor * above;
            }
        }
    }
    let mut solution = [0.0; 3];
    for index in (0..3).rev() {
        let known: f64 = (index + 1..3)
            .map(|other| rows[index][other] * solution[other])
            .sum();
        solution[index] = (rows[index][3] - known) / rows[index][index];
    }
    solution
}

#[cfg(test)]
#[path = "steps_tests.rs"]
mod tests;
