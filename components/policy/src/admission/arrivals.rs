//! Recent arrivals by rank, with their memory and prompt tokens. They predict how much memory and
//! prefill more urgent requests will take before a waiting request is served.

use crate::admission::forecast::MemoryNeed;
use crate::admission::memory_forecast::TokensByHorizon;
use crate::demand::{Demand, RANK_COUNT};

/// Half-life of an arrival: a burst shows within a second and has faded a few seconds later.
const HALF_LIFE_MS: f64 = 1_000.0;

/// Sums over the arrivals of one rank, with exponential decay.
#[derive(Clone, Copy, Debug, Default)]
struct RankArrivals {
    /// Time-averaged memory use until each horizon.
    time_averaged_tokens: TokensByHorizon,
    /// Peak memory use.
    peak_tokens: f64,
    requests: f64,
    prompt_tokens: f64,
    updated_ms: u64,
}

impl RankArrivals {
    fn decay(&self, now_ms: u64) -> f64 {
        (-(now_ms.saturating_sub(self.updated_ms) as f64) / HALF_LIFE_MS).exp2()
    }
}

/// Recent arrivals of all ranks.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Arrivals {
    ranks: [RankArrivals; RANK_COUNT],
}

impl Arrivals {
    /// Adds an arrival.
    pub fn record(&mut self, demand: &Demand, need: &MemoryNeed, now_ms: u64) {
        let arrivals = &mut self.ranks[usize::from(demand.clamped_rank())];
        let decay = arrivals.decay(now_ms);
        for (sum, tokens) in arrivals
            .time_averaged_tokens
            .iter_mut()
            .zip(need.time_averaged_tokens)
        {
            *sum = *sum * decay + tokens;
        }
        arrivals.peak_tokens = arrivals.peak_tokens * decay + need.peak_tokens;
        arrivals.prompt_tokens = arrivals.prompt_tokens * decay + f64::from(demand.prompt_tokens);
        arrivals.requests = arrivals.requests * decay + 1.0;
        arrivals.updated_ms = now_ms;
    }

    /// Returns the mean peak memory of recent arrivals, in tokens.
    pub fn mean_peak_tokens(&self, now_ms: u64) -> f64 {
        let (mut tokens, mut requests) = (0.0, 0.0);
        for arrivals in &self.ranks {
            tokens += arrivals.peak_tokens * arrivals.decay(now_ms);
            requests += arrivals.requests * arrivals.decay(now_ms);
        }
        if requests > 0.0 {
            tokens / requests
        } else {
            0.0
        }
    }

    /// Returns the arrivals per millisecond of requests more urgent than `rank`.
    pub fn urgent_requests_per_ms(&self, rank: u8, now_ms: u64) -> f64 {
        let mean_lifetime_ms = HALF_LIFE_MS / std::f64::consts::LN_2;
        let arrivals = &self.ranks[..usize::from(rank)];
        let recent = arrivals.iter().map(|c| c.requests * c.decay(now_ms));
        recent.sum::<f64>() / mean_lifetime_ms
    }

    /// Returns the prompt tokens per millisecond that arrive with requests more urgent than `rank`.
    pub fn urgent_prompt_tokens_per_ms(&self, rank: u8, now_ms: u64) -> f64 {
        let mean_lifetime_ms = HALF_LIFE_MS / std::f64::consts::LN_2;
        let arrivals = &self.ranks[..usize::from(rank)];
        let recent = arrivals.iter().map(|c| c.prompt_tokens * c.decay(now_ms));
        recent.sum::<f64>() / mean_lifetime_ms
    }

    /// Returns the memory that future arrivals more urgent than `rank` use at each horizon, in
    /// tokens.
    pub fn urgent_tokens_by_horizon(
        &self,
        rank: u8,
        horizon_ms: impl Fn(usize) -> f64,
        now_ms: u64,
    ) -> TokensByHorizon {
        let mut taken = TokensByHorizon::default();
        let mean_lifetime_ms = HALF_LIFE_MS / std::f64::consts::LN_2;
        for arrivals in &self.ranks[..usize::from(rank)] {
            let per_ms = arrivals.decay(now_ms) / mean_lifetime_ms;
            if per_ms == 0.0 || arrivals.requests == 0.0 {
                continue;
            }
            for (at, (taken, tokens)) in taken
                .iter_mut()
                .zip(arrivals.time_averaged_tokens)
                .enumerate()
            {
                *taken += tokens * per_ms * horizon_ms(at);
            }
        }
        taken
    }
}

#[cfg(test)]
#[path = "arrivals_tests.rs"]
mod tests;
