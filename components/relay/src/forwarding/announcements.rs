//! Handles what targets announce in response headers: Retry-After, rate limits and leaving.

use crate::forwarding::outcome::TargetOutcome;
use crate::state::Relay;
use crate::watch::targets::TargetSlot;
use peers::HintWord;
use platform::{ParsedHeader, ResponseMetadata};
use std::rc::Rc;

/// Response statuses with which a target rejects a request.
const REJECTION_STATUSES: [u16; 2] = [429, 503];

impl Relay {
    /// Applies what a response announces about its target. The request was sent at `sent_ms`.
    pub(crate) fn observe_response(
        self: &Rc<Self>,
        slot: TargetSlot,
        status: u16,
        metadata: &ResponseMetadata,
        sent_ms: u64,
    ) {
        self.observe_retry_after(slot, status, metadata, sent_ms);
        match metadata.rate_limit_per_s {
            ParsedHeader::Value(limit_per_s) => self.observe_rate(slot, Some(limit_per_s), sent_ms),
            ParsedHeader::Absent => self.observe_rate(slot, None, sent_ms),
            ParsedHeader::Malformed => self.record_malformed(slot, "rate limit"),
        }
        match metadata.leaving {
            ParsedHeader::Value(true) => self.record_outcome(slot, TargetOutcome::Leaving),
            ParsedHeader::Value(false) | ParsedHeader::Absent => {}
            ParsedHeader::Malformed => self.record_malformed(slot, "leaving"),
        }
    }

    /// Starts or ends the backoff that a target asks for when it rejects requests.
    fn observe_retry_after(
        self: &Rc<Self>,
        slot: TargetSlot,
        status: u16,
        metadata: &ResponseMetadata,
        sent_ms: u64,
    ) {
        let is_rejected = REJECTION_STATUSES.contains(&status);
        match metadata.retry_after_ms {
            ParsedHeader::Value(pause_ms) if is_rejected => self.record_retry_after(slot, pause_ms),
            ParsedHeader::Malformed if is_rejected => self.record_malformed(slot, "retry after"),
            _ if metadata.is_not_run => {}
            _ => {
                if let Some(target) = self.targets.borrow_mut().get_mut(slot) {
                    target.backoff.record_accepted(sent_ms);
                }
            }
        }
    }

    fn record_retry_after(self: &Rc<Self>, slot: TargetSlot, pause_ms: u64) {
        let now_ms = self.now_ms();
        let is_new = self
            .targets
            .borrow_mut()
            .record_retry_after(slot, pause_ms, now_ms);
        if is_new && pause_ms > 0 {
            metrics::counter!("shuntpier_target_pauses").increment(1);
            slog::info!(self.log, "target asks for a pause"; "target" => self.name_of(slot),
                "pause_ms" => pause_ms);
            self.broadcast_hint(slot, HintWord::TurnedAway);
        }
    }

    fn record_malformed(&self, slot: TargetSlot, field: &'static str) {
        metrics::counter!("shuntpier_malformed_announcements", "field" => field).increment(1);
        slog::warn!(self.log, "announcement not understood"; "target" => self.name_of(slot),
            "field" => field);
    }
}
