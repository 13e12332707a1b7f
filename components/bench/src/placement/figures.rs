//! The figures of a run.

use super::arrivals::Arrival;
use super::run::Measured;
use super::workload::Workload;
use crate::stats::Times;
use serde::Serialize;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};
use trial::{ChatEnd, ChatResult};

/// The figures of one policy.
#[derive(Clone, Debug, Serialize)]
pub struct Figures {
    /// The policy.
    pub name: String,
    /// Time between tokens beyond twice the uncrowded gap, for each 1,000 tokens.
    pub stall_s_per_1k_tokens: f64,
    /// The same, summed over an answer, at its 99th percentile.
    pub answer_stall_p99_ms: f64,
    /// Preemptions for each 1,000 answers.
    pub preemptions_per_1k: f64,
    /// Gap between tokens.
    pub token_gap_p95_ms: f64,
    /// Gap between tokens.
    pub token_gap_p99_ms: f64,
    /// Time to the first token.
    pub first_token_p95_ms: f64,
    /// Whole answers a second.
    pub completed_per_s: f64,
    /// Tokens delivered a second.
    pub tokens_per_s: f64,
    /// Share of the requests that was refused.
    pub refused_share: f64,
    /// Answers that ended early.
    pub failed: u64,
    /// Jain's index of service between owners, against a max-min fair division.
    pub fairness_jain: f64,
    /// Bytes between boxes, for each box and second.
    pub control_bytes_per_box_s: f64,
    /// Time of a decision.
    pub decision_ns_p99: u64,
}

/// The figures of all policies on one workload.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// Name of the workload.
    pub workload: String,
    /// A row for each policy.
    pub policies: Vec<Figures>,
}

/// Charge of a generated token, where a prompt token is charged one.
const OUTPUT_CHARGE: f64 = 2.0;

impl Figures {
    /// The figures of what was measured.
    pub fn new(name: &str, workload: &Workload, measured: &Measured) -> Self {
        let stall_bound_us = 2 * workload.uncrowded_gap_us();
        let mut gaps = Times::default();
        let mut first = Times::default();
        let mut answer_stall = Times::default();
        let (mut stall_us, mut tokens, mut whole, mut refused, mut failed) = (0, 0, 0u64, 0u64, 0);
        let (from, to) = measured.window;
        let counted = |(arrival, _): &&(Arrival, _)| arrival.at_us >= workload.warm_up_ms * 1000;
        let mut counted_tokens = 0u64;
        let mut arrived = 0u64;
        for answer in measured
            .answers
            .iter()
            .filter_map(|(_, answer)| answer.as_ref())
        {
            let (inside, last) = chunks_between(answer, from, to);
            counted_tokens += inside;
            let ended_inside = last.is_some_and(|last| last >= from && last < to);
            whole += u64::from(answer.is_whole() && ended_inside);
        }
        for (_, answer) in measured.answers.iter().filter(counted) {
            arrived += 1;
            let Some(answer) = answer else { continue };
            tokens += answer.chunks;
            let stalled = stall_of(answer, stall_bound_us);
            stall_us += stalled;
            answer
                .gaps_us
                .iter()
                .for_each(|gap_us| gaps.add_us(u64::from(*gap_us)));
            if let Some(time) = answer.first {
                first.add_us(time.as_micros() as u64);
                answer_stall.add_us(stalled);
            }
            match &answer.end {
                ChatEnd::Whole => {}
                ChatEnd::Refused(_) => refused += 1,
                ChatEnd::Failed(_) | ChatEnd::Lost(_) | ChatEnd::Wrong(_) => failed += 1,
            }
        }
        let counted_s = (to - from).as_secs_f64();
        let mut decisions = measured.decisions_ns.clone();
        decisions.sort_unstable();
        let box_seconds = f64::from(workload.boxes) * measured.whole.as_secs_f64();
        Self {
            name: name.into(),
            stall_s_per_1k_tokens: stall_us as f64 / 1e6 / (tokens.max(1) as f64 / 1000.0),
            answer_stall_p99_ms: answer_stall.ms(99.0),
            preemptions_per_1k: measured.preemptions as f64 * 1000.0 / whole.max(1) as f64,
            token_gap_p95_ms: gaps.ms(95.0),
            token_gap_p99_ms: gaps.ms(99.0),
            first_token_p95_ms: first.ms(95.0),
            completed_per_s: whole as f64 / counted_s,
            tokens_per_s: counted_tokens as f64 / counted_s,
            refused_share: refused as f64 / arrived.max(1) as f64,
            failed,
            fairness_jain: fairness(workload, measured),
            control_bytes_per_box_s: measured.control_bytes as f64 / box_seconds,
            decision_ns_p99: decisions
                .get(decisions.len() * 99 / 100)
                .copied()
                .unwrap_or(0),
        }
    }

    /// The figures on a line, for a person.
    pub fn line(&self) -> String {
        format!(
            "{:12} stall {:7.4} s/1k  p99 {:8.1} ms  preempt {:7.1}/1k  gap p99 {:7.2} ms  \
             first p95 {:7.0} ms  done {:6.1}/s  tokens {:7.0}/s  refused {:5.3}  failed {:3}  \
             jain {:5.3}  ctl {:6.0} B/s  decide {:6} ns",
            self.name,
            self.stall_s_per_1k_tokens,
            self.answer_stall_p99_ms,
            self.preemptions_per_1k,
            self.token_gap_p99_ms,
            self.first_token_p95_ms,
            self.completed_per_s,
            self.tokens_per_s,
            self.refused_share,
            self.failed,
            self.fairness_jain,
            self.control_bytes_per_box_s,
            self.decision_ns_p99
        )
    }
}

impl Report {
    /// Prints the figures as a line of JSON, or what the lines on standard error left out.
    pub fn print(&self, json: bool) {
        if json {
            println!("{}", serde_json::to_string(self).unwrap_or_default());
        } else {
            println!("workload {}", self.workload);
            self.policies
                .iter()
                .for_each(|figures| println!("  {}", figures.line()));
        }
    }
}

/// Chunks that came in a time, and when the last of all came.
fn chunks_between(answer: &ChatResult, from: Instant, to: Instant) -> (u64, Option<Instant>) {
    let Some(first) = answer.first else {
        return (0, None);
    };
    let mut at = answer.began + first;
    let mut inside = u64::from(at >= from && at < to);
    for gap_us in &answer.gaps_us {
        at += Duration::from_micros(u64::from(*gap_us));
        inside += u64::from(at >= from && at < to);
    }
    (inside, Some(at))
}

fn stall_of(answer: &ChatResult, bound_us: u64) -> u64 {
    let beyond = |gap_us: &u32| u64::from(*gap_us).saturating_sub(bound_us);
    answer.gaps_us.iter().map(beyond).sum()
}

/// Jain's index of what each owner got against what it would get if all that was served were divided
/// max-min fairly: by weight, but to nobody more than it asked for.
fn fairness(workload: &Workload, measured: &Measured) -> f64 {
    let mut owners: BTreeMap<&str, Owner> = BTreeMap::new();
    let warm_up_us = workload.warm_up_ms * 1000;
    let counted = measured
        .answers
        .iter()
        .filter(|(arrival, _)| arrival.at_us >= warm_up_us);
    for (arrival, answer) in counted {
        let load = &workload.accounts[arrival.account];
        let owner = owners.entry(&load.owner).or_default();
        owner.weight = load.owner_weight;
        let charge = |output: f64| f64::from(arrival.prompt_tokens) + OUTPUT_CHARGE * output;
        owner.asked += charge(f64::from(arrival.output_tokens));
        let chunks = answer.as_ref().map_or(0, |answer| answer.chunks);
        if chunks > 0 {
            owner.served += charge(chunks as f64);
        }
    }
    let owners: Vec<Owner> = owners.into_values().collect();
    let fair = max_min(&owners);
    let ratios: Vec<f64> = owners
        .iter()
        .zip(&fair)
        .map(|(owner, fair)| owner.served / fair.max(1.0))
        .collect();
    let sum: f64 = ratios.iter().sum();
    let squares: f64 = ratios.iter().map(|ratio| ratio * ratio).sum();
    sum * sum / (ratios.len() as f64 * squares).max(f64::MIN_POSITIVE)
}

#[derive(Clone, Copy, Debug, Default)]
struct Owner {
    weight: f64,
    asked: f64,
    served: f64,
}

fn max_min(owners: &[Owner]) -> Vec<f64> {
    let mut left: f64 = owners.iter().map(|owner| owner.served).sum();
    let mut fair = vec![0.0; owners.len()];
    let mut open: Vec<usize> = (0..owners.len()).collect();
    while !open.is_empty() {
        let weights: f64 = open.iter().map(|at| owners[*at].weight).sum();
        let part = left / weights;
        let (sated, hungry): (Vec<usize>, Vec<usize>) = open
            .iter()
            .partition(|at| owners[**at].asked <= part * owners[**at].weight);
        if sated.is_empty() {
            open.iter()
                .for_each(|at| fair[*at] = part * owners[*at].weight);
            return fair;
        }
        for at in sated {
            fair[at] = owners[at].asked;
            left -= owners[at].asked;
        }
        open = hungry;
    }
    fair
}
