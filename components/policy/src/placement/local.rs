//! Placement by the local knowledge of one box: the baseline policies, and the fallback while its
//! dispatcher is silent.

use crate::demand::Verdict;
use crate::placement::ledger::EngineState;
use crate::settings::PolicyKind;
use prelude::{Avoided, PermitId, Refusal, RefusalReason, TargetId};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::VecDeque;

/// An engine as seen by one box.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LocalTarget {
    /// The engine.
    pub id: TargetId,
    /// Whether it takes new work.
    pub state: EngineState,
    /// Streams that this box has open there.
    pub open_streams: u32,
    /// Streams that this box opened since the last report.
    pub opened_since_report: u32,
    /// Requests that run or wait there according to its last report.
    pub reported_requests: u32,
}

impl LocalTarget {
    fn load(&self) -> u32 {
        (self.reported_requests + self.opened_since_report).max(self.open_streams)
    }
}

struct QueuedRequest {
    permit: PermitId,
    deadline_ms: u64,
    avoid: Avoided,
}

/// One box's view of a pool, and the requests waiting under the concurrency limit.
pub struct LocalPool {
    policy: PolicyKind,
    limit: u32,
    targets: Vec<LocalTarget>,
    queue: VecDeque<QueuedRequest>,
    next: usize,
    rng: ChaCha8Rng,
}

/// Default time after which a refused caller should retry.
const RETRY_AFTER_MS: u64 = 1000;

impl LocalPool {
    /// Creates an empty pool. `limit` is the maximum number of open streams per engine, 0 for no
    /// limit.
    pub fn new(policy: PolicyKind, limit: u32, seed: u64) -> Self {
        Self {
            policy,
            limit,
            targets: Vec::new(),
            queue: VecDeque::new(),
            next: 0,
            rng: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// Changes the policy and the limit.
    pub fn set_policy(&mut self, policy: PolicyKind, limit: u32) {
        self.policy = policy;
        self.limit = limit;
    }

    /// Replaces the list of engines and their states.
    pub fn set_targets(&mut self, targets: &[(TargetId, EngineState)]) {
        let previous = std::mem::take(&mut self.targets);
        for (id, state) in targets {
            let mut target = previous.iter().find(|target| target.id == *id).copied();
            let target = target.get_or_insert(LocalTarget {
                id: *id,
                state: *state,
                open_streams: 0,
                opened_since_report: 0,
                reported_requests: 0,
            });
            target.state = *state;
            self.targets.push(*target);
        }
    }

    /// Applies an engine's report.
    pub fn apply_report(&mut self, target: TargetId, running: u32, waiting: u32) {
        if let Some(known) = self.target_mut(target) {
            known.reported_requests = running + waiting;
            known.opened_since_report = 0;
        }
    }

    /// Queues a request.
    pub fn submit(&mut self, permit: PermitId, deadline_ms: u64, avoid: Avoided) {
        self.queue.push_back(QueuedRequest {
            permit,
            deadline_ms,
            avoid,
        });
    }

    /// Removes a queued request.
    pub fn withdraw(&mut self, permit: PermitId) {
        self.queue.retain(|waiting| waiting.permit != permit);
    }

    /// Places requests in order of arrival while there is room.
    pub fn schedule(&mut self, now_ms: u64) -> Vec<(PermitId, Verdict)> {
        let mut verdicts = Vec::new();
        while let Some(waiting) = self.queue.front() {
            let (permit, avoid) = (waiting.permit, waiting.avoid);
            let verdict = if waiting.deadline_ms <= now_ms {
                refused(RefusalReason::DeadlinePassed)
            } else if !self
                .targets
                .iter()
                .any(|target| target.state == EngineState::Live)
            {
                refused(RefusalReason::NoTarget)
            } else {
                let Some(target) = self.choose(avoid) else {
                    break;
                };
                self.opened(target);
                Verdict::Granted { target }
            };
            self.queue.pop_front();
            verdicts.push((permit, verdict));
        }
        verdicts
    }

    /// Records a stream that was opened here or by a dispatcher's grant.
    pub fn opened(&mut self, target: TargetId) {
        if let Some(known) = self.target_mut(target) {
            known.open_streams += 1;
            known.opened_since_report += 1;
        }
    }

    /// Records that a stream ended.
    pub fn closed(&mut self, target: TargetId) {
        if let Some(known) = self.target_mut(target) {
            known.open_streams = known.open_streams.saturating_sub(1);
        }
    }

    /// The known state of each engine.
    pub fn targets(&self) -> &[LocalTarget] {
        &self.targets
    }

    /// Number of queued requests.
    pub fn waiting(&self) -> usize {
        self.queue.len()
    }

    fn target_mut(&mut self, id: TargetId) -> Option<&mut LocalTarget> {
        self.targets.iter_mut().find(|target| target.id == id)
    }

    fn choose(&mut self, avoid: Avoided) -> Option<TargetId> {
        let limit = self.limit;
        let has_room = |target: &&LocalTarget| {
            target.state == EngineState::Live && (limit == 0 || target.load() < limit)
        };
        let available: Vec<LocalTarget> = self.targets.iter().filter(has_room).copied().collect();
        let preferred: Vec<LocalTarget> = available
            .iter()
            .filter(|target| !avoid.contains(target.id))
            .copied()
            .collect();
        let candidates = if preferred.is_empty() {
            available
        } else {
            preferred
        };
        if candidates.is_empty() {
            return None;
        }
        let chosen = match self.policy {
            PolicyKind::RoundRobin => {
                self.next = self.next.wrapping_add(1);
                candidates[self.next % candidates.len()]
            }
            PolicyKind::LeastLoad => {
                let least = candidates
                    .iter()
                    .min_by_key(|target| target.reported_requests);
                *least.unwrap_or(&candidates[0])
            }
            PolicyKind::TwoChoices | PolicyKind::Shuntpier | PolicyKind::Oracle => {
                let first = candidates[self.rng.random_range(0..candidates.len())];
                let second = candidates[self.rng.random_range(0..candidates.len())];
                if second.load() < first.load() {
                    second
                } else {
                    first
                }
            }
        };
        Some(chosen.id)
    }
}

fn refused(reason: RefusalReason) -> Verdict {
    Verdict::Refused(Refusal {
        reason,
        retry_after_ms: Some(RETRY_AFTER_MS),
    })
}

#[cfg(test)]
#[path = "local_tests.rs"]
mod tests;
