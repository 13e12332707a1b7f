use super::*;
use crate::balance::latency::RouteLatency;
use crate::balance::stats::TargetStats;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::cmp::Reverse;
use std::collections::BinaryHeap;

const SLOTS: usize = 4;
const WORK_MS: f64 = 40.0;

/// A target of the model: its slots, and what it does.
#[derive(Clone)]
struct Server {
    free_ms: [f64; SLOTS],
    /// Its time as a share of the usual one.
    latency_ratio: f64,
    /// What it says of its load, as a share of the truth.
    told_share: f64,
    /// How slow it says that it is.
    told_percent: u32,
    /// When it begins to answer nothing.
    hangs_from_ms: u64,
    /// From when it takes calls.
    from_ms: u64,
    served: usize,
}

impl Server {
    fn new() -> Self {
        Self {
            free_ms: [0.0; SLOTS],
            latency_ratio: 1.0,
            told_share: 1.0,
            told_percent: 100,
            hangs_from_ms: u64::MAX,
            from_ms: 0,
            served: 0,
        }
    }

    fn end_ms(&mut self, now_ms: u64, work_ms: f64) -> u64 {
        self.served += 1;
        self.free_ms.sort_by(f64::total_cmp);
        let start = self.free_ms[0].max(now_ms as f64);
        self.free_ms[0] = start + work_ms * self.latency_ratio;
        self.free_ms[0].ceil() as u64
    }

    fn busy(&self, now_ms: u64) -> f64 {
        let busy = self.free_ms.iter().filter(|free| **free > now_ms as f64);
        busy.count() as f64 * self.told_share
    }
}

/// What one box knows.
#[derive(Clone, Default)]
struct Entry {
    usual: RouteLatency,
    records: Vec<TargetStats>,
    open: Vec<u32>,
    told: Vec<(f64, u64)>,
}

impl Entry {
    fn candidate(&self, at: usize, now_ms: u64) -> Candidate {
        let (told, at_ms) = self.told[at];
        let fresh = (1.0 - (now_ms - at_ms) as f64 / 1_000.0).max(0.0);
        Candidate {
            latency_ratio: self.records[at].latency_ratio(now_ms),
            fullness: (told * fresh).max(f64::from(self.open[at])) / SLOTS as f64,
            excess_failure_rate: 0.0,
            penalty: 0.0,
            deprioritized: self.records[at].suspicion.is_deprioritized(now_ms),
            suspected: self.records[at].suspicion.is_suspected(now_ms),
        }
    }
}

struct Model {
    servers: Vec<Server>,
    boxes: usize,
    calls_per_s: u64,
    seconds: u64,
}

/// Calls are given up after this time.
const LIMIT_MS: u64 = 1_000;

impl Model {
    fn of(servers: Vec<Server>) -> Self {
        Self {
            servers,
            boxes: 12,
            calls_per_s: 150,
            seconds: 40,
        }
    }

    /// Plays it; the times of all calls, those that were given up counted with the limit, and the targets at its end.
    fn play(&self, way: SelectionPolicy) -> (Vec<u64>, Vec<Server>) {
        let mut random = ChaCha8Rng::seed_from_u64(5);
        let mut servers = self.servers.clone();
        let entry = Entry {
            records: vec![TargetStats::default(); servers.len()],
            open: vec![0; servers.len()],
            told: vec![(0.0, 0); servers.len()],
            ..Entry::default()
        };
        let mut boxes = vec![entry; self.boxes];
        let mut ends = BinaryHeap::new();
        let mut times = Vec::new();
        for now_ms in 0..self.seconds * 1_000 {
            while let Some(Reverse((end_ms, at, to, began_ms))) = ends.peek().copied() {
                if end_ms > now_ms {
                    break;
                }
                ends.pop();
                times.push(end_ms - began_ms);
                ended(&mut boxes, &servers, at, to, began_ms, now_ms);
            }
            if !random.random_bool(self.calls_per_s as f64 / 1_000.0) {
                continue;
            }
            let at = random.random_range(0..boxes.len());
            let open: Vec<usize> = (0..servers.len())
                .filter(|to| now_ms >= servers[*to].from_ms)
                .collect();
            let given: Vec<Candidate> = open
                .iter()
                .map(|to| boxes[at].candidate(*to, now_ms))
                .collect();
            let to = open[choose_target(way, &given, || random.random()).unwrap()];
            boxes[at].open[to] += 1;
            let work_ms = WORK_MS * random.random_range(0.5..1.5);
            let end_ms = match now_ms >= servers[to].hangs_from_ms {
                true => now_ms + LIMIT_MS,
                false => servers[to].end_ms(now_ms, work_ms).min(now_ms + LIMIT_MS),
            };
            ends.push(Reverse((end_ms, at, to, now_ms)));
        }
        (times, servers)
    }
}

fn ended(boxes: &mut [Entry], servers: &[Server], at: usize, to: usize, began: u64, now: u64) {
    let took_ms = now - began;
    let server = &servers[to];
    let entry = &mut boxes[at];
    entry.open[to] -= 1;
    if took_ms >= LIMIT_MS {
        let usual_ms = entry.usual.baseline_ms().unwrap_or(WORK_MS);
        entry.records[to]
            .latency
            .record(took_ms as f64, usual_ms, now);
        for other in boxes.iter_mut() {
            other.records[to].suspicion.record_no_answer(at as u64, now);
        }
        return;
    }
    entry.usual.record(took_ms as f64);
    if let Some(usual_ms) = entry.usual.baseline_ms() {
        entry.records[to]
            .latency
            .record(took_ms as f64, usual_ms, now);
    }
    entry.records[to].suspicion.clear();
    entry.told[to] = (server.busy(now), now);
    let is_news = entry.records[to]
        .slowness
        .is_change(server.told_percent, now);
    let told = match is_news {
        true => &mut boxes[..],
        false => std::slice::from_mut(entry),
    };
    for other in told {
        other.records[to]
            .slowness
            .update(server.told_percent, 0, now);
    }
}

fn slowest_of_100(mut times: Vec<u64>) -> u64 {
    times.sort_unstable();
    times[times.len() * 99 / 100]
}

fn mean(times: &[u64]) -> f64 {
    times.iter().sum::<u64>() as f64 / times.len() as f64
}

#[test]
fn uneven_targets_get_calls_by_their_speed() {
    let mut servers = vec![Server::new(); 6];
    servers[0].latency_ratio = 3.0;
    servers[1].latency_ratio = 2.0;
    let model = Model::of(servers);
    let (emptiest, _) = model.play(SelectionPolicy::LeastLoaded);
    let (best, _) = model.play(SelectionPolicy::LowestCost);
    assert!(mean(&best) < 0.85 * mean(&emptiest));
    assert!(slowest_of_100(best) < slowest_of_100(emptiest));
}

#[test]
fn a_target_at_a_tenth_of_its_speed_is_nearly_left_alone() {
    let mut servers = vec![Server::new(); 6];
    servers[0].latency_ratio = 10.0;
    let model = Model::of(servers);
    let (emptiest, before) = model.play(SelectionPolicy::LeastLoaded);
    let (best, after) = model.play(SelectionPolicy::LowestCost);
    assert!(2 * after[0].served < before[0].served);
    assert!(mean(&best) < 0.8 * mean(&emptiest));
}

#[test]
fn a_target_that_comes_back_is_not_run_over() {
    let mut servers = vec![Server::new(); 6];
    servers[0].from_ms = 10_000;
    let mut model = Model::of(servers);
    model.calls_per_s = 300;
    model.seconds = 11;
    let (_, at_end) = model.play(SelectionPolicy::LowestCost);
    // A sixth of one second's calls is 50.
    assert!((30..=110).contains(&at_end[0].served));
}

#[test]
fn a_target_that_says_that_it_is_empty_and_fast_draws_no_crowd() {
    let mut servers = vec![Server::new(); 6];
    servers[0].told_share = 0.0;
    servers[0].told_percent = 50;
    servers[0].latency_ratio = 2.0;
    let model = Model::of(servers);
    let (emptiest, before) = model.play(SelectionPolicy::LeastLoaded);
    let (best, after) = model.play(SelectionPolicy::LowestCost);
    assert!(after[0].served < before[0].served);
    assert!(mean(&best) < mean(&emptiest));
}

#[test]
fn a_target_that_says_that_it_is_slow_is_spared_by_boxes_that_did_not_ask_it() {
    let mut servers = vec![Server::new(); 6];
    servers[0].latency_ratio = 2.5;
    servers[0].told_percent = 250;
    let mut model = Model::of(servers);
    model.boxes = 60;
    let (emptiest, before) = model.play(SelectionPolicy::LeastLoaded);
    let (best, after) = model.play(SelectionPolicy::LowestCost);
    assert!(2 * after[0].served < before[0].served);
    assert!(slowest_of_100(best) < slowest_of_100(emptiest));
}

#[test]
fn a_target_that_hangs_costs_few_calls() {
    let mut servers = vec![Server::new(); 6];
    servers[0].hangs_from_ms = 10_000;
    let model = Model::of(servers);
    let lost = |way| {
        let (times, _) = model.play(way);
        times.iter().filter(|took| **took >= LIMIT_MS).count()
    };
    assert!(3 * lost(SelectionPolicy::LowestCost) < lost(SelectionPolicy::LeastLoaded));
}

#[test]
fn targets_that_hang_cost_few_calls_where_each_gets_few() {
    let mut servers = vec![Server::new(); 60];
    for server in &mut servers[..6] {
        server.hangs_from_ms = 10_000;
    }
    let mut model = Model::of(servers);
    model.boxes = 200;
    model.calls_per_s = 60;
    let (times, _) = model.play(SelectionPolicy::LowestCost);
    let lost = times.iter().filter(|took| **took >= LIMIT_MS).count();
    // Of each target the first, and one each 3 s for 30 s.
    assert!(lost <= 6 * 11, "{lost}");
}

#[test]
fn two_that_are_drawn_are_never_the_same() {
    let empty = Candidate {
        latency_ratio: 1.0,
        fullness: 0.0,
        excess_failure_rate: 0.0,
        penalty: 0.0,
        deprioritized: false,
        suspected: false,
    };
    let deprioritized = Candidate {
        deprioritized: true,
        ..empty
    };
    for (a, b) in [(0.0, 0.0), (0.99, 0.99), (0.4, 0.6)] {
        let mut draws = [a, b].into_iter().cycle();
        let draw = || draws.next().unwrap();
        assert_eq!(
            choose_target(SelectionPolicy::TwoChoices, &[deprioritized, empty], draw),
            Some(1)
        );
    }
}

#[test]
fn nothing_is_chosen_of_nothing() {
    assert_eq!(
        choose_target(SelectionPolicy::LowestCost, &[], || 0.5),
        None
    );
}
