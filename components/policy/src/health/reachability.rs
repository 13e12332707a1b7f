//! Whether this box can open connections to the targets of a service. A box that has lost its path to all of them sees the
//! same failures as a box whose targets are down, so the verdict concerns this box only and says nothing about a target.

use prelude::TargetId;

/// Distinct targets whose connections fail, without a success in between, before the service counts as lost. A smaller
/// service counts as lost when all of its targets failed.
pub const FAILED_TARGETS_MIN: usize = 5;
/// A further failure this long after the last of these confirms the loss. A connection that is refused fails sooner than one
/// that is tried at the same time succeeds.
const CONFIRMATION_MS: u64 = 150;
/// Failures that are not confirmed for this long no longer count.
const EVIDENCE_VALID_MS: u64 = 2_000;
/// Connections must succeed for this long before a lost service is used again. It doubles with each loss within
/// [`FLAP_WINDOW_MS`], so that a flapping path does not fail requests at each flap.
const RECOVERY_MS: u64 = 250;
/// Longest recovery period.
const RECOVERY_MAX_MS: u64 = 2_000;
/// Losses within this time after the previous one count as flapping.
const FLAP_WINDOW_MS: u64 = 10_000;

/// A change of the verdict on a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReachabilityChange {
    /// No target can be reached.
    Lost {
        /// Targets whose connections failed.
        failed_targets: usize,
        /// Age of the first of these failures.
        evidence_age_ms: u64,
    },
    /// Targets can be reached again.
    Restored {
        /// How long the service was lost.
        lost_ms: u64,
    },
}

/// The outcomes of connection attempts to the targets of one service.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Reachability {
    /// Targets whose connections failed since the last success, and when.
    failed: Vec<(TargetId, u64)>,
    last_failure_ms: u64,
    /// When a target of the service last accepted a connection or answered.
    last_contact_ms: Option<u64>,
    lost_since_ms: Option<u64>,
    /// Since when all connection attempts to a lost service succeed.
    succeeding_since_ms: Option<u64>,
    /// Losses in quick succession.
    losses: u32,
    last_loss_ms: u64,
}

impl Reachability {
    /// Records a failed connection attempt. `target_count` is the number of targets that the service has.
    pub fn record_failure(
        &mut self,
        target: TargetId,
        target_count: usize,
        now_ms: u64,
    ) -> Option<ReachabilityChange> {
        self.failed
            .retain(|(_, at_ms)| now_ms < at_ms + EVIDENCE_VALID_MS);
        self.last_failure_ms = now_ms;
        self.succeeding_since_ms = None;
        if !self.has_failed(target) && self.failed.len() < FAILED_TARGETS_MIN {
            self.failed.push((target, now_ms));
        }
        let needed = target_count.clamp(1, FAILED_TARGETS_MIN);
        if self.lost_since_ms.is_some() || self.failed.len() < needed {
            return None;
        }
        let last_ms = self.failed.iter().map(|(_, at_ms)| *at_ms).max();
        if now_ms < last_ms.unwrap_or(now_ms) + CONFIRMATION_MS {
            return None;
        }
        let is_flapping = self.losses > 0 && now_ms < self.last_loss_ms + FLAP_WINDOW_MS;
        self.losses = match is_flapping {
            true => self.losses.saturating_add(1),
            false => 1,
        };
        self.last_loss_ms = now_ms;
        self.lost_since_ms = Some(now_ms);
        let first_ms = self.failed.iter().map(|(_, at_ms)| *at_ms).min();
        Some(ReachabilityChange::Lost {
            failed_targets: self.failed.len(),
            evidence_age_ms: now_ms - first_ms.unwrap_or(now_ms),
        })
    }

    /// Records a successful connection attempt.
    pub fn record_success(&mut self, now_ms: u64) -> Option<ReachabilityChange> {
        self.last_contact_ms = Some(now_ms);
        self.failed.clear();
        let lost_since_ms = self.lost_since_ms?;
        let since_ms = *self.succeeding_since_ms.get_or_insert(now_ms);
        if now_ms < since_ms + self.recovery_ms() {
            return None;
        }
        self.lost_since_ms = None;
        self.succeeding_since_ms = None;
        Some(ReachabilityChange::Restored {
            lost_ms: now_ms - lost_since_ms,
        })
    }

    /// Records that a target answered on an open connection. That is no evidence that new connections succeed.
    pub fn record_answer(&mut self, now_ms: u64) {
        self.last_contact_ms = Some(now_ms);
    }

    /// Whether a target answered or accepted a connection after `since_ms`.
    pub fn has_contact_since(&self, since_ms: u64) -> bool {
        self.last_contact_ms.is_some_and(|at_ms| at_ms > since_ms)
    }

    /// Whether connections to a target failed without a success of any target since.
    pub fn has_failed(&self, target: TargetId) -> bool {
        self.failed.iter().any(|(failed, _)| *failed == target)
    }

    /// Whether no target can be reached.
    pub fn is_lost(&self) -> bool {
        self.lost_since_ms.is_some()
    }

    /// How long the service has been lost, in ms.
    pub fn lost_for_ms(&self, now_ms: u64) -> Option<u64> {
        self.lost_since_ms.map(|since_ms| now_ms - since_ms)
    }

    /// Whether connection attempts failed recently without a success since, so that probes are due.
    pub fn is_suspected(&self, now_ms: u64) -> bool {
        let is_recent = now_ms < self.last_failure_ms + EVIDENCE_VALID_MS;
        self.is_lost() || (!self.failed.is_empty() && is_recent)
    }

    fn recovery_ms(&self) -> u64 {
        let doublings = self.losses.saturating_sub(1).min(8);
        (RECOVERY_MS << doublings).min(RECOVERY_MAX_MS)
    }
}

#[cfg(test)]
#[path = "reachability_tests.rs"]
mod tests;
