use super::*;

/// A pool of three engines whose own speeds are 0.6, 1 and 1.6.
struct World {
    book: PaceModel,
    engines: Vec<EnginePace>,
    now_ms: u64,
}

const SPEEDS: [f64; 3] = [0.6, 1.0, 1.6];

fn world() -> World {
    World {
        book: PaceModel::default(),
        engines: vec![EnginePace::default(); SPEEDS.len()],
        now_ms: 0,
    }
}

impl World {
    /// A telling of each engine; each fifth of one is disturbed.
    fn tell(&mut self, round: u32, says: impl Fn(usize) -> u16) {
        self.now_ms += 300;
        for (at, speed) in SPEEDS.iter().enumerate() {
            let prefill_share = f64::from((round + at as u32) % 3) / 2.0;
            let streams = 1 + (round * 7 + at as u32) % 6;
            let step_ms = speed * (28.0 + 0.5 * f64::from(streams));
            let mean_ms = step_ms + speed * 32.0 * prefill_share;
            let longest_ms = step_ms + speed * 32.0 * prefill_share.ceil();
            let hit = (round + at as u32).is_multiple_of(5);
            let (mean_ms, longest_ms) = match hit {
                true => (mean_ms * 1.9, longest_ms * 2.5),
                false => (mean_ms, longest_ms),
            };
            let observed = PaceObservation {
                target: prelude::TargetId(at as u64),
                gaps: EventGaps {
                    events: 16,
                    mean_ms: mean_ms as u16,
                    longest_ms: longest_ms as u16,
                    slowness_percent: says(at),
                },
                streams,
                prefill_share,
                overlaps_prefill: prefill_share > 0.0,
                expected_ms: None,
            };
            self.book
                .observe(&mut self.engines[at], &observed, self.now_ms);
        }
        self.book.update_baseline(self.engines.iter(), self.now_ms);
    }

    fn speeds(&self) -> Vec<f64> {
        let speeds = self.engines.iter();
        speeds
            .map(|engine| self.book.speed(engine, self.now_ms))
            .collect()
    }

    fn knows(&self) -> bool {
        let near = |(speed, own): (f64, &f64)| (speed - own).abs() < 0.1 * own;
        self.speeds().into_iter().zip(&SPEEDS).all(near)
    }
}

#[test]
fn learns_speeds_from_events_alone() {
    let mut world = world();
    (0..80).for_each(|round| world.tell(round, |_| 0));
    assert!(world.knows(), "{:?}", world.speeds());
    let disturbance = world.book.disturbance(&world.engines[2]).unwrap();
    assert!(
        (2.0..3.0).contains(&disturbance.strength),
        "{disturbance:?}"
    );
}

#[test]
fn believes_no_engine_that_says_it_is_twice_as_fast_as_it_is() {
    let mut world = world();
    (0..80).for_each(|round| world.tell(round, |at| [60, 100, 80][at]));
    assert!(world.knows(), "{:?}", world.speeds());
}

#[test]
fn is_not_misled_by_figures_that_stand_still() {
    let mut world = world();
    (0..80).for_each(|round| world.tell(round, |_| 100));
    assert!(world.knows(), "{:?}", world.speeds());
}

#[test]
fn keeps_what_it_knows_where_the_box_that_told_it_is_lost() {
    let mut world = world();
    (0..80).for_each(|round| world.tell(round, |_| 0));
    world.now_ms += 1_000;
    assert!(world.knows(), "{:?}", world.speeds());
}
