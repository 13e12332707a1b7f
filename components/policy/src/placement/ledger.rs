//! What a dispatcher knows about one engine: the streams it placed there, the engine's reports, and
//! as the difference between the two the load from elsewhere.

use crate::fairness::tree::Share;
use crate::pace::model::EnginePace;
use crate::pace::spans::PrefillSpans;
use crate::placement::forecast::{Forecast, HORIZONS_TOKENS};
use crate::placement::length::{LengthClass, LengthModel};
use crate::placement::prefill::PrefillQueue;
use crate::rate::engine::EngineRateLimit;
use crate::settings::PoolSettings;
use prelude::{BoxId, DataCentreId, PermitId, TargetId, TargetIncarnation};
use slotmap::{SlotMap, new_key_type};
use std::collections::VecDeque;

new_key_type! {
    /// Key of a stream in a pool's arena.
    pub struct StreamKey;
}

/// An engine of the pool.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EngineInfo {
    /// Its ID.
    pub id: TargetId,
    /// Memory capacity in tokens.
    pub capacity_tokens: u64,
    /// The data centre it runs in.
    pub data_centre: DataCentreId,
    /// Rate limit while the engine is cold, in requests per second; `None` for no limit.
    pub cold_rate_per_s: Option<f64>,
}

/// Whether an engine takes new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EngineState {
    /// It takes new work.
    Live,
    /// It takes no new work; running streams may finish.
    Leaving,
    /// It is dead.
    Gone,
}

/// A load report from an engine.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct EngineReport {
    /// The incarnation that sent the report.
    pub incarnation: TargetIncarnation,
    /// Number of requests in its batch.
    pub running: u32,
    /// Number of requests queued at the engine.
    pub waiting: u32,
    /// Share of its memory in use.
    pub memory_share: f64,
    /// Preemptions since it started.
    pub preemptions: u64,
    /// Whether it announces that it is leaving.
    pub leaving: bool,
}

/// A stream that holds a permit.
#[derive(Clone, Debug, PartialEq)]
pub struct Stream {
    /// Its permit.
    pub permit: PermitId,
    /// The account to charge, with its fair-share weights.
    pub share: Share,
    /// Class of requests with similar answer lengths.
    pub class: LengthClass,
    /// The engine it runs on.
    pub target: TargetId,
    /// Prompt length in tokens.
    pub prompt_tokens: u32,
    /// Generated tokens as of the last progress report.
    pub generated_tokens: u32,
    /// When that report arrived.
    pub progress_ms: u64,
    /// Upper limit of generated tokens.
    pub max_tokens: u32,
    /// The true answer length, known only under the oracle policy.
    pub oracle_tokens: Option<u32>,
    /// Longest acceptable pause between two events, in milliseconds; `None` if any pause is
    /// acceptable.
    pub pause_goal_ms: Option<u32>,
    /// Longest reported pause so far, in milliseconds.
    pub longest_pause_ms: u32,
    /// Expected number of generated tokens at placement.
    pub expected_tokens: f32,
    /// Longest pause predicted at placement, in milliseconds.
    pub predicted_pause_ms: Option<u32>,
}

impl Stream {
    /// The box that serves its caller.
    pub fn entry_box(&self) -> BoxId {
        self.permit.entry
    }

    /// The pause goal if it can still be met; `None` without a goal or after a longer pause.
    pub fn attainable_pause_goal_ms(&self) -> Option<u32> {
        self.pause_goal_ms
            .filter(|goal_ms| self.longest_pause_ms <= *goal_ms)
    }

    /// Expected tokens still to generate. A stream that exceeds its expected length is assumed to
    /// continue.
    pub fn remaining_tokens(&self) -> f64 {
        let expected = f64::from(self.expected_tokens);
        let remaining = expected - f64::from(self.generated_tokens);
        remaining.max(expected * REMAINDER_MIN_SHARE)
    }

    /// Returns the probability of generating more than a given number of further tokens.
    pub fn survival<'a>(
        &self,
        lengths: &'a LengthModel,
        generated: f64,
    ) -> impl Fn(f64) -> f64 + use<'a> {
        let survival = lengths.conditional_survival(self.class, generated);
        let (max_tokens, oracle_tokens) = (f64::from(self.max_tokens), self.oracle_tokens);
        move |added| {
            if generated + added >= max_tokens {
                return 0.0;
            }
            match oracle_tokens {
                Some(length) => f64::from(u8::from(generated + added < f64::from(length))),
                None => survival.probability(added),
            }
        }
    }
}

/// Minimum expected remainder of an answer, as a share of its expected length.
const REMAINDER_MIN_SHARE: f64 = 0.3;

/// All streams of a pool.
pub type Streams = SlotMap<StreamKey, Stream>;

/// Inputs for the memory forecast of an engine.
#[derive(Clone, Copy, Debug)]
pub struct ForecastContext<'a> {
    /// All streams of the pool.
    pub streams: &'a Streams,
    /// The answer length estimates.
    pub lengths: &'a LengthModel,
    /// The pool's settings.
    pub settings: &'a PoolSettings,
    /// Pace of a stream, in tokens per millisecond.
    pub tokens_per_ms: f64,
    /// Safety margin in standard deviations of the forecast.
    pub margin: f64,
    /// The current time.
    pub now_ms: u64,
}

/// Window for counting requests placed on a cold engine.
const COLD_WINDOW_MS: u64 = 1_000;
/// Share of a cold engine's rate limit that one dispatcher uses, as two boxes may dispatch for a
/// moment.
const COLD_SHARE: f64 = 0.6;
/// How long a computed forecast is reused.
const FORECAST_TTL_MS: u64 = 25;
/// How long recorded memory use is kept.
const OWN_HISTORY_MS: u64 = 3000;
/// Older reports are ignored.
const REPORT_TTL_MS: u64 = 5000;
/// Memory use above which queued requests are assumed to wait for memory.
const FULL_MEMORY_SHARE: f64 = 0.85;
/// Weight of a new report in the moving average of the load from elsewhere.
const FOREIGN_WEIGHT: f64 = 0.3;
/// Smaller differences, as a share of the memory, are treated as noise.
const FOREIGN_NOISE_SHARE: f64 = 0.05;
/// Maximum time for which a stream's progress is extrapolated after a report.
const EXTRAPOLATION_MAX_MS: u64 = 500;

/// The dispatcher's records of one engine.
#[derive(Clone, Debug)]
pub struct EngineLedger {
    /// The engine.
    pub info: EngineInfo,
    /// Whether it takes new work.
    pub state: EngineState,
    /// Streams placed on it.
    pub streams: Vec<StreamKey>,
    /// The last report and its arrival time.
    pub report: Option<(EngineReport, u64)>,
    /// Memory used by load from elsewhere.
    pub foreign_tokens: f64,
    /// Preemptions reported since this ledger was created.
    pub preemptions_seen: u64,
    /// Prompts whose prefill is pending.
    pub prefill: PrefillQueue,
    /// Recent periods in which it was prefilling.
    pub(crate) prefill_spans: PrefillSpans,
    /// How fast it produces events.
    pub(crate) pace: EnginePace,
    forecast: Forecast,
    forecast_ms: Option<u64>,
    /// Recorded times and memory use of its streams.
    own_history: VecDeque<(u64, f64)>,
    /// When requests were placed here in the last second.
    placements_ms: VecDeque<u64>,
    /// The rate limit that the engine announces.
    pub(crate) rate: EngineRateLimit,
}

impl EngineLedger {
    /// Creates an empty ledger.
    pub fn new(info: EngineInfo) -> Self {
        Self {
            info,
            state: EngineState::Live,
            streams: Vec::new(),
            report: None,
            foreign_tokens: 0.0,
            preemptions_seen: 0,
            prefill: PrefillQueue::default(),
            prefill_spans: PrefillSpans::default(),
            pace: EnginePace::default(),
            forecast: Forecast::default(),
            forecast_ms: None,
            own_history: VecDeque::new(),
            placements_ms: VecDeque::new(),
            rate: EngineRateLimit::default(),
        }
    }

    /// Records that a request was placed here.
    pub fn record_placement(&mut self, now_ms: u64) {
        self.rate.record_placement(now_ms);
        self.placements_ms.push_back(now_ms);
        while self
            .placements_ms
            .front()
            .is_some_and(|at_ms| at_ms + COLD_WINDOW_MS < now_ms)
        {
            self.placements_ms.pop_front();
        }
    }

    /// Whether the rate limits for cold engines and from announcements allow one more request now.
    pub fn within_rate_limits(&self, now_ms: u64) -> bool {
        if !self.rate.has_token(now_ms) {
            return false;
        }
        let Some(rate_per_s) = self.info.cold_rate_per_s else {
            return true;
        };
        let is_recent = |at_ms: &&u64| **at_ms + COLD_WINDOW_MS > now_ms;
        let placed = self.placements_ms.iter().filter(is_recent).count() as f64;
        placed + 1.0 <= (rate_per_s * COLD_SHARE).max(1.0)
    }

    /// Adds a newly placed stream.
    pub fn add_stream(&mut self, key: StreamKey, forecast: &Forecast) {
        self.streams.push(key);
        self.forecast = self.forecast.combined(forecast);
    }

    /// Removes a stream.
    pub fn remove_stream(&mut self, key: StreamKey, now_ms: u64) {
        self.streams.retain(|other| *other != key);
        self.prefill.remove(key, now_ms);
        self.prefill_spans
            .set_prefilling(!self.prefill.is_idle(), now_ms);
        self.forecast_ms = None;
    }

    /// Memory used by the streams of this ledger, in tokens.
    pub fn own_tokens(&self, streams: &Streams, tokens_per_ms: f64, now_ms: u64) -> f64 {
        let used_tokens = |key: &StreamKey| {
            let stream = streams.get(*key)?;
            let generated = extrapolated_tokens(stream, tokens_per_ms, now_ms);
            Some(f64::from(stream.prompt_tokens) + generated)
        };
        self.streams.iter().filter_map(used_tokens).sum()
    }

    /// The forecast for the streams of this ledger.
    pub fn forecast(
        &mut self,
        streams: &Streams,
        lengths: &LengthModel,
        tokens_per_ms: f64,
        now_ms: u64,
    ) -> &Forecast {
        let is_fresh = self
            .forecast_ms
            .is_some_and(|at| now_ms < at + FORECAST_TTL_MS);
        if !is_fresh {
            let mut forecast = Forecast::default();
            for stream in self.streams.iter().filter_map(|key| streams.get(*key)) {
                let generated = extrapolated_tokens(stream, tokens_per_ms, now_ms);
                let used_tokens = f64::from(stream.prompt_tokens) + generated;
                forecast.add(used_tokens, stream.survival(lengths, generated));
            }
            self.forecast = forecast;
            self.forecast_ms = Some(now_ms);
        }
        &self.forecast
    }

    /// Free memory at the forecast peak with `added` included, in tokens; negative if it does not fit.
    pub fn free_tokens(&mut self, context: &ForecastContext<'_>, added: &Forecast) -> f64 {
        let settings = context.settings;
        let forecast = self.forecast(
            context.streams,
            context.lengths,
            context.tokens_per_ms,
            context.now_ms,
        );
        let total = forecast.combined(added);
        let peak = match settings.forecast {
            true => total.peak_tokens(context.margin),
            false => total.current_tokens(),
        };
        let usable = self.info.capacity_tokens as f64 * settings.memory_share;
        usable - self.foreign_tokens - peak
    }

    /// Free memory at each horizon, in tokens.
    pub fn free_tokens_by_horizon(
        &mut self,
        context: &ForecastContext<'_>,
    ) -> [f64; HORIZONS_TOKENS.len()] {
        let usable = self.info.capacity_tokens as f64 * context.settings.memory_share;
        let usable = usable - self.foreign_tokens;
        let forecast = self.forecast(
            context.streams,
            context.lengths,
            context.tokens_per_ms,
            context.now_ms,
        );
        forecast
            .tokens_at_margin(context.margin)
            .map(|used| usable - used)
    }

    /// Records the memory use of this ledger's streams, to be compared with reports that arrive
    /// late.
    pub fn record_own_tokens(&mut self, own_tokens: f64, now_ms: u64) {
        self.own_history.push_back((now_ms, own_tokens));
        while self
            .own_history
            .front()
            .is_some_and(|sample| sample.0 + OWN_HISTORY_MS < now_ms)
        {
            self.own_history.pop_front();
        }
    }

    /// Applies a report. Returns the number of new preemptions.
    pub fn apply_report(&mut self, report: EngineReport, lag_ms: u64, now_ms: u64) -> u64 {
        let previous = self.report.map(|(previous, _)| previous);
        let is_first = previous.is_none();
        self.report = Some((report, now_ms));
        if report.leaving && self.state == EngineState::Live {
            self.state = EngineState::Leaving;
        }
        // A new dispatcher knows nothing but the first report, so it counts in full.
        let weight = if is_first { 1.0 } else { FOREIGN_WEIGHT };
        self.estimate_foreign(&report, weight, lag_ms, now_ms);
        let same_incarnation =
            previous.filter(|previous| previous.incarnation == report.incarnation);
        let known = same_incarnation.map_or(report.preemptions, |previous| previous.preemptions);
        let new_preemptions = report.preemptions.saturating_sub(known);
        self.preemptions_seen += new_preemptions;
        new_preemptions
    }

    /// Whether a recent report shows requests waiting for memory. Requests that wait while memory
    /// is free only wait for the next step.
    pub fn has_memory_backlog(&self, now_ms: u64) -> bool {
        self.report.is_some_and(|(report, at_ms)| {
            let is_full = report.memory_share >= FULL_MEMORY_SHARE;
            report.waiting > 0 && is_full && now_ms < at_ms + REPORT_TTL_MS
        })
    }

    fn estimate_foreign(&mut self, report: &EngineReport, weight: f64, lag_ms: u64, now_ms: u64) {
        let capacity_tokens = self.info.capacity_tokens as f64;
        let reported_tokens = report.memory_share * capacity_tokens;
        let at_ms = now_ms.saturating_sub(lag_ms);
        let own_tokens = self
            .own_history
            .iter()
            .rev()
            .find(|sample| sample.0 <= at_ms);
        let own_tokens = own_tokens
            .or(self.own_history.front())
            .map_or(0.0, |sample| sample.1);
        let mut excess = (reported_tokens - own_tokens).max(0.0);
        if excess < capacity_tokens * FOREIGN_NOISE_SHARE {
            excess = 0.0;
        }
        self.foreign_tokens += weight * (excess - self.foreign_tokens);
        if self.foreign_tokens < capacity_tokens * FOREIGN_NOISE_SHARE {
            // Without this cutoff a decaying estimate would never reach zero, and an empty engine
            // would never count as empty.
            self.foreign_tokens = 0.0;
        }
    }
}

/// Estimated number of tokens that a stream has generated by now.
fn extrapolated_tokens(stream: &Stream, tokens_per_ms: f64, now_ms: u64) -> f64 {
    if stream.generated_tokens == 0 {
        return 0.0;
    }
    let since_ms = now_ms
        .saturating_sub(stream.progress_ms)
        .min(EXTRAPOLATION_MAX_MS);
    f64::from(stream.generated_tokens) + tokens_per_ms * since_ms as f64
}

#[cfg(test)]
#[path = "ledger_tests.rs"]
mod tests;
