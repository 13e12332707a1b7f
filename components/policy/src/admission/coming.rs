//! What comes: by rank, how many requests came lately, and what they hold. It tells how much room those that are more
//! urgent will take before a request that waits is served.

use crate::admission::outlook::Need;
use crate::admission::room_ahead::Curve;
use crate::demand::{Demand, RANK_COUNT};

/// Time after which an arrival counts half: a burst shows within a second, and is forgotten some seconds after it.
const HALF_LIFE_MS: f64 = 1_000.0;

/// What came lately of one rank, as sums in which older requests count less.
#[derive(Clone, Copy, Debug, Default)]
struct RankComing {
    /// Mean memory that they hold until each point in time.
    held: Curve,
    /// The most memory that each holds at any time.
    peak_tokens: f64,
    requests: f64,
    prompt_tokens: f64,
    seen_ms: u64,
}

impl RankComing {
    fn fade(&self, now_ms: u64) -> f64 {
        (-(now_ms.saturating_sub(self.seen_ms) as f64) / HALF_LIFE_MS).exp2()
    }
}

/// What came lately of each rank.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Coming {
    ranks: [RankComing; RANK_COUNT],
}

impl Coming {
    /// Notes that a request came.
    pub fn came(&mut self, demand: &Demand, need: &Need, now_ms: u64) {
        let coming = &mut self.ranks[usize::from(demand.clamped_rank())];
        let fade = coming.fade(now_ms);
        for (sum, held) in coming.held.iter_mut().zip(need.held) {
            *sum = *sum * fade + held;
        }
        coming.peak_tokens = coming.peak_tokens * fade + need.peak_tokens;
        coming.prompt_tokens = coming.prompt_tokens * fade + f64::from(demand.prompt_tokens);
        coming.requests = coming.requests * fade + 1.0;
        coming.seen_ms = now_ms;
    }

    /// Memory that a request holds at the most, on the mean over all that came lately.
    pub fn usual_tokens(&self, now_ms: u64) -> f64 {
        let (mut tokens, mut requests) = (0.0, 0.0);
        for coming in &self.ranks {
            tokens += coming.peak_tokens * coming.fade(now_ms);
            requests += coming.requests * coming.fade(now_ms);
        }
        if requests > 0.0 {
            tokens / requests
        } else {
            0.0
        }
    }

    /// Requests more urgent than a rank that come in a millisecond.
    pub fn requests_before(&self, rank: u8, now_ms: u64) -> f64 {
        let whole_ms = HALF_LIFE_MS / std::f64::consts::LN_2;
        let coming = &self.ranks[..usize::from(rank)];
        let lately = coming.iter().map(|c| c.requests * c.fade(now_ms));
        lately.sum::<f64>() / whole_ms
    }

    /// Prompt tokens of requests more urgent than a rank that come in a millisecond.
    pub fn prompt_tokens_before(&self, rank: u8, now_ms: u64) -> f64 {
        let whole_ms = HALF_LIFE_MS / std::f64::consts::LN_2;
        let coming = &self.ranks[..usize::from(rank)];
        let lately = coming.iter().map(|c| c.prompt_tokens * c.fade(now_ms));
        lately.sum::<f64>() / whole_ms
    }

    /// Memory that requests more urgent than a rank, which have not come yet, hold at each point in time.
    pub fn taken_before(&self, rank: u8, point_ms: impl Fn(usize) -> f64, now_ms: u64) -> Curve {
        let mut taken = Curve::default();
        let whole_ms = HALF_LIFE_MS / std::f64::consts::LN_2;
        for coming in &self.ranks[..usize::from(rank)] {
            let per_ms = coming.fade(now_ms) / whole_ms;
            if per_ms == 0.0 || coming.requests == 0.0 {
                continue;
            }
            for (at, (taken, held)) in taken.iter_mut().zip(coming.held).enumerate() {
                *taken += held * per_ms * point_ms(at);
            }
        }
        taken
    }
}

#[cfg(test)]
#[path = "coming_tests.rs"]
mod tests;
