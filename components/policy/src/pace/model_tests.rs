use super::*;

/// A pool of three engines whose own relative paces are 0.6, 1 and 1.6.
struct TestPool {
    model: PaceModel,
    engines: Vec<EnginePace>,
    now_ms: u64,
}

const OWN_PACES: [f64; 3] = [0.6, 1.0, 1.6];

fn test_pool() -> TestPool {
    TestPool {
        model: PaceModel::default(),
        engines: vec![EnginePace::default(); OWN_PACES.len()],
        now_ms: 0,
    }
}

impl TestPool {
    /// Adds one report of each engine; one in five is disturbed. `slowness_percent` is what an engine reports of itself.
    fn report(&mut self, round: u32, slowness_percent: impl Fn(usize) -> u16) {
        self.now_ms += 300;
        for (index, own_pace) in OWN_PACES.iter().enumerate() {
            let prefill_share = f64::from((round + index as u32) % 3) / 2.0;
            let streams = 1 + (round * 7 + index as u32) % 6;
            let step_ms = own_pace * (28.0 + 0.5 * f64::from(streams));
            let mean_ms = step_ms + own_pace * 32.0 * prefill_share;
            let longest_ms = step_ms + own_pace * 32.0 * prefill_share.ceil();
            let is_disturbed = (round + index as u32).is_multiple_of(5);
            let (mean_ms, longest_ms) = match is_disturbed {
                true => (mean_ms * 1.9, longest_ms * 2.5),
                false => (mean_ms, longest_ms),
            };
            let observation = PaceObservation {
                target: prelude::TargetId(index as u64),
                gaps: EventGaps {
                    events: 16,
                    mean_ms: mean_ms as u16,
                    longest_ms: longest_ms as u16,
                    slowness_percent: slowness_percent(index),
                },
                streams,
                prefill_share,
                overlaps_prefill: prefill_share > 0.0,
                expected_ms: None,
            };
            self.model
                .observe(&mut self.engines[index], &observation, self.now_ms);
        }
        self.model.update_baseline(self.engines.iter(), self.now_ms);
    }

    fn relative_paces(&self) -> Vec<f64> {
        let engines = self.engines.iter();
        engines
            .map(|engine| self.model.relative_pace(engine, self.now_ms))
            .collect()
    }

    fn are_paces_learnt(&self) -> bool {
        let is_close = |(learnt, own): (f64, &f64)| (learnt - own).abs() < 0.1 * own;
        self.relative_paces()
            .into_iter()
            .zip(&OWN_PACES)
            .all(is_close)
    }
}

#[test]
fn learns_paces_and_disturbances_from_events_alone() {
    let mut pool = test_pool();
    (0..80).for_each(|round| pool.report(round, |_| 0));
    assert!(pool.are_paces_learnt(), "{:?}", pool.relative_paces());
    let disturbance = pool.model.disturbance(&pool.engines[2]).unwrap();
    assert!(
        (2.0..3.0).contains(&disturbance.slowdown),
        "{disturbance:?}"
    );
}

#[test]
fn ignores_engines_that_report_a_wrong_pace() {
    let mut pool = test_pool();
    (0..80).for_each(|round| pool.report(round, |index| [60, 100, 80][index]));
    assert!(pool.are_paces_learnt(), "{:?}", pool.relative_paces());
}

#[test]
fn ignores_slowness_reports_that_never_change() {
    let mut pool = test_pool();
    (0..80).for_each(|round| pool.report(round, |_| 100));
    assert!(pool.are_paces_learnt(), "{:?}", pool.relative_paces());
}

#[test]
fn keeps_the_learnt_paces_for_a_second_without_reports() {
    let mut pool = test_pool();
    (0..80).for_each(|round| pool.report(round, |_| 0));
    pool.now_ms += 1_000;
    assert!(pool.are_paces_learnt(), "{:?}", pool.relative_paces());
}
