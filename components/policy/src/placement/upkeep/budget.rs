//! How many generations may be on their way, and which engines they may leave and go to: moves that follow each other's
//! effects too fast swing streams between engines.

use prelude::{PermitId, TargetId};
use std::collections::HashMap;

/// An engine must be bad for so long: disturbances last for parts of a second, and pass by themselves.
const BAD_FOR_MS: u64 = 1_000;
/// An engine that is not found bad for so long is bad no more.
const BAD_GAP_MS: u64 = 600;
/// One wish may be under way for each so many engines; streams of engines that leave count as such.
const ENGINES_EACH: usize = 8;
/// A wish of which nothing is heard for so long came to nothing: boxes ask each second, and a move takes a second at most.
const WISH_MS: u64 = 2_500;
/// The least time between two generations that leave an engine: what is known of it then knows of the first.
const OUT_EACH_MS: u64 = 1_000;
/// The most that wishes which came to nothing draw that time out.
const OUT_MOST_MS: u64 = 16_000;
/// The least time between two generations that go to an engine.
const IN_EACH_MS: u64 = 2_000;
/// For so long nothing goes to an engine that something left.
const LEFT_MS: u64 = 10_000;
/// For so long nothing leaves an engine that something went to.
const CAME_MS: u64 = 5_000;

/// When generations may leave and reach one engine.
#[derive(Clone, Copy, Debug, Default)]
struct EngineBudget {
    bad_since_ms: Option<u64>,
    bad_ms: u64,
    out_from_ms: u64,
    in_from_ms: u64,
    /// Wishes in a row that came to nothing.
    failed: u32,
}

/// A wish that is under way.
#[derive(Clone, Copy, Debug)]
struct UnderWay {
    from: TargetId,
    to: TargetId,
    until_ms: u64,
}

/// The budget of one pool.
#[derive(Clone, Debug, Default)]
pub(crate) struct Budget {
    engines: HashMap<TargetId, EngineBudget>,
    under_way: HashMap<PermitId, UnderWay>,
}

impl Budget {
    /// Notes that a generation would gain by leaving an engine. True where it is bad for long, and one may leave now.
    pub(crate) fn is_bad(&mut self, engine: TargetId, now_ms: u64) -> bool {
        let budget = self.engines.entry(engine).or_default();
        if budget.bad_ms + BAD_GAP_MS < now_ms {
            budget.bad_since_ms = None;
        }
        budget.bad_ms = now_ms;
        let since_ms = *budget.bad_since_ms.get_or_insert(now_ms);
        let may_leave = now_ms >= budget.out_from_ms;
        since_ms + BAD_FOR_MS <= now_ms && may_leave && !self.is_in_use(engine)
    }

    /// Whether a generation may go to an engine.
    pub(crate) fn may_come(&self, engine: TargetId, now_ms: u64) -> bool {
        let in_from_ms = self.engines.get(&engine).map_or(0, |e| e.in_from_ms);
        now_ms >= in_from_ms && !self.is_in_use(engine)
    }

    /// Whether the pool bears one more wish, while so many streams are to leave engines that leave.
    pub(crate) fn bears_one_more(&self, engines: usize, leaving: usize) -> bool {
        self.under_way.len() + leaving < (engines / ENGINES_EACH).max(1)
    }

    fn is_in_use(&self, engine: TargetId) -> bool {
        let mut all = self.under_way.values();
        all.any(|wish| wish.from == engine || wish.to == engine)
    }

    /// Notes that a wish is made.
    pub(crate) fn begin(&mut self, permit: PermitId, from: TargetId, to: TargetId, now_ms: u64) {
        let until_ms = now_ms + WISH_MS;
        let wish = UnderWay { from, to, until_ms };
        self.under_way.insert(permit, wish);
        let source = self.engines.entry(from).or_default();
        source.in_from_ms = source.in_from_ms.max(now_ms + LEFT_MS);
        let target = self.engines.entry(to).or_default();
        target.in_from_ms = target.in_from_ms.max(now_ms + IN_EACH_MS);
        target.out_from_ms = target.out_from_ms.max(now_ms + CAME_MS);
    }

    /// Where a generation is wished to go on; none where it is not, or no more.
    pub(crate) fn wished_to(&self, permit: PermitId) -> Option<TargetId> {
        self.under_way.get(&permit).map(|wish| wish.to)
    }

    /// Notes what became of a wish.
    pub(crate) fn end(&mut self, permit: PermitId, is_moved: bool, now_ms: u64) {
        let Some(wish) = self.under_way.remove(&permit) else {
            return;
        };
        let source = self.engines.entry(wish.from).or_default();
        source.failed = match is_moved {
            true => 0,
            false => source.failed + 1,
        };
        let doubled = OUT_EACH_MS.saturating_mul(1 << source.failed.min(8));
        source.out_from_ms = now_ms + doubled.min(OUT_MOST_MS);
    }

    /// Forgets a wish whose generation ended by itself.
    pub(crate) fn forget(&mut self, permit: PermitId) {
        self.under_way.remove(&permit);
    }

    /// Ends the wishes of which nothing was heard, and forgets engines that are gone.
    pub(crate) fn expire(&mut self, is_there: impl Fn(TargetId) -> bool, now_ms: u64) -> usize {
        let late = self.under_way.iter();
        let late = late.filter(|(_, wish)| now_ms >= wish.until_ms);
        let late: Vec<PermitId> = late.map(|(permit, _)| *permit).collect();
        for permit in &late {
            self.end(*permit, false, now_ms);
        }
        self.engines.retain(|engine, _| is_there(*engine));
        late.len()
    }
}

#[cfg(test)]
#[path = "budget_tests.rs"]
mod tests;
