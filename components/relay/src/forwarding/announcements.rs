//! What targets announce of themselves in the heads of their answers.

use crate::forwarding::outcome::TargetOutcome;
use crate::state::Relay;
use crate::watch::targets::TargetSlot;
use platform::{Announced, AnswerFacts};
use std::rc::Rc;

impl Relay {
    /// Takes in what an answer announces of its target. Its request was sent at `sent_ms`.
    pub(crate) fn observe_answer(
        self: &Rc<Self>,
        slot: TargetSlot,
        facts: &AnswerFacts,
        sent_ms: u64,
    ) {
        match facts.rate_limit_per_s {
            Announced::Value(limit_per_s) => self.observe_rate(slot, Some(limit_per_s), sent_ms),
            Announced::Absent => self.observe_rate(slot, None, sent_ms),
            Announced::Malformed => self.not_understood(slot, "rate limit"),
        }
        match facts.leaving {
            Announced::Value(true) => self.record_outcome(slot, TargetOutcome::Leaves),
            Announced::Value(false) | Announced::Absent => {}
            Announced::Malformed => self.not_understood(slot, "leaving"),
        }
    }

    fn not_understood(&self, slot: TargetSlot, field: &'static str) {
        metrics::counter!("shuntpier_malformed_announcements", "field" => field).increment(1);
        slog::warn!(self.log, "announcement not understood"; "target" => self.name_of(slot),
            "field" => field);
    }
}
