//! The generations that this box has open, as their dispatcher is told of them.

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

/// Tokens after which a dispatcher is told how far a generation is.
const REPORT_EACH_TOKENS: u32 = 128;

/// All open generations, and what is to be told.
#[derive(Clone, Debug, Default)]
pub(crate) struct OpenGenerations {
    open: BTreeMap<u64, OpenGeneration>,
    ended: Vec<(PoolId, EndedStream)>,
    next_serial: u64,
    usage_window: UsageWindow,
    /// The dispatchers that were told last.
    last_dispatchers: BTreeMap<PoolId, BoxId>,
}

impl OpenGenerations {
    pub(crate) fn next_serial(&mut self) -> u64 {
        self.next_serial += 1;
        self.next_serial
    }

    pub(crate) fn insert(&mut self, request: AcquireRequest, target: TargetId, now_ms: u64) {
        let run = OpenGeneration {
            request,
            target,
            tokens: 0,
            reported_tokens: 0,
            gaps: PendingGaps::default(),
            began_ms: now_ms,
        };
        self.open.insert(request.permit.serial, run);
    }

    pub(crate) fn get(&self, serial: u64) -> Option<OpenGeneration> {
        self.open.get(&serial).copied()
    }

    pub(crate) fn set_target(&mut self, serial: u64, target: TargetId) {
        if let Some(run) = self.open.get_mut(&serial) {
            run.target = target;
            // What came so far says nothing of the engine where it goes on.
            run.gaps = PendingGaps::default();
        }
    }

    /// Notes how far a generation is. True where its dispatcher is to be told.
    pub(crate) fn record_tokens(&mut self, serial: u64, tokens: u32) -> bool {
        let Some(run) = self.open.get_mut(&serial) else {
            return false;
        };
        let first = run.tokens == 0 && tokens > 0;
        run.tokens = tokens;
        first || tokens >= run.reported_tokens + REPORT_EACH_TOKENS
    }

    /// Notes how slow the engine of a generation says that work is there.
    pub(crate) fn record_slowness(&mut self, serial: u64, percent: u32) {
        if let Some(run) = self.open.get_mut(&serial) {
            run.gaps.record_slowness(percent);
        }
    }

    /// Notes how long the engine of a generation took for its next events.
    pub(crate) fn record_gap(&mut self, serial: u64, engine: TargetId, gap_ms: u64, events: u32) {
        let Some(run) = self.open.get_mut(&serial) else {
            return;
        };
        // Its permit may be at the engine where it will go on, while the source still makes events.
        if run.target == engine {
            run.gaps.record_gap(gap_ms, events);
        }
    }

    pub(crate) fn record_end(&mut self, serial: u64, finished: bool, now_ms: u64) {
        let Some(mut run) = self.open.remove(&serial) else {
            return;
        };
        self.usage_window.record_end(run.usage_until(now_ms));
        let ended = EndedStream {
            serial,
            tokens: run.tokens,
            finished,
            gaps: run.gaps.take(),
        };
        self.ended.push((run.request.pool, ended));
    }

    /// The pools in which something is open or ended, and those of which another dispatcher was told last than `now` names:
    /// what was open when it was told may have ended since.
    pub(crate) fn pools_to_report(&self, now: impl Fn(PoolId) -> Option<BoxId>) -> Vec<PoolId> {
        let open = self.open.values().map(|run| run.request.pool);
        let ended = self.ended.iter().map(|end| end.0);
        let is_new = |(pool, told): &(&PoolId, &BoxId)| now(**pool).is_some_and(|id| id != **told);
        let moved = self
            .last_dispatchers
            .iter()
            .filter(is_new)
            .map(|(pool, _)| *pool);
        let mut pools: Vec<PoolId> = open.chain(ended).chain(moved).collect();
        pools.sort();
        pools.dedup();
        pools
    }

    /// What a pool's dispatcher is not yet told.
    pub(crate) fn take_unreported(
        &mut self,
        pool: PoolId,
    ) -> (Vec<StreamProgress>, Vec<EndedStream>) {
        let mut progress = Vec::new();
        for (serial, run) in &mut self.open {
            if run.request.pool == pool && run.tokens > run.reported_tokens {
                run.reported_tokens = run.tokens;
                progress.push(StreamProgress {
                    serial: *serial,
                    tokens: run.tokens,
                    gaps: run.gaps.take(),
                });
            }
        }
        let (told, left) = std::mem::take(&mut self.ended)
            .into_iter()
            .partition(|(of, _)| *of == pool);
        self.ended = left;
        let told: Vec<(PoolId, EndedStream)> = told;
        (progress, told.into_iter().map(|(_, ended)| ended).collect())
    }

    /// Notes that a box that dispatches a pool is told. Says which other was told last, if any: the new one knows nothing of
    /// this box, or what was true a while ago.
    pub(crate) fn set_dispatcher(&mut self, pool: PoolId, dispatcher: BoxId) -> Option<BoxId> {
        let before = self.last_dispatchers.insert(pool, dispatcher);
        before.filter(|before| *before != dispatcher)
    }

    /// Notes that a dispatcher could not be told, unless another was told meanwhile.
    pub(crate) fn restore_dispatcher(&mut self, pool: PoolId, dispatcher: BoxId, before: BoxId) {
        if self.last_dispatchers.get(&pool) == Some(&dispatcher) {
            self.last_dispatchers.insert(pool, before);
        }
    }

    /// All that a dispatcher that is new to this box is told.
    pub(crate) fn snapshot(&self, pool: PoolId, now_ms: u64) -> OpenStreams {
        let of_pool = self.open.values().filter(|run| run.request.pool == pool);
        let running = of_pool.map(|run| run.usage_until(now_ms));
        OpenStreams {
            streams: self.streams_in(pool),
            used: self.usage_window.of_pool(pool, running, now_ms),
        }
    }

    fn streams_in(&self, pool: PoolId) -> Vec<AdoptedStream> {
        let of_pool = self.open.values().filter(|run| run.request.pool == pool);
        of_pool
            .map(|run| AdoptedStream {
                request: run.request,
                target: run.target,
                tokens: run.tokens,
            })
            .collect()
    }

    pub(crate) fn count_in(&self, pool: PoolId) -> usize {
        let of_pool = self.open.values().filter(|run| run.request.pool == pool);
        of_pool.count()
    }

    pub(crate) fn count(&self) -> usize {
        self.open.len()
    }
}
