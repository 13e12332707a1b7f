//! How long an engine of usual speed takes from one event to the next, by the streams that it has and the prompts that
//! it reads: least squares with exponential forgetting, of parts that are never below 0. What the loads seen lately do not tell
//! apart is drawn to 0: forgetting alone would leave it to chance, and foretell pauses that no engine makes.

/// What is left of an observation's weight each time a new one comes: it counts half after 69 of them, a second of
/// a busy pool.
const FORGETTING: f64 = 0.99;
/// Weight, in squares of its own unit, with which each part is drawn to 0: none for what an event takes by itself, for each stream
/// and for reading less than a few observations that tell it.
const DRAWN: [f64; 3] = [0.0, 12.0, 0.2];
/// Observations before one may be told from the others as disturbed.
const SETTLED: u32 = 20;
/// An event that takes this many times what is expected tells of a disturbance, not of load.
pub(crate) const DISTURBED_RATIO: f64 = 1.5;
/// After so many disturbed observations in a row, over all engines, it is the expectation that is wrong.
const DISTURBED_IN_A_ROW: u32 = 100;

/// Streams and share of the time spent on reading.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Load {
    /// Streams that run.
    pub streams: f64,
    /// Share of the time in which a prompt is read beside them.
    pub prefill_share: f64,
}

impl Load {
    fn parts(self) -> [f64; 3] {
        [1.0, self.streams, self.prefill_share]
    }
}

/// The time from one event to the next at usual speed.
#[derive(Clone, Debug, Default)]
pub struct StepModel {
    /// Milliseconds by themselves, for each stream, and for reading.
    parts_ms: [f64; 3],
    /// Sums of the products of loads, and of loads with times.
    loads: [[f64; 3]; 3],
    times: [f64; 3],
    seen: u32,
    disturbed_in_a_row: u32,
}

impl StepModel {
    /// Whether enough was seen to decide by it.
    pub fn is_settled(&self) -> bool {
        self.seen >= SETTLED
    }

    /// Time from one event to the next at usual speed, undisturbed; none before any was seen.
    pub fn event_ms(&self, load: Load) -> Option<f64> {
        let event_ms = dot(&self.parts_ms, &load.parts());
        (self.seen > 0 && event_ms > 0.0).then_some(event_ms)
    }

    /// Takes in the mean time of some events, as it would have been at usual speed.
    pub fn observe(&mut self, load: Load, event_ms: f64) {
        let Some(event_ms) = self.within_span(load, event_ms) else {
            return;
        };
        self.seen += 1;
        let input = load.parts();
        for (row, part) in input.iter().enumerate() {
            self.times[row] = self.times[row] * FORGETTING + part * event_ms;
            for (at, other) in input.iter().enumerate() {
                self.loads[row][at] = self.loads[row][at] * FORGETTING + part * other;
            }
        }
        self.parts_ms = self.fitted();
    }

    /// The parts that explain best what was seen; those that would be below 0 are 0, and the others are fitted without them.
    fn fitted(&self) -> [f64; 3] {
        let mut held = [false; 3];
        loop {
            let parts_ms = self.fitted_without(&held);
            let below = (0..3).filter(|part| parts_ms[*part] < 0.0);
            match below.min_by(|a, b| parts_ms[*a].total_cmp(&parts_ms[*b])) {
                Some(part) => held[part] = true,
                None => return parts_ms,
            }
        }
    }

    /// Solves the normal equations with some parts held at 0.
    fn fitted_without(&self, held: &[bool; 3]) -> [f64; 3] {
        let mut rows = [[0.0; 4]; 3];
        for (at, row) in rows.iter_mut().enumerate() {
            row[..3].copy_from_slice(&self.loads[at]);
            row[at] += DRAWN[at];
            row[3] = self.times[at];
        }
        for part in (0..3).filter(|part| held[*part]) {
            rows.iter_mut().for_each(|row| row[part] = 0.0);
            rows[part] = [0.0; 4];
            rows[part][part] = 1.0;
        }
        solved(rows)
    }

    /// What of an observation is taken in: none of a disturbed one, and no more than a part of one that came too soon.
    fn within_span(&mut self, load: Load, event_ms: f64) -> Option<f64> {
        let Some(expected_ms) = self.event_ms(load).filter(|_| self.is_settled()) else {
            return Some(event_ms);
        };
        if event_ms <= expected_ms * DISTURBED_RATIO {
            self.disturbed_in_a_row = 0;
            return Some(event_ms.max(expected_ms / DISTURBED_RATIO));
        }
        self.disturbed_in_a_row = self.disturbed_in_a_row.saturating_add(1);
        (self.disturbed_in_a_row > DISTURBED_IN_A_ROW).then_some(event_ms)
    }
}

fn dot(a: &[f64; 3], b: &[f64; 3]) -> f64 {
    a.iter().zip(b).map(|(a, b)| a * b).sum()
}

/// Solves three equations whose matrix is symmetric and positive: the right side stands in the fourth column.
fn solved(mut rows: [[f64; 4]; 3]) -> [f64; 3] {
    for at in 0..3 {
        let pivot = rows[at];
        for row in rows.iter_mut().skip(at + 1) {
            let factor = row[at] / pivot[at];
            for (value, above) in row.iter_mut().zip(pivot).skip(at) {
                *value -= factor * above;
            }
        }
    }
    let mut found = [0.0; 3];
    for at in (0..3).rev() {
        let known: f64 = (at + 1..3)
            .map(|other| rows[at][other] * found[other])
            .sum();
        found[at] = (rows[at][3] - known) / rows[at][at];
    }
    found
}

#[cfg(test)]
#[path = "steps_tests.rs"]
mod tests;
