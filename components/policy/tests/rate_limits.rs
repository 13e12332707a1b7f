//! The requests of all boxes at one target that announces a rate limit, in virtual time: what a coordinator grants, and what boxes
//! send by their own shares while they reach none. `cargo test -p policy --test rate_limits -- --nocapture` prints the figures.

use policy::{
    FAILOVER_MS, FAILOVER_SHARE, FallbackShare, RateGrantRequest, RateQueue, RateVerdict,
};
use prelude::AccountId;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;
use std::collections::BTreeMap;

/// One way between two boxes, and from a box to the target.
const WAY_MS: u64 = 2;
/// How long a call can wait for its token.
const WAIT_MS: u64 = 200;
/// How long a box waits for a coordinator's answer beyond that.
const SLACK_MS: u64 = 120;
/// How long a box that does not answer is passed over.
const PASSED_OVER_MS: u64 = 1_000;
/// How long the next box in rank takes to find out that the first one does not answer.
const CHECK_MS: u64 = 400;
/// The span over which a limit is checked.
const SPAN_MS: u64 = 4_000;

/// What happens to the boxes.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Trouble {
    None,
    /// The coordinator is away for a time.
    CoordinatorAway {
        from_ms: u64,
        until_ms: u64,
    },
    /// Half of the boxes reach none of the others from a time on.
    Split {
        from_ms: u64,
    },
}

#[derive(Clone, Copy, Debug)]
struct Scene {
    boxes: usize,
    limit_per_s: f64,
    /// Calls a second at all boxes together.
    calls_per_s: f64,
    /// The part of them that comes to the first box; the others have the rest in equal parts.
    first_part: f64,
    trouble: Trouble,
    for_ms: u64,
}

/// A call on its way to a coordinator.
#[derive(Clone, Copy, Debug)]
struct Asked {
    by: usize,
    ask: RateGrantRequest,
}

struct Fleet {
    scene: Scene,
    /// What the two boxes first in rank have granted; on either side of a split one of them.
    queues: [RateQueue; 2],
    shares: Vec<FallbackShare>,
    /// Until when a box passes the first in rank over.
    passed_over_ms: Vec<u64>,
    /// When the second in rank began to find out whether the first answers.
    check_ms: Option<u64>,
    to_coordinators: BTreeMap<u64, Vec<(usize, Asked)>>,
    /// Calls whose boxes got no answer until then.
    unanswered: BTreeMap<u64, Vec<Asked>>,
    arrivals_ms: Vec<u64>,
}

impl Fleet {
    fn new(scene: Scene) -> Self {
        Self {
            scene,
            queues: [RateQueue::new(0), RateQueue::new(0)],
            shares: vec![FallbackShare::default(); scene.boxes],
            passed_over_ms: vec![0; scene.boxes],
            check_ms: None,
            to_coordinators: BTreeMap::new(),
            unanswered: BTreeMap::new(),
            arrivals_ms: Vec::new(),
        }
    }

    fn is_first_away(&self, now_ms: u64) -> bool {
        match self.scene.trouble {
            Trouble::CoordinatorAway { from_ms, until_ms } => (from_ms..until_ms).contains(&now_ms),
            _ => false,
        }
    }

    /// The side of a split that a box stands on.
    fn side(&self, by: usize, now_ms: u64) -> usize {
        match self.scene.trouble {
            Trouble::Split { from_ms } if now_ms >= from_ms => by % 2,
            _ => 0,
        }
    }

    /// What a coordinator grants. The first one finds out late that it is cut off from half of the boxes.
    fn granted_rate(&self, by: usize, now_ms: u64) -> f64 {
        let known = |from_ms: u64| now_ms >= from_ms + FAILOVER_MS;
        let part = match self.scene.trouble {
            Trouble::Split { from_ms } if by == 0 && !known(from_ms) => 1.0,
            Trouble::Split { from_ms } if now_ms >= from_ms => 0.5,
            Trouble::CoordinatorAway { from_ms, .. } if by == 1 && !known(from_ms) => {
                FAILOVER_SHARE
            }
            _ => 1.0,
        };
        self.scene.limit_per_s * part
    }

    fn call(&mut self, by: usize, id: u64, now_ms: u64) {
        let ask = RateGrantRequest {
            id,
            account: AccountId(id % 5),
            weight: 1.0,
            rank: 1,
            deadline_ms: now_ms + WAY_MS + WAIT_MS,
            is_last_try: true,
        };
        let asked = Asked { by, ask };
        let side = self.side(by, now_ms);
        let to = match side == 1 || self.passed_over_ms[by] > now_ms {
            true => 1,
            false => 0,
        };
        let at_ms = now_ms + WAY_MS;
        self.to_coordinators
            .entry(at_ms)
            .or_default()
            .push((to, asked));
    }

    fn arrive(&mut self, (to, asked): (usize, Asked), now_ms: u64) {
        let is_role =
            to == 0 || self.side(asked.by, now_ms) == 1 || self.knows_first_is_away(now_ms);
        if to == 0 && self.is_first_away(now_ms) {
            let given_up_ms = now_ms + WAIT_MS + SLACK_MS;
            self.unanswered.entry(given_up_ms).or_default().push(asked);
        } else if !is_role {
            self.check_ms.get_or_insert(now_ms);
            self.take_own(asked, now_ms + WAY_MS);
        } else {
            let rate_per_s = self.granted_rate(to, now_ms);
            self.shares[asked.by].reset();
            let verdict = self.queues[to].submit(asked.ask, rate_per_s, now_ms);
            if verdict == Some(RateVerdict::Granted) {
                self.arrivals_ms.push(now_ms + 2 * WAY_MS);
            }
        }
    }

    fn knows_first_is_away(&self, now_ms: u64) -> bool {
        let knows_from_ms = self.check_ms.map(|check_ms| check_ms + CHECK_MS);
        self.is_first_away(now_ms) && knows_from_ms.is_some_and(|from_ms| now_ms >= from_ms)
    }

    fn take_own(&mut self, asked: Asked, now_ms: u64) {
        let (boxes, limit_per_s) = (self.scene.boxes, self.scene.limit_per_s);
        let draw = (asked.by as f64 + 0.5) / boxes as f64;
        if self.shares[asked.by]
            .try_take(limit_per_s, boxes, draw, now_ms)
            .is_ok()
        {
            self.arrivals_ms.push(now_ms + WAY_MS);
        }
    }

    fn step(&mut self, now_ms: u64) {
        for asked in self.to_coordinators.remove(&now_ms).unwrap_or_default() {
            self.arrive(asked, now_ms);
        }
        for asked in self.unanswered.remove(&now_ms).unwrap_or_default() {
            self.passed_over_ms[asked.by] = now_ms + PASSED_OVER_MS;
            self.take_own(asked, now_ms);
        }
        let rates = [0, 1].map(|at| self.granted_rate(at, now_ms));
        for (at, queue) in self.queues.iter_mut().enumerate() {
            let is_away = at == 0
                && matches!(self.scene.trouble, Trouble::CoordinatorAway { from_ms, until_ms } if (from_ms..until_ms).contains(&now_ms));
            if is_away {
                // It dies, and knows nothing when it is back.
                *queue = RateQueue::new(now_ms);
                continue;
            }
            for (_, verdict) in queue.run(rates[at], now_ms) {
                if verdict == RateVerdict::Granted {
                    self.arrivals_ms.push(now_ms + 2 * WAY_MS);
                }
            }
        }
    }
}

/// What came of a scene.
#[derive(Debug)]
struct Figures {
    /// The most requests within one span, as a share of what the limit allows in it.
    most_share: f64,
    most: usize,
    /// The part of the limit that was used.
    used_share: f64,
}

fn play(scene: Scene, seed: u64) -> Figures {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut fleet = Fleet::new(scene);
    let mut id = 0;
    for now_ms in 0..scene.for_ms {
        let mut calls = scene.calls_per_s / 1_000.0;
        while calls > 0.0 {
            if random.random::<f64>() < calls.min(1.0) {
                id += 1;
                let is_first = scene.boxes == 1 || random.random::<f64>() < scene.first_part;
                let by = match is_first {
                    true => 0,
                    false => random.random_range(1..scene.boxes),
                };
                fleet.call(by, id, now_ms);
            }
            calls -= 1.0;
        }
        fleet.step(now_ms);
    }
    let mut arrivals = fleet.arrivals_ms;
    arrivals.sort_unstable();
    let within = |from_ms: u64| {
        let until = arrivals.partition_point(|at_ms| *at_ms < from_ms + SPAN_MS);
        until - arrivals.partition_point(|at_ms| *at_ms < from_ms)
    };
    let most = arrivals.iter().map(|from_ms| within(*from_ms)).max();
    let most = most.unwrap_or_default();
    let in_span = scene.limit_per_s * SPAN_MS as f64 / 1_000.0;
    let in_all = scene.limit_per_s * scene.for_ms as f64 / 1_000.0;
    Figures {
        most,
        most_share: most as f64 / in_span,
        used_share: arrivals.len() as f64 / in_all,
    }
}

/// What a target may get within one span.
fn allowed(limit_per_s: f64) -> usize {
    (1.5 * limit_per_s * SPAN_MS as f64 / 1_000.0 + 5.0) as usize
}

fn show(scene: &Scene, figures: &Figures) {
    println!(
        "{:4} boxes, limit {:5.1}/s, calls {:6.1}/s, first box {:.2}, {:?}: most in 4 s {} ({:.2} of the limit, {} allowed), used {:.2}",
        scene.boxes,
        scene.limit_per_s,
        scene.calls_per_s,
        scene.first_part,
        scene.trouble,
        figures.most,
        figures.most_share,
        allowed(scene.limit_per_s),
        figures.used_share
    );
}

#[rstest]
fn the_sum_of_all_boxes_keeps_the_limit_and_uses_it(
    #[values(1, 8, 62, 300, 986)] boxes: usize,
    #[values(0.5, 3.0, 50.0)] limit_per_s: f64,
    #[values(3.0, 20.0)] times: f64,
    #[values(0.0, 0.9)] first_part: f64,
) {
    let scene = Scene {
        boxes,
        limit_per_s,
        calls_per_s: limit_per_s * times,
        first_part,
        trouble: Trouble::None,
        for_ms: 60_000,
    };
    let figures = play(scene, 7);
    show(&scene, &figures);
    assert!(figures.most <= allowed(limit_per_s), "{figures:?}");
    assert!(figures.used_share >= 0.8, "{figures:?}");
}

#[rstest]
#[case::the_coordinator_is_away(Trouble::CoordinatorAway { from_ms: 10_000, until_ms: 14_000 }, 0.8)]
#[case::the_coordinator_is_away_for_a_moment(Trouble::CoordinatorAway { from_ms: 10_000, until_ms: 10_700 }, 0.8)]
#[case::half_are_cut_off(Trouble::Split { from_ms: 10_000 }, 0.8)]
fn the_sum_keeps_the_limit_while(
    #[case] trouble: Trouble,
    #[case] used_share: f64,
    #[values(8, 62, 300)] boxes: usize,
    #[values(3.0, 50.0)] limit_per_s: f64,
) {
    let scene = Scene {
        boxes,
        limit_per_s,
        calls_per_s: limit_per_s * 10.0,
        first_part: 0.0,
        trouble,
        for_ms: 40_000,
    };
    let figures = play(scene, 11);
    show(&scene, &figures);
    assert!(figures.most <= allowed(limit_per_s), "{figures:?}");
    assert!(figures.used_share >= used_share, "{figures:?}");
}
