//! The arrivals of a workload, the same for every policy.

use super::workload::{EventKind, Length, Load, Workload};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, Exp1, LogNormal};

/// One request.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// When, after the first.
    pub at_us: u64,
    /// Whose, by place in the workload.
    pub account: usize,
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Tokens of the answer.
    pub output_tokens: u32,
    /// Which prefix the prompt has.
    pub prefix: Option<u32>,
}

/// All the requests of a workload, in order.
pub fn arrivals(workload: &Workload, seed: u64, time_ms: u64) -> Vec<Arrival> {
    let mut all = Vec::new();
    for (account, load) in workload.accounts.iter().enumerate() {
        let mut rng = ChaCha8Rng::seed_from_u64(seed ^ ((account as u64 + 1) << 32));
        let mut at_us = 0.0;
        loop {
            let gap: f64 = Exp1.sample(&mut rng);
            at_us += gap * 1e6 / (load.arrivals_per_s * burst_factor(load, at_us));
            if at_us >= time_ms as f64 * 1000.0 {
                break;
            }
            let shift = length_shift(workload, at_us);
            all.push(Arrival {
                at_us: at_us as u64,
                account,
                prompt_tokens: draw(&load.prompt_tokens, 1.0, &mut rng),
                output_tokens: draw(&load.output_tokens, shift, &mut rng),
                prefix: (load.prefixes > 0).then(|| rng.random_range(0..load.prefixes.max(1))),
            });
        }
    }
    all.sort_by_key(|arrival| arrival.at_us);
    all
}

fn burst_factor(load: &Load, at_us: f64) -> f64 {
    let Some(burst) = load.burst else {
        return 1.0;
    };
    let in_burst = (at_us / 1000.0) as u64 % burst.every_ms < burst.length_ms;
    if in_burst { burst.factor } else { 1.0 }
}

fn length_shift(workload: &Workload, at_us: f64) -> f64 {
    let past = workload
        .events
        .iter()
        .filter(|event| event.at_ms as f64 * 1000.0 <= at_us);
    past.fold(1.0, |factor, event| match event.kind {
        EventKind::LengthShift { factor: more } => factor * more,
        _ => factor,
    })
}

fn draw(length: &Length, factor: f64, rng: &mut ChaCha8Rng) -> u32 {
    let mean = (length.median * factor).max(1.0).ln();
    let drawn = LogNormal::new(mean, length.sigma).map_or(1.0, |dist| dist.sample(rng));
    (drawn as u32).clamp(1, length.max)
}
