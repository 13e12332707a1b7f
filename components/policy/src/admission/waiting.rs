//! Who is let wait, by a forecast of their first tokens: what would come too late is refused at once, so that its caller
//! can come back elsewhere or later, and what is let wait is nearly always served in time.
//!
//! Two resources bind. Reading is run forward over the engines in the order in which requests are about to be served.
//! Memory frees in no order that could be run forward, as answers end when they end: where the first in line fits
//! nowhere, the pace at which requests of its rank were granted lately counts too. The later of the two is the forecast.
//!
//! Load patterns that this answers: a burst while a third of the engines is evacuated, prompts that are suddenly twice
//! as long, a flood of requests that are less urgent than the others.

use crate::admission::forward::{ForwardRun, Reader};
use crate::demand::{Demand, Verdict};
use crate::placement::ledger::{EngineLedger, EngineState};
use crate::pool::Pool;
use prelude::{PermitId, Refusal, RefusalReason};

/// Share of the time until its first token is due within which a request may be refused though it was let wait: later its
/// caller would have waited for nothing.
const EARLY_SHARE: f64 = 0.2;
/// Share of that time for which a request waits at the least, though its prompt takes longer to read than there is
/// time: an engine may be faster than it seems.
const WAIT_MIN_SHARE: f64 = 0.1;
/// A prompt whose first token comes within so many times what it takes to be read is not refused: nothing is before it.
const ALONE_TIMES: f64 = 1.1;
/// Least time after which a refused caller is told to come back.
const RETRY_AFTER_MIN_MS: u64 = 100;

impl Pool {
    /// Refusal of a request whose first token would come too late, with the time by which it would be late: then as much
    /// work is done as was too much.
    pub(crate) fn too_late(&self, demand: &Demand, now_ms: u64) -> Option<Refusal> {
        let mut run = self.run_forward(now_ms);
        let mut same_rank = 0;
        for other in self.queue.before(demand, &self.tree) {
            run.read(other.prompt_tokens);
            same_rank += usize::from(other.is_urgent() == demand.is_urgent());
        }
        let first_ms = self.first_token_ms(&run, demand, same_rank)?;
        self.over_ms(demand, first_ms, now_ms).map(crowded)
    }

    /// Refuses what was let wait a moment ago and will be too late by what is known now.
    pub(crate) fn refuse_early(&mut self, now_ms: u64) -> Vec<(PermitId, Verdict)> {
        let mut run = self.run_forward(now_ms);
        let mut ahead = [0, 0];
        let mut refused = Vec::new();
        for demand in self.queue.in_order(&self.tree) {
            let rank = usize::from(!demand.is_urgent());
            let Some(first_ms) = self.first_token_ms(&run, demand, ahead[rank]) else {
                break;
            };
            let waited_ms = now_ms.saturating_sub(demand.since_ms) as f64;
            let is_early = waited_ms <= whole_ms(demand) * EARLY_SHARE;
            let over_ms = self.over_ms(demand, first_ms, now_ms);
            if let Some(over_ms) = over_ms.filter(|_| is_early) {
                refused.push((demand.permit, crowded(over_ms)));
                continue;
            }
            run.read(demand.prompt_tokens);
            ahead[rank] += 1;
        }
        for (permit, _) in &refused {
            if let Some(demand) = self.queue.remove(*permit) {
                self.usage.refused(&demand);
                self.tree.leaves(&demand.share);
            }
        }
        let verdict = |(permit, refusal)| (permit, Verdict::Refused(refusal));
        refused.into_iter().map(verdict).collect()
    }

    /// Until when a request waits: beyond that its prompt could not be read in time.
    pub(crate) fn waits_until_ms(&self, demand: &Demand) -> u64 {
        let latest_ms = demand
            .deadline_ms
            .saturating_sub(self.read_ms(demand) as u64);
        let least_ms = (whole_ms(demand) * WAIT_MIN_SHARE) as u64;
        latest_ms.max(demand.since_ms.saturating_add(least_ms))
    }

    /// By how much a first token comes too late; none where it does not, or where nothing is before it.
    fn over_ms(&self, demand: &Demand, first_ms: f64, now_ms: u64) -> Option<f64> {
        let left_ms = demand.deadline_ms.saturating_sub(now_ms) as f64;
        let alone_ms = self.read_ms(demand) * ALONE_TIMES;
        (first_ms > left_ms.max(alone_ms)).then_some(first_ms - left_ms)
    }

    /// Time until the first token of a request that goes next, behind so many of its rank.
    fn first_token_ms(&self, run: &ForwardRun, demand: &Demand, same_rank: usize) -> Option<f64> {
        let by_reading_ms = run.first_token_ms(demand.prompt_tokens)?;
        if same_rank == 0 {
            return Some(by_reading_ms);
        }
        let pace = self.paces[usize::from(!demand.is_urgent())].ms_per_grant();
        let granted_ms = pace.unwrap_or(0.0) * (same_rank + 1) as f64;
        Some(by_reading_ms.max(granted_ms + self.read_ms(demand)))
    }

    fn read_ms(&self, demand: &Demand) -> f64 {
        f64::from(demand.prompt_tokens) / self.reading_rate.tokens_per_ms()
    }

    fn run_forward(&self, now_ms: u64) -> ForwardRun {
        let takes = |ledger: &&EngineLedger| {
            ledger.state == EngineState::Live && ledger.bears_one_more(now_ms)
        };
        let reader = |ledger: &EngineLedger| Reader {
            left_ms: ledger.reading.left_ms(&self.reading_rate, now_ms),
            tokens_per_ms: ledger.reading.rate(&self.reading_rate),
        };
        let readers = self.engines.iter().filter(takes).map(reader);
        ForwardRun::new(&readers.collect::<Vec<_>>())
    }
}

/// The time from its coming until its first token is due.
fn whole_ms(demand: &Demand) -> f64 {
    demand.deadline_ms.saturating_sub(demand.since_ms) as f64
}

fn crowded(over_ms: f64) -> Refusal {
    Refusal {
        reason: RefusalReason::Crowded,
        retry_after_ms: Some((over_ms as u64).max(RETRY_AFTER_MIN_MS)),
    }
}

#[cfg(test)]
#[path = "waiting_tests.rs"]
mod tests;
