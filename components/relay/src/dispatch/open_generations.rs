//! The open generations of this box, and what is not yet reported to their dispatchers.

use crate::dispatch::gaps::PendingGaps;
use crate::dispatch::usage_window::{GenerationUsage, UsageWindow};
use peers::{AcquireRequest, AdoptedStream, EndedStream, OpenStreams, StreamProgress};
use prelude::{BoxId, PoolId, TargetId};
use std::collections::BTreeMap;

/// One open generation.
#[derive(Clone, Copy, Debug)]
pub(crate) struct OpenGeneration {
    pub request: AcquireRequest,
    pub target: TargetId,
    pub tokens: u32,
    reported_tokens: u32,
    gaps: PendingGaps,
    began_ms: u64,
}

impl OpenGeneration {
    fn usage_until(&self, now_ms: u64) -> GenerationUsage {
        GenerationUsage {
            pool: self.request.pool,
            account: self.request.account,
            prompt_tokens: self.request.prompt_tokens,
            tokens: self.tokens,
            began_ms: self.began_ms,
            ended_ms: now_ms,
        }
    }
}

/// Number of new tokens of a generation after which its progress is reported.
const REPORT_EACH_TOKENS: u32 = 128;

/// All open generations, and ended ones that are not yet reported.
#[derive(Clone, Debug, Default)]
pub(crate) struct OpenGenerations {
    open: BTreeMap<u64, OpenGeneration>,
    ended: Vec<(PoolId, EndedStream)>,
    next_serial: u64,
    usage_window: UsageWindow,
    /// For each pool the dispatcher that last received the open generations.
    last_dispatchers: BTreeMap<PoolId, BoxId>,
}

impl OpenGenerations {
    pub(crate) fn next_serial(&mut self) -> u64 {
        self.next_serial += 1;
        self.next_serial
    }

    pub(crate) fn insert(&mut self, request: AcquireRequest, target: TargetId, now_ms: u64) {
        let generation = OpenGeneration {
            request,
            target,
            tokens: 0,
            reported_tokens: 0,
            gaps: PendingGaps::default(),
            began_ms: now_ms,
        };
        self.open.insert(request.permit.serial, generation);
    }

    pub(crate) fn get(&self, serial: u64) -> Option<OpenGeneration> {
        self.open.get(&serial).copied()
    }

    pub(crate) fn set_target(&mut self, serial: u64, target: TargetId) {
        if let Some(generation) = self.open.get_mut(&serial) {
            generation.target = target;
            // Gaps measured so far belong to the previous engine.
            generation.gaps = PendingGaps::default();
        }
    }

    /// Records the token count of a generation. Returns true if it is to be reported now.
    pub(crate) fn record_tokens(&mut self, serial: u64, tokens: u32) -> bool {
        let Some(generation) = self.open.get_mut(&serial) else {
            return false;
        };
        let first = generation.tokens == 0 && tokens > 0;
        generation.tokens = tokens;
        first || tokens >= generation.reported_tokens + REPORT_EACH_TOKENS
    }

    /// Records the slowness that the engine of a generation reported, in percent.
    pub(crate) fn record_slowness(&mut self, serial: u64, percent: u32) {
        if let Some(generation) = self.open.get_mut(&serial) {
            generation.gaps.record_slowness(percent);
        }
    }

    /// Records the time in which the engine of a generation made its next events.
    pub(crate) fn record_gap(&mut self, serial: u64, engine: TargetId, gap_ms: u64, events: u32) {
        let Some(generation) = self.open.get_mut(&serial) else {
            return;
        };
        // During a migration the permit may already be for the destination, while the source still makes events.
        if generation.target == engine {
            generation.gaps.record_gap(gap_ms, events);
        }
    }

    pub(crate) fn record_end(&mut self, serial: u64, finished: bool, now_ms: u64) {
        let Some(mut generation) = self.open.remove(&serial) else {
            return;
        };
        self.usage_window.record_end(generation.usage_until(now_ms));
        let ended = EndedStream {
            serial,
            tokens: generation.tokens,
            finished,
            gaps: generation.gaps.take(),
        };
        self.ended.push((generation.request.pool, ended));
    }

    /// Returns the pools with open or unreported ended generations, and those whose dispatcher, as named by `current`, is not
    /// the one that received the last report: what it knows of this box may be outdated.
    pub(crate) fn pools_to_report(&self, current: impl Fn(PoolId) -> Option<BoxId>) -> Vec<PoolId> {
        let open = self.open.values().map(|generation| generation.request.pool);
        let ended = self.ended.iter().map(|end| end.0);
        let is_changed =
            |(pool, last): &(&PoolId, &BoxId)| current(**pool).is_some_and(|id| id != **last);
        let changed = self
            .last_dispatchers
            .iter()
            .filter(is_changed)
            .map(|(pool, _)| *pool);
        let mut pools: Vec<PoolId> = open.chain(ended).chain(changed).collect();
        pools.sort();
        pools.dedup();
        pools
    }

    /// Takes progress and ends in a pool that are not yet reported to its dispatcher.
    pub(crate) fn take_unreported(
        &mut self,
        pool: PoolId,
    ) -> (Vec<StreamProgress>, Vec<EndedStream>) {
        let mut progress = Vec::new();
        for (serial, generation) in &mut self.open {
            if generation.request.pool == pool && generation.tokens > generation.reported_tokens {
                generation.reported_tokens = generation.tokens;
                progress.push(StreamProgress {
                    serial: *serial,
                    tokens: generation.tokens,
                    gaps: generation.gaps.take(),
                });
            }
        }
        let (taken, remaining) = std::mem::take(&mut self.ended)
            .into_iter()
            .partition(|(ended_in, _)| *ended_in == pool);
        self.ended = remaining;
        let taken: Vec<(PoolId, EndedStream)> = taken;
        (
            progress,
            taken.into_iter().map(|(_, ended)| ended).collect(),
        )
    }

    /// Records that a dispatcher receives the reports of a pool. Returns the previous one if it was another box: the new
    /// dispatcher then knows nothing of this box, or has an outdated list.
    pub(crate) fn set_dispatcher(&mut self, pool: PoolId, dispatcher: BoxId) -> Option<BoxId> {
        let previous = self.last_dispatchers.insert(pool, dispatcher);
        previous.filter(|previous| *previous != dispatcher)
    }

    /// Reverts [`Self::set_dispatcher`] after a failed report, unless the dispatcher has changed again since.
    pub(crate) fn restore_dispatcher(&mut self, pool: PoolId, dispatcher: BoxId, previous: BoxId) {
        if self.last_dispatchers.get(&pool) == Some(&dispatcher) {
            self.last_dispatchers.insert(pool, previous);
        }
    }

    /// Returns everything that a dispatcher new to this box needs: open generations and recent usage.
    pub(crate) fn snapshot(&self, pool: PoolId, now_ms: u64) -> OpenStreams {
        let of_pool = self
            .open
            .values()
            .filter(|generation| generation.request.pool == pool);
        let running = of_pool.map(|generation| generation.usage_until(now_ms));
        OpenStreams {
            streams: self.streams_in(pool),
            used: self.usage_window.usage_in_pool(pool, running, now_ms),
        }
    }

    fn streams_in(&self, pool: PoolId) -> Vec<AdoptedStream> {
        let of_pool = self
            .open
            .values()
            .filter(|generation| generation.request.pool == pool);
        of_pool
            .map(|generation| AdoptedStream {
                request: generation.request,
                target: generation.target,
                tokens: generation.tokens,
            })
            .collect()
    }

    pub(crate) fn count_in(&self, pool: PoolId) -> usize {
        let of_pool = self
            .open
            .values()
            .filter(|generation| generation.request.pool == pool);
        of_pool.count()
    }

    pub(crate) fn count(&self) -> usize {
        self.open.len()
    }
}
