//! Permits held by boxes: a new dispatcher adopts running streams, and the permits of boxes that
//! stop reporting expire.

use crate::admission::grant_rate::GrantRate;
use crate::demand::{RANK_COUNT, RunningStream};
use crate::placement::ledger::Stream;
use crate::placement::length::StreamEnd;
use crate::pool::Pool;
use prelude::{BoxId, PermitId};
use std::collections::HashSet;

/// A box that has not reported for this long loses its permits.
pub(crate) const BOX_TIMEOUT_MS: u64 = 10_000;

/// How long a dispatcher measures before its forecasts refuse requests: twice the half-life of the
/// grant rate.
const FORECAST_WARMUP_MS: u64 = 6_000;
/// How long a granted permit may be in flight to its box: slightly more than the longest reply
/// time. Releasing it earlier would allocate its memory twice and make the engine preempt.
const GRANT_DELIVERY_MS: u64 = 400;

impl Pool {
    /// Adopts a stream that runs on a grant of another dispatcher, or without one.
    pub fn adopt(&mut self, adopted: RunningStream, now_ms: u64) {
        let permit = adopted.demand.permit;
        self.last_seen_ms.insert(permit.entry, now_ms);
        self.observed_boxes.record_contact(permit.entry, now_ms);
        if self.by_permit.contains_key(&permit) {
            self.record_progress(permit, adopted.generated_tokens, now_ms);
            return;
        }
        if let Some(waiting) = self.queue.remove(permit) {
            self.tree.remove_waiting(&waiting.share);
        }
        self.tree.add_running(&adopted.demand.share);
        let generated_tokens = adopted.generated_tokens;
        self.place_stream(adopted.demand, adopted.target, generated_tokens, now_ms);
    }

    /// Begins to dispatch requests that another dispatcher may have served before. Until the rates
    /// are measured, forecasts refuse no request.
    pub fn begin_takeover(&mut self, now_ms: u64) {
        self.forecasts_from_ms = now_ms + FORECAST_WARMUP_MS;
    }

    /// Discards the measured grant rate, which does not count requests that waited at another
    /// dispatcher.
    pub fn reset_grant_rate(&mut self, now_ms: u64) {
        self.grant_rate = GrantRate::default();
        self.rank_grant_rates = [GrantRate::default(); RANK_COUNT];
        self.begin_takeover(now_ms);
    }

    /// Whether enough was measured for forecasts to refuse requests.
    pub(crate) fn trusts_forecasts(&self, now_ms: u64) -> bool {
        now_ms >= self.forecasts_from_ms
    }

    /// Releases the permits of a box that are missing from the list it reports, except those that
    /// may still be in flight to it.
    pub fn reconcile_permits(&mut self, entry: BoxId, permits: &HashSet<PermitId>, now_ms: u64) {
        let of_box = self
            .streams
            .values()
            .filter(|stream| stream.entry_box() == entry);
        let in_flight = |stream: &Stream| {
            stream.generated_tokens == 0 && now_ms < stream.progress_ms + GRANT_DELIVERY_MS
        };
        let unlisted =
            of_box.filter(|stream| !permits.contains(&stream.permit) && !in_flight(stream));
        let unlisted: Vec<(PermitId, u32)> = unlisted
            .map(|stream| (stream.permit, stream.generated_tokens))
            .collect();
        for (permit, tokens) in unlisted {
            self.release(permit, tokens, StreamEnd::Censored);
        }
    }

    /// Releases the permits and drops the queued requests of boxes that stopped reporting.
    pub fn expire_silent_boxes(&mut self, now_ms: u64) {
        let is_silent = |seen_ms: &u64| seen_ms + BOX_TIMEOUT_MS < now_ms;
        let boxes: HashSet<BoxId> = self
            .last_seen_ms
            .iter()
            .filter(|(_, seen_ms)| is_silent(seen_ms))
            .map(|(id, _)| *id)
            .collect();
        if boxes.is_empty() {
            return;
        }
        let orphaned = self
            .streams
            .values()
            .filter(|stream| boxes.contains(&stream.entry_box()));
        let orphaned: Vec<(PermitId, u32)> = orphaned
            .map(|stream| (stream.permit, stream.generated_tokens))
            .collect();
        for (permit, tokens) in orphaned {
            self.release(permit, tokens, StreamEnd::Censored);
        }
        for demand in self
            .queue
            .remove_if(|demand| boxes.contains(&demand.permit.entry))
        {
            self.tree.remove_waiting(&demand.share);
        }
        self.last_seen_ms.retain(|id, _| !boxes.contains(id));
        self.observed_boxes.forget(&boxes);
    }
}
