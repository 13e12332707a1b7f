//! Which engine a request of a pool goes to, and which are kept for those that have waited too long.

use crate::admission::queue::QueueKey;
use crate::demand::Demand;
use crate::kind::ReadingPolicy;
use crate::pace::impact::{PauseEstimator, PauseProfile, expected_tokens};
use crate::placement::ledger::{EngineLedger, EngineState, RoomView};
use crate::placement::reading::ReadingRate;
use crate::pool::{Pool, demand_forecast};
use prelude::TargetId;

/// Where a request can go.
#[derive(Clone, Debug, Default)]
pub(crate) struct Choice {
    /// The engine with the most room left, where it fits.
    pub fits: Option<TargetId>,
    /// The engines where it does not fit, the one nearest to having room first.
    pub nearest: Vec<TargetId>,
}

impl Pool {
    /// The engine for the first request of a place. Engines in `reserved` are kept for others.
    pub(crate) fn choose(&mut self, place: QueueKey, now_ms: u64, reserved: &[TargetId]) -> Choice {
        let Some(demand) = self.queue.front(place) else {
            return Choice::default();
        };
        let new = demand_forecast(&self.lengths, demand, self.settings.policy);
        let margin = self.margin_in_use();
        let began_ms = *self.began_ms.get_or_insert(now_ms);
        // Until an engine's first report the dispatcher does not know what runs there, and would fill it
        // a second time.
        let needs_report = now_ms < began_ms + self.settings.first_report_ms;
        let view = RoomView {
            streams: &self.streams,
            lengths: &self.lengths,
            settings: &self.settings,
            tokens_per_ms: self.tokens_per_ms,
            margin,
            now_ms,
        };
        let pauses = PauseEstimator {
            pace: &self.pace_model,
            streams: &self.streams,
            settings: &self.settings,
            prefill_rate: &self.reading_rate,
            tokens_per_ms: self.tokens_per_ms,
            now_ms,
        };
        let pausing = PauseProfile {
            goal_ms: demand.pause_goal_ms.map(f64::from),
            remaining_tokens: expected_tokens(&self.lengths, demand),
            prompt_tokens: f64::from(demand.prompt_tokens),
        };
        let mut best: Option<(f64, TargetId)> = None;
        let mut nearest: Vec<(f64, TargetId)> = Vec::new();
        for slot in self.engines.weighed(demand.near, now_ms) {
            let Some(ledger) = self.engines.at_mut(slot) else {
                continue;
            };
            let limit = self.settings.running_limit as usize;
            let at_limit = limit > 0 && ledger.streams.len() >= limit;
            let takes = ledger.state == EngineState::Live
                && !reserved.contains(&ledger.info.id)
                && (ledger.report.is_some() || !needs_report)
                && !demand.avoid.contains(ledger.info.id)
                && !at_limit
                && ledger.bears_one_more(now_ms)
                && !ledger.is_backed_up(now_ms);
            if !takes || !reading_fits(ledger, &self.reading_rate, demand, &view) {
                continue;
            }
            let affinity = demand.prefix.map_or(0.0, |(prefix, tokens)| {
                let tokens = tokens.min(self.settings.affinity_tokens);
                self.prefixes.worth(ledger.info.id, prefix, now_ms) * f64::from(tokens)
            });
            let is_near = demand.near == Some(ledger.info.data_centre);
            let near = f64::from(u8::from(is_near)) * f64::from(self.settings.near_tokens);
            let reading = reading_tokens(ledger, &self.reading_rate, &view);
            let before_pauses = affinity + near - reading;
            // The forecast of its memory is most of the work of a decision; where even an empty engine would not be
            // chosen, it is not made.
            let capacity_tokens = ledger.info.capacity_tokens as f64;
            let is_beaten = |most: f64| best.is_some_and(|(other, _)| other >= most);
            if is_beaten(capacity_tokens + before_pauses) {
                continue;
            }
            let without_room = before_pauses - pauses.pause_cost_tokens(ledger, &pausing);
            if is_beaten(capacity_tokens + without_room) {
                continue;
            }
            let left = ledger.room_left(&view, &new);
            let empty = ledger.streams.is_empty() && ledger.foreign_tokens == 0.0;
            if left < 0.0 && !empty {
                nearest.push((left, ledger.info.id));
                continue;
            }
            let score = left + without_room;
            if best.is_none_or(|(other, _)| score > other) {
                best = Some((score, ledger.info.id));
            }
        }
        nearest.sort_by(|a, b| b.0.total_cmp(&a.0));
        Choice {
            fits: best.map(|(_, target)| target),
            nearest: nearest.into_iter().map(|(_, target)| target).collect(),
        }
    }

    /// Keeps an engine for each request of a place that has waited past the limit, within the share
    /// of engines that may be kept: those that are nearest to having room.
    pub(crate) fn reserve(
        &self,
        place: QueueKey,
        nearest: &[TargetId],
        reserved: &mut Vec<TargetId>,
        now_ms: u64,
    ) {
        let most = (self.engines.len() as f64 * self.settings.reserve_share).ceil() as usize;
        let room = most.saturating_sub(reserved.len());
        let late_ms = now_ms.saturating_sub(self.settings.pass_limit_ms);
        let late = self.queue.count_since(place, late_ms, room);
        reserved.extend(nearest.iter().take(late));
    }
}

/// Whether an engine may get one more prompt to read.
fn reading_fits(
    ledger: &EngineLedger,
    rate: &ReadingRate,
    demand: &Demand,
    view: &RoomView<'_>,
) -> bool {
    let (settings, reading) = (view.settings, &ledger.reading);
    if reading.is_idle() {
        return true;
    }
    match settings.reading {
        ReadingPolicy::Bound => {
            let with = reading.tokens() + u64::from(demand.prompt_tokens);
            with <= u64::from(settings.prefill_tokens)
        }
        ReadingPolicy::FirstToken => {
            reading.left_ms(rate, view.now_ms) <= f64::from(settings.reading_ahead_ms)
        }
    }
}

/// What the prompts that an engine has still to read count for, in tokens of memory.
fn reading_tokens(ledger: &EngineLedger, rate: &ReadingRate, view: &RoomView<'_>) -> f64 {
    match view.settings.reading {
        ReadingPolicy::Bound => 0.0,
        ReadingPolicy::FirstToken => {
            let left_ms = ledger.reading.left_ms(rate, view.now_ms);
            left_ms * f64::from(view.settings.reading_tokens_per_ms)
        }
    }
}
