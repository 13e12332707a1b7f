//! Simulates, in virtual time, the requests of all boxes to one target that announces a rate limit: tokens granted by a
//! coordinator, and tokens of the boxes' fallback shares while they reach no coordinator.
//! `cargo test -p policy --test rate_limits -- --nocapture` prints the results.

use policy::{
    FAILOVER_MS, FAILOVER_SHARE, FallbackShare, RateGrantRequest, RateQueue, RateVerdict,
};
use prelude::AccountId;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;
use std::collections::BTreeMap;

/// One-way latency between two boxes, and from a box to the target.
const LATENCY_MS: u64 = 2;
/// Longest wait of a call for its token.
const WAIT_MS: u64 = 200;
/// Additional time that a box waits for a coordinator's answer.
const REPLY_SLACK_MS: u64 = 120;
/// How long a box avoids a coordinator that did not answer.
const EJECTED_MS: u64 = 1_000;
/// Time in which the second candidate for coordinator detects that the first one does not answer.
const FAILOVER_CHECK_MS: u64 = 400;
/// Sliding window over which the limit is checked.
const WINDOW_MS: u64 = 4_000;

/// Fault that is injected.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Fault {
    None,
    /// The coordinator is down for a time.
    CoordinatorDown {
        from_ms: u64,
        until_ms: u64,
    },
    /// From a time on, half of the boxes are partitioned off from the others.
    Partition {
        from_ms: u64,
    },
}

#[derive(Clone, Copy, Debug)]
struct Scenario {
    boxes: usize,
    limit_per_s: f64,
    /// Calls per second that arrive at all boxes together.
    calls_per_s: f64,
    /// Share of the calls that arrives at the first box; the rest is spread evenly over the others.
    first_box_share: f64,
    fault: Fault,
    for_ms: u64,
}

/// A call in flight to a coordinator.
#[derive(Clone, Copy, Debug)]
struct SentCall {
    box_index: usize,
    request: RateGrantRequest,
}

struct Simulation {
    scenario: Scenario,
    /// Queues of the first and the second candidate for coordinator. Each side of a partition has one of them.
    queues: [RateQueue; 2],
    shares: Vec<FallbackShare>,
    /// Until when each box avoids the first candidate.
    ejected_until_ms: Vec<u64>,
    /// When the second candidate started to check the first one.
    check_started_ms: Option<u64>,
    to_coordinators: BTreeMap<u64, Vec<(usize, SentCall)>>,
    /// Calls without an answer, by the time at which they time out.
    unanswered: BTreeMap<u64, Vec<SentCall>>,
    arrivals_ms: Vec<u64>,
}

impl Simulation {
    fn new(scenario: Scenario) -> Self {
        Self {
            scenario,
            queues: [RateQueue::new(0), RateQueue::new(0)],
            shares: vec![FallbackShare::default(); scenario.boxes],
            ejected_until_ms: vec![0; scenario.boxes],
            check_started_ms: None,
            to_coordinators: BTreeMap::new(),
            unanswered: BTreeMap::new(),
            arrivals_ms: Vec::new(),
        }
    }

    fn is_coordinator_down(&self, now_ms: u64) -> bool {
        match self.scenario.fault {
            Fault::CoordinatorDown { from_ms, until_ms } => (from_ms..until_ms).contains(&now_ms),
            _ => false,
        }
    }

    /// Side of a partition on which a box is.
    fn partition_side(&self, box_index: usize, now_ms: u64) -> usize {
        match self.scenario.fault {
            Fault::Partition { from_ms } if now_ms >= from_ms => box_index % 2,
            _ => 0,
        }
    }

    /// Rate that a coordinator grants. The first one detects late that it is partitioned off from half of the boxes.
    fn granted_rate(&self, coordinator: usize, now_ms: u64) -> f64 {
        let is_detected = |from_ms: u64| now_ms >= from_ms + FAILOVER_MS;
        let share = match self.scenario.fault {
            Fault::Partition { from_ms } if coordinator == 0 && !is_detected(from_ms) => 1.0,
            Fault::Partition { from_ms } if now_ms >= from_ms => 0.5,
            Fault::CoordinatorDown { from_ms, .. } if coordinator == 1 && !is_detected(from_ms) => {
                FAILOVER_SHARE
            }
            _ => 1.0,
        };
        self.scenario.limit_per_s * share
    }

    fn send_call(&mut self, box_index: usize, id: u64, now_ms: u64) {
        let request = RateGrantRequest {
            id,
            account: AccountId(id % 5),
            weight: 1.0,
            rank: 1,
            deadline_ms: now_ms + LATENCY_MS + WAIT_MS,
            is_last_try: true,
        };
        let sent = SentCall { box_index, request };
        let partition_side = self.partition_side(box_index, now_ms);
        let coordinator = match partition_side == 1 || self.ejected_until_ms[box_index] > now_ms {
            true => 1,
            false => 0,
        };
        let at_ms = now_ms + LATENCY_MS;
        self.to_coordinators
            .entry(at_ms)
            .or_default()
            .push((coordinator, sent));
    }

    fn handle_arrival(&mut self, (coordinator, sent): (usize, SentCall), now_ms: u64) {
        let is_coordinator = coordinator == 0
            || self.partition_side(sent.box_index, now_ms) == 1
            || self.knows_coordinator_is_down(now_ms);
        if coordinator == 0 && self.is_coordinator_down(now_ms) {
            let timeout_ms = now_ms + WAIT_MS + REPLY_SLACK_MS;
            self.unanswered.entry(timeout_ms).or_default().push(sent);
        } else if !is_coordinator {
            self.check_started_ms.get_or_insert(now_ms);
            self.take_fallback_token(sent, now_ms + LATENCY_MS);
        } else {
            let rate_per_s = self.granted_rate(coordinator, now_ms);
            self.shares[sent.box_index].reset();
            let verdict = self.queues[coordinator].submit(sent.request, rate_per_s, now_ms);
            if verdict == Some(RateVerdict::Granted) {
                self.arrivals_ms.push(now_ms + 2 * LATENCY_MS);
            }
        }
    }

    fn knows_coordinator_is_down(&self, now_ms: u64) -> bool {
        let detected_ms = self
            .check_started_ms
            .map(|check_started_ms| check_started_ms + FAILOVER_CHECK_MS);
        self.is_coordinator_down(now_ms) && detected_ms.is_some_and(|from_ms| now_ms >= from_ms)
    }

    fn take_fallback_token(&mut self, sent: SentCall, now_ms: u64) {
        let (boxes, limit_per_s) = (self.scenario.boxes, self.scenario.limit_per_s);
        let jitter = (sent.box_index as f64 + 0.5) / boxes as f64;
        if self.shares[sent.box_index]
            .try_take(limit_per_s, boxes, jitter, now_ms)
            .is_ok()
        {
            self.arrivals_ms.push(now_ms + LATENCY_MS);
        }
    }

    fn step(&mut self, now_ms: u64) {
        for sent in self.to_coordinators.remove(&now_ms).unwrap_or_default() {
            self.handle_arrival(sent, now_ms);
        }
        for sent in self.unanswered.remove(&now_ms).unwrap_or_default() {
            self.ejected_until_ms[sent.box_index] = now_ms + EJECTED_MS;
            self.take_fallback_token(sent, now_ms);
        }
        let rates = [0, 1].map(|at| self.granted_rate(at, now_ms));
        for (at, queue) in self.queues.iter_mut().enumerate() {
            let is_down = at == 0
                && matches!(self.scenario.fault, Fault::CoordinatorDown { from_ms, until_ms } if (from_ms..until_ms).contains(&now_ms));
            if is_down {
                // It crashes, and has lost its state after the restart.
                *queue = RateQueue::new(now_ms);
                continue;
            }
            for (_, verdict) in queue.run(rates[at], now_ms) {
                if verdict == RateVerdict::Granted {
                    self.arrivals_ms.push(now_ms + 2 * LATENCY_MS);
                }
            }
        }
    }
}

/// Result of a scenario.
#[derive(Debug)]
struct Outcome {
    /// Largest number of requests within one window, as a share of what the limit allows.
    max_share: f64,
    max_requests: usize,
    /// Share of the limit that was used over the whole time.
    used_share: f64,
}

fn simulate(scenario: Scenario, seed: u64) -> Outcome {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut simulation = Simulation::new(scenario);
    let mut id = 0;
    for now_ms in 0..scenario.for_ms {
        let mut calls = scenario.calls_per_s / 1_000.0;
        while calls > 0.0 {
            if random.random::<f64>() < calls.min(1.0) {
                id += 1;
                let is_first =
                    scenario.boxes == 1 || random.random::<f64>() < scenario.first_box_share;
                let box_index = match is_first {
                    true => 0,
                    false => random.random_range(1..scenario.boxes),
                };
                simulation.send_call(box_index, id, now_ms);
            }
            calls -= 1.0;
        }
        simulation.step(now_ms);
    }
    let mut arrivals = simulation.arrivals_ms;
    arrivals.sort_unstable();
    let within = |from_ms: u64| {
        let until = arrivals.partition_point(|at_ms| *at_ms < from_ms + WINDOW_MS);
        until - arrivals.partition_point(|at_ms| *at_ms < from_ms)
    };
    let max_requests = arrivals.iter().map(|from_ms| within(*from_ms)).max();
    let max_requests = max_requests.unwrap_or_default();
    let allowed_in_window = scenario.limit_per_s * WINDOW_MS as f64 / 1_000.0;
    let allowed_in_total = scenario.limit_per_s * scenario.for_ms as f64 / 1_000.0;
    Outcome {
        max_requests,
        max_share: max_requests as f64 / allowed_in_window,
        used_share: arrivals.len() as f64 / allowed_in_total,
    }
}

/// Number of requests that a target may receive within one window.
fn max_allowed(limit_per_s: f64) -> usize {
    (1.5 * limit_per_s * WINDOW_MS as f64 / 1_000.0 + 5.0) as usize
}

fn print_outcome(scenario: &Scenario, outcome: &Outcome) {
    println!(
        "{:4} boxes, limit {:5.1}/s, calls {:6.1}/s, first box {:.2}, {:?}: at most {} in 4 s ({:.2} of the limit, {} allowed), used {:.2}",
        scenario.boxes,
        scenario.limit_per_s,
        scenario.calls_per_s,
        scenario.first_box_share,
        scenario.fault,
        outcome.max_requests,
        outcome.max_share,
        max_allowed(scenario.limit_per_s),
        outcome.used_share
    );
}

#[rstest]
fn all_boxes_together_stay_within_the_limit_and_use_it(
    #[values(1, 8, 62, 300, 986)] boxes: usize,
    #[values(0.5, 3.0, 50.0)] limit_per_s: f64,
    #[values(3.0, 20.0)] load_factor: f64,
    #[values(0.0, 0.9)] first_box_share: f64,
) {
    let scenario = Scenario {
        boxes,
        limit_per_s,
        calls_per_s: limit_per_s * load_factor,
        first_box_share,
        fault: Fault::None,
        for_ms: 60_000,
    };
    let outcome = simulate(scenario, 7);
    print_outcome(&scenario, &outcome);
    assert!(
        outcome.max_requests <= max_allowed(limit_per_s),
        "{outcome:?}"
    );
    assert!(outcome.used_share >= 0.8, "{outcome:?}");
}

#[rstest]
#[case::a_coordinator_crash(Fault::CoordinatorDown { from_ms: 10_000, until_ms: 14_000 }, 0.8)]
#[case::a_short_coordinator_crash(Fault::CoordinatorDown { from_ms: 10_000, until_ms: 10_700 }, 0.8)]
#[case::a_partition_of_half_of_the_boxes(Fault::Partition { from_ms: 10_000 }, 0.8)]
fn all_boxes_together_stay_within_the_limit_during(
    #[case] fault: Fault,
    #[case] used_share: f64,
    #[values(8, 62, 300)] boxes: usize,
    #[values(3.0, 50.0)] limit_per_s: f64,
) {
    let scenario = Scenario {
        boxes,
        limit_per_s,
        calls_per_s: limit_per_s * 10.0,
        first_box_share: 0.0,
        fault,
        for_ms: 40_000,
    };
    let outcome = simulate(scenario, 11);
    print_outcome(&scenario, &outcome);
    assert!(
        outcome.max_requests <= max_allowed(limit_per_s),
        "{outcome:?}"
    );
    assert!(outcome.used_share >= used_share, "{outcome:?}");
}
