use super::*;
use crate::balance::latency::RouteLatency;
use crate::balance::stats::TargetStats;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::cmp::Reverse;
use std::collections::BinaryHeap;

const SLOTS: usize = 4;
const WORK_MS: f64 = 40.0;

/// A simulated target.
#[derive(Clone)]
struct Server {
    /// When each of its slots is free again.
    free_ms: [f64; SLOTS],
    /// Its latency relative to the baseline.
    latency_ratio: f64,
    /// The load that it reports, as a share of its true load.
    reported_load_ratio: f64,
    /// The slowness that it reports.
    reported_slowness_percent: u32,
    /// When it hangs: from then on it answers no call.
    hangs_from_ms: u64,
    /// From when it accepts calls.
    available_from_ms: u64,
    served_count: usize,
}

impl Server {
    fn new() -> Self {
        Self {
            free_ms: [0.0; SLOTS],
            latency_ratio: 1.0,
            reported_load_ratio: 1.0,
            reported_slowness_percent: 100,
            hangs_from_ms: u64::MAX,
            available_from_ms: 0,
            served_count: 0,
        }
    }

    fn serve(&mut self, now_ms: u64, work_ms: f64) -> u64 {
        self.served_count += 1;
        self.free_ms.sort_by(f64::total_cmp);
        let start = self.free_ms[0].max(now_ms as f64);
        self.free_ms[0] = start + work_ms * self.latency_ratio;
        self.free_ms[0].ceil() as u64
    }

    fn reported_load(&self, now_ms: u64) -> f64 {
        let busy = self.free_ms.iter().filter(|free| **free > now_ms as f64);
        busy.count() as f64 * self.reported_load_ratio
    }
}

/// What one box knows of the targets.
#[derive(Clone, Default)]
struct BoxState {
    baseline: RouteLatency,
    stats: Vec<TargetStats>,
    open: Vec<u32>,
    /// The load that each target reported, and when the report arrived.
    reported_loads: Vec<(f64, u64)>,
}

impl BoxState {
    fn candidate(&self, target: usize, now_ms: u64) -> Candidate {
        let (load, reported_ms) = self.reported_loads[target];
        let freshness = (1.0 - (now_ms - reported_ms) as f64 / 1_000.0).max(0.0);
        Candidate {
            latency_ratio: self.stats[target].latency_ratio(now_ms),
            fullness: (load * freshness).max(f64::from(self.open[target])) / SLOTS as f64,
            excess_failure_rate: 0.0,
            penalty: 0.0,
            deprioritized: self.stats[target].suspicion.is_deprioritized(now_ms),
            suspected: self.stats[target].suspicion.is_suspected(now_ms),
        }
    }
}

struct Simulation {
    servers: Vec<Server>,
    boxes: usize,
    calls_per_s: u64,
    seconds: u64,
}

/// Time after which a call is given up.
const TIMEOUT_MS: u64 = 1_000;

impl Simulation {
    fn new(servers: Vec<Server>) -> Self {
        Self {
            servers,
            boxes: 12,
            calls_per_s: 150,
            seconds: 40,
        }
    }

    /// Returns the latency of each call, which is the timeout for those given up, and the final state of the targets.
    fn run(&self, policy: SelectionPolicy) -> (Vec<u64>, Vec<Server>) {
        let mut random = ChaCha8Rng::seed_from_u64(5);
        let mut servers = self.servers.clone();
        let box_state = BoxState {
            stats: vec![TargetStats::default(); servers.len()],
            open: vec![0; servers.len()],
            reported_loads: vec![(0.0, 0); servers.len()],
            ..BoxState::default()
        };
        let mut boxes = vec![box_state; self.boxes];
        let mut ends = BinaryHeap::new();
        let mut latencies = Vec::new();
        for now_ms in 0..self.seconds * 1_000 {
            while let Some(Reverse((end_ms, box_index, target, began_ms))) = ends.peek().copied() {
                if end_ms > now_ms {
                    break;
                }
                ends.pop();
                latencies.push(end_ms - began_ms);
                record_end(&mut boxes, &servers, box_index, target, began_ms, now_ms);
            }
            if !random.random_bool(self.calls_per_s as f64 / 1_000.0) {
                continue;
            }
            let box_index = random.random_range(0..boxes.len());
            let available: Vec<usize> = (0..servers.len())
                .filter(|target| now_ms >= servers[*target].available_from_ms)
                .collect();
            let candidates: Vec<Candidate> = available
                .iter()
                .map(|target| boxes[box_index].candidate(*target, now_ms))
                .collect();
            let target = available[choose_target(policy, &candidates, || random.random()).unwrap()];
            boxes[box_index].open[target] += 1;
            let work_ms = WORK_MS * random.random_range(0.5..1.5);
            let end_ms = match now_ms >= servers[target].hangs_from_ms {
                true => now_ms + TIMEOUT_MS,
                false => servers[target]
                    .serve(now_ms, work_ms)
                    .min(now_ms + TIMEOUT_MS),
            };
            ends.push(Reverse((end_ms, box_index, target, now_ms)));
        }
        (latencies, servers)
    }
}

fn record_end(
    boxes: &mut [BoxState],
    servers: &[Server],
    box_index: usize,
    target: usize,
    began: u64,
    now: u64,
) {
    let latency_ms = now - began;
    let server = &servers[target];
    let own = &mut boxes[box_index];
    own.open[target] -= 1;
    if latency_ms >= TIMEOUT_MS {
        let baseline_ms = own.baseline.baseline_ms().unwrap_or(WORK_MS);
        own.stats[target]
            .latency
            .record(latency_ms as f64, baseline_ms, now);
        for other in boxes.iter_mut() {
            other.stats[target]
                .suspicion
                .record_no_answer(box_index as u64, now);
        }
        return;
    }
    own.baseline.record(latency_ms as f64);
    if let Some(baseline_ms) = own.baseline.baseline_ms() {
        own.stats[target]
            .latency
            .record(latency_ms as f64, baseline_ms, now);
    }
    own.stats[target].suspicion.clear();
    own.reported_loads[target] = (server.reported_load(now), now);
    let is_change = own.stats[target]
        .slowness
        .is_change(server.reported_slowness_percent, now);
    let receivers = match is_change {
        true => &mut boxes[..],
        false => std::slice::from_mut(own),
    };
    for receiver in receivers {
        receiver.stats[target]
            .slowness
            .update(server.reported_slowness_percent, 0, now);
    }
}

fn p99(mut latencies: Vec<u64>) -> u64 {
    latencies.sort_unstable();
    latencies[latencies.len() * 99 / 100]
}

fn mean(latencies: &[u64]) -> f64 {
    latencies.iter().sum::<u64>() as f64 / latencies.len() as f64
}

#[test]
fn mean_and_p99_latency_fall_if_slow_targets_get_fewer_calls() {
    let mut servers = vec![Server::new(); 6];
    servers[0].latency_ratio = 3.0;
    servers[1].latency_ratio = 2.0;
    let simulation = Simulation::new(servers);
    let (least_loaded, _) = simulation.run(SelectionPolicy::LeastLoaded);
    let (lowest_cost, _) = simulation.run(SelectionPolicy::LowestCost);
    assert!(mean(&lowest_cost) < 0.85 * mean(&least_loaded));
    assert!(p99(lowest_cost) < p99(least_loaded));
}

#[test]
fn a_target_at_a_tenth_of_its_speed_gets_few_calls() {
    let mut servers = vec![Server::new(); 6];
    servers[0].latency_ratio = 10.0;
    let simulation = Simulation::new(servers);
    let (least_loaded, servers_before) = simulation.run(SelectionPolicy::LeastLoaded);
    let (lowest_cost, servers_after) = simulation.run(SelectionPolicy::LowestCost);
    assert!(2 * servers_after[0].served_count < servers_before[0].served_count);
    assert!(mean(&lowest_cost) < 0.8 * mean(&least_loaded));
}

#[test]
fn a_recovered_target_gets_no_burst_of_calls() {
    let mut servers = vec![Server::new(); 6];
    servers[0].available_from_ms = 10_000;
    let mut simulation = Simulation::new(servers);
    simulation.calls_per_s = 300;
    simulation.seconds = 11;
    let (_, servers_after) = simulation.run(SelectionPolicy::LowestCost);
    // The target's equal share of one second's calls is 50.
    assert!((30..=110).contains(&servers_after[0].served_count));
}

#[test]
fn a_slow_target_that_reports_no_load_and_high_speed_attracts_no_extra_calls() {
    let mut servers = vec![Server::new(); 6];
    servers[0].reported_load_ratio = 0.0;
    servers[0].reported_slowness_percent = 50;
    servers[0].latency_ratio = 2.0;
    let simulation = Simulation::new(servers);
    let (least_loaded, servers_before) = simulation.run(SelectionPolicy::LeastLoaded);
    let (lowest_cost, servers_after) = simulation.run(SelectionPolicy::LowestCost);
    assert!(servers_after[0].served_count < servers_before[0].served_count);
    assert!(mean(&lowest_cost) < mean(&least_loaded));
}

#[test]
fn a_target_that_reports_slowness_gets_fewer_calls_from_all_boxes() {
    let mut servers = vec![Server::new(); 6];
    servers[0].latency_ratio = 2.5;
    servers[0].reported_slowness_percent = 250;
    let mut simulation = Simulation::new(servers);
    simulation.boxes = 60;
    let (least_loaded, servers_before) = simulation.run(SelectionPolicy::LeastLoaded);
    let (lowest_cost, servers_after) = simulation.run(SelectionPolicy::LowestCost);
    assert!(2 * servers_after[0].served_count < servers_before[0].served_count);
    assert!(p99(lowest_cost) < p99(least_loaded));
}

#[test]
fn a_hung_target_costs_few_calls() {
    let mut servers = vec![Server::new(); 6];
    servers[0].hangs_from_ms = 10_000;
    let simulation = Simulation::new(servers);
    let lost_calls = |policy| {
        let (latencies, _) = simulation.run(policy);
        latencies
            .iter()
            .filter(|latency_ms| **latency_ms >= TIMEOUT_MS)
            .count()
    };
    assert!(3 * lost_calls(SelectionPolicy::LowestCost) < lost_calls(SelectionPolicy::LeastLoaded));
}

#[test]
fn hung_targets_cost_few_calls_at_a_low_call_rate() {
    let mut servers = vec![Server::new(); 60];
    for server in &mut servers[..6] {
        server.hangs_from_ms = 10_000;
    }
    let mut simulation = Simulation::new(servers);
    simulation.boxes = 200;
    simulation.calls_per_s = 60;
    let (latencies, _) = simulation.run(SelectionPolicy::LowestCost);
    let lost_calls = latencies
        .iter()
        .filter(|latency_ms| **latency_ms >= TIMEOUT_MS)
        .count();
    // For each target the first call and one every 3 s for 30 s.
    assert!(lost_calls <= 6 * 11, "{lost_calls}");
}

/// An idle target in the data centre of the box.
const IDLE: Candidate = Candidate {
    latency_ratio: 1.0,
    fullness: 0.0,
    excess_failure_rate: 0.0,
    penalty: 0.0,
    deprioritized: false,
    suspected: false,
};

#[test]
fn two_choices_never_compares_a_target_with_itself() {
    let empty = IDLE;
    let deprioritized = Candidate {
        deprioritized: true,
        ..empty
    };
    for (a, b) in [(0.0, 0.0), (0.99, 0.99), (0.4, 0.6)] {
        let mut numbers = [a, b].into_iter().cycle();
        let random = || numbers.next().unwrap();
        assert_eq!(
            choose_target(SelectionPolicy::TwoChoices, &[deprioritized, empty], random),
            Some(1)
        );
    }
}

#[test]
fn no_target_is_chosen_without_candidates() {
    assert_eq!(
        choose_target(SelectionPolicy::LowestCost, &[], || 0.5),
        None
    );
}

/// Guards against calls that leave their data centre on the report of one box: with noise on the costs, one in four did while
/// the report counted.
#[test]
fn a_report_of_one_box_moves_calls_only_to_targets_that_are_as_near() {
    let near = Candidate {
        suspected: true,
        ..IDLE
    };
    let far = Candidate {
        penalty: 0.3,
        ..IDLE
    };
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let mut choose = |candidates: &[Candidate]| {
        choose_target(SelectionPolicy::LowestCost, candidates, || rng.random())
    };
    for _ in 0..10_000 {
        assert_eq!(choose(&[near, far]), Some(0));
        assert_eq!(choose(&[near, far, IDLE]), Some(2));
    }
}
