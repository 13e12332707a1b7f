//! What targets announce of themselves in the heads of their answers.

use crate::state::Relay;
use crate::watch::targets::TargetSlot;
use platform::{Announced, AnswerFacts};

/// A limit that differs by less than this share from the one before is not logged again.
const LOGGED_SHARE: f64 = 0.2;

impl Relay {
    /// Takes in what an answer announces of its target.
    pub(crate) fn observe_answer(&self, slot: TargetSlot, facts: &AnswerFacts) {
        match facts.rate_limit_per_s {
            Announced::Value(limit_per_s) => self.observe_limit(slot, Some(limit_per_s)),
            Announced::Absent => self.observe_limit(slot, None),
            Announced::Malformed => {
                metrics::counter!("shuntpier_malformed_announcements", "field" => "rate limit")
                    .increment(1);
                slog::warn!(self.log, "rate limit not understood"; "target" => self.name_of(slot));
            }
        }
    }

    fn observe_limit(&self, slot: TargetSlot, limit_per_s: Option<f64>) {
        let before_per_s = {
            let mut targets = self.targets.borrow_mut();
            let Some(target) = targets.get_mut(slot) else {
                return;
            };
            std::mem::replace(&mut target.rate_limit_per_s, limit_per_s)
        };
        let is_like_before = match (limit_per_s, before_per_s) {
            (Some(limit), Some(before)) => (limit - before).abs() <= before * LOGGED_SHARE,
            (limit, before) => limit == before,
        };
        if !is_like_before {
            metrics::counter!("shuntpier_rate_limit_changes", "source" => "answer").increment(1);
            slog::info!(self.log, "rate limit announced"; "target" => self.name_of(slot),
                "limit_per_s" => limit_per_s, "before_per_s" => before_per_s, "source" => "answer");
        }
    }
}
