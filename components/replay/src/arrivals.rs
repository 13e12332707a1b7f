//! Draws the requests of a load pattern from a seed.

use crate::load::{Event, Happening, Kind, Lengths, Load};
use crate::request::Request;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, Exp, LogNormal};

/// The account that floods.
const FLOODING_ACCOUNT: u32 = 0;

/// All requests, in the order in which they come.
pub fn arrivals(load: &Load, seed: u64) -> Vec<Request> {
    let mut all = Vec::new();
    for (at, kind) in load.kinds.iter().enumerate() {
        // A generator of its own for each kind: a burst of one leaves the others as they are.
        let mut rng = ChaCha8Rng::seed_from_u64(seed.wrapping_mul(31).wrapping_add(at as u64));
        arrivals_of(load, at, kind, &mut rng, &mut all);
    }
    all.sort_by_key(|request| (request.at_ms, request.kind, request.prompt_tokens));
    all
}

fn arrivals_of(
    load: &Load,
    kind_at: usize,
    kind: &Kind,
    rng: &mut ChaCha8Rng,
    all: &mut Vec<Request>,
) {
    let most = kind.per_s * most_times(load, kind);
    let Ok(gap) = Exp::new(most / 1000.0) else {
        return;
    };
    let mut at_ms = 0.0;
    loop {
        at_ms += gap.sample(rng);
        if !at_ms.is_finite() || at_ms as u64 >= load.length_ms {
            return;
        }
        let now_ms = at_ms as u64;
        // Thinning: of the most that may come, the share that comes now.
        let kept = rng.random::<f64>() < times(load, kind, now_ms) / most_times(load, kind);
        let request = draw(load, kind_at, kind, now_ms, rng);
        if kept {
            all.push(request);
        }
    }
}

fn is_of(named: Option<&String>, kind: &Kind) -> bool {
    named.is_none_or(|name| *name == kind.name)
}

fn is_on(event: &Event, now_ms: u64) -> bool {
    (event.at_ms..event.at_ms + event.for_ms).contains(&now_ms)
}

fn burst_times(event: &Event, kind: &Kind) -> f64 {
    match &event.what {
        Happening::Burst { kind: named, times } if is_of(named.as_ref(), kind) => *times,
        Happening::Flood { share } => 1.0 + share,
        _ => 1.0,
    }
}

fn most_times(load: &Load, kind: &Kind) -> f64 {
    let swing = load.wave.map_or(0.0, |wave| wave.swing);
    let bursts = load.events.iter().map(|event| burst_times(event, kind));
    (1.0 + swing) * bursts.map(|times| times.max(1.0)).product::<f64>()
}

fn times(load: &Load, kind: &Kind, now_ms: u64) -> f64 {
    let wave = load.wave.map_or(1.0, |wave| {
        let turn = now_ms as f64 / wave.period_ms.max(1) as f64;
        1.0 + wave.swing * (turn * std::f64::consts::TAU).sin()
    });
    let on = load.events.iter().filter(|event| is_on(event, now_ms));
    wave * on.map(|event| burst_times(event, kind)).product::<f64>()
}

fn length_times(load: &Load, kind: &Kind, now_ms: u64) -> (f64, f64) {
    let mut times = (1.0, 1.0);
    for event in load.events.iter().filter(|event| is_on(event, now_ms)) {
        match &event.what {
            Happening::LongPrompts {
                kind: named,
                times: by,
            } if is_of(named.as_ref(), kind) => {
                times.0 *= by;
            }
            Happening::LongAnswers {
                kind: named,
                times: by,
            } if is_of(named.as_ref(), kind) => {
                times.1 *= by;
            }
            _ => {}
        }
    }
    times
}

fn draw(load: &Load, kind_at: usize, kind: &Kind, at_ms: u64, rng: &mut ChaCha8Rng) -> Request {
    let (longer_prompt, longer_answer) = length_times(load, kind, at_ms);
    let prompt_tokens = draw_tokens(kind.prompt_tokens, longer_prompt, rng);
    let length_tokens = draw_tokens(kind.answer_tokens, longer_answer, rng);
    let guess = LogNormal::new(0.0, kind.guess_spread.max(0.0));
    let off = guess.map_or(1.0, |guess| guess.sample(rng));
    Request {
        kind: kind_at,
        account: draw_account(load, at_ms, rng),
        data_centre: rng.random_range(0..load.data_centres),
        at_ms,
        prompt_tokens,
        length_tokens,
        guess_tokens: (f64::from(length_tokens) * off).clamp(1.0, 1e6) as u32,
    }
}

fn draw_tokens(lengths: Lengths, times: f64, rng: &mut ChaCha8Rng) -> u32 {
    let variance = (1.0 + lengths.spread * lengths.spread).ln();
    let median = lengths.mean.ln() - variance / 2.0;
    let drawn = LogNormal::new(median, variance.sqrt());
    let drawn = drawn.map_or(lengths.mean, |drawn| drawn.sample(rng));
    (drawn * times).clamp(1.0, f64::from(lengths.most)) as u32
}

fn draw_account(load: &Load, at_ms: u64, rng: &mut ChaCha8Rng) -> u32 {
    let mut flood = load.events.iter().filter(|event| is_on(event, at_ms));
    let flood = flood.find_map(|event| match event.what {
        Happening::Flood { share } => Some(share / (1.0 + share)),
        _ => None,
    });
    if flood.is_some_and(|share| rng.random::<f64>() < share) {
        return FLOODING_ACCOUNT;
    }
    // A few are large: the square of an even draw.
    let draw: f64 = rng.random();
    ((draw * draw * f64::from(load.accounts)) as u32).min(load.accounts - 1)
}
