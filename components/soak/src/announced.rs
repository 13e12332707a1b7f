//! What targets announce of themselves in their answers: how a run has them do so, and what boxes may send them then.

use crate::checks::{any_disturbed, is_broken_or_ended};
use crate::history::{AnnouncedLimit, Arrival, Call, History};
use crate::plant::Plant;
use crate::world::{Later, World};
use fleet::target::Record;
use std::collections::HashMap;

/// A limit binds boxes from this time after it was first named.
const KNOWN_MS: u64 = 3_000;
/// A box is bound that passed on an answer that names the limit so long ago.
const PASSED_ON_MS: u64 = 500;
/// The span over which requests are counted.
const SPAN_MS: u64 = 4_000;
/// What may come within it, as a share of the limit, and beyond that.
const LIMIT_SHARE: f64 = 1.5;
const LIMIT_SPARE: f64 = 5.0;
/// The limit that the history says, and the one that is announced, where that is planted.
const PLANTED_LIMIT_PER_S: f64 = 0.5;
const PLANTED_ANNOUNCED: &str = "500";

impl World<'_> {
    /// Has a target announce a rate limit for a time, unless it does already.
    pub(crate) fn limit(
        &mut self,
        at: usize,
        is_engine: bool,
        limit_tenths_per_s: u32,
        lasts_ms: u64,
    ) {
        let (target, record) = match is_engine {
            true => (
                self.engines[at].instance.clone(),
                self.engines[at].record.clone(),
            ),
            false => (
                self.plain[at].target.instance.clone(),
                self.plain[at].target.record.clone(),
            ),
        };
        let now_ms = self.now_ms();
        let life = self.entries.get(&target).map_or(0, |entry| entry.life);
        let mut limits = self.history.limits.iter();
        let is_limited = |limit: &AnnouncedLimit| {
            (&limit.target, limit.life) == (&target, life) && limit.until_ms > now_ms
        };
        if limits.any(is_limited) {
            return;
        }
        let limit_per_s = f64::from(limit_tenths_per_s) / 10.0;
        record.announce(&[("Server-Limit", &limit_per_s.to_string())]);
        self.history.limits.push(AnnouncedLimit {
            target,
            life,
            limit_per_s,
            from_ms: now_ms,
            until_ms: now_ms + lasts_ms,
        });
        self.later
            .push((now_ms + lasts_ms, Later::AnnounceNothing(record)));
    }

    /// Has a target announce another limit than the history says.
    pub(crate) fn plant_limit(&mut self, target: &str, life: u64, record: &Record) {
        if self.soak.plant == Some(Plant::Limit) {
            record.announce(&[("Server-Limit", PLANTED_ANNOUNCED)]);
            self.history.limits.push(AnnouncedLimit {
                target: target.to_owned(),
                life,
                limit_per_s: PLANTED_LIMIT_PER_S,
                from_ms: 0,
                until_ms: u64::MAX,
            });
        }
    }
}

/// Where a target announces a limit, the sum of what boxes send it that passed such answers on keeps it.
pub(crate) fn limits_are_kept(history: &History) -> Vec<String> {
    let sent_by: HashMap<&str, &Call> = history
        .calls
        .iter()
        .map(|call| (call.id.as_str(), call))
        .collect();
    let limits = history.limits.iter();
    limits
        .filter_map(|limit| over_limit(history, limit, &sent_by))
        .collect()
}

fn over_limit(
    history: &History,
    limit: &AnnouncedLimit,
    sent_by: &HashMap<&str, &Call>,
) -> Option<String> {
    let times = bound_arrivals(history, limit, sent_by);
    let span_ms = SPAN_MS + history.slack_ms;
    let allowed = LIMIT_SHARE * limit.limit_per_s * span_ms as f64 / 1_000.0 + LIMIT_SPARE;
    let within = |from_ms: &u64| {
        let in_span = |at_ms: &&u64| (*from_ms..from_ms + span_ms).contains(*at_ms);
        times.iter().filter(in_span).count()
    };
    let (from_ms, most) = times
        .iter()
        .map(|from_ms| (*from_ms, within(from_ms)))
        .max_by_key(|(_, count)| *count)?;
    (most as f64 > allowed).then(|| {
        format!(
            "{most} requests at {} within {span_ms} ms from {from_ms} ms on, {allowed:.0} allowed",
            limit.target
        )
    })
}

/// The requests that a limited target got from boxes which had passed on an answer that names the limit, and to which
/// nothing was done since.
fn bound_arrivals(
    history: &History,
    limit: &AnnouncedLimit,
    sent_by: &HashMap<&str, &Call>,
) -> Vec<u64> {
    let is_there = |arrival: &&Arrival| {
        (&arrival.target, arrival.life) == (&limit.target, limit.life)
            && (limit.from_ms..limit.until_ms).contains(&arrival.at_ms)
    };
    let mut passed_on_ms: HashMap<usize, u64> = HashMap::new();
    let mut times = Vec::new();
    for arrival in history.arrivals.iter().filter(is_there) {
        let Some(call) = sent_by.get(arrival.id.as_str()) else {
            continue;
        };
        let since_ms = passed_on_ms.entry(call.at).or_insert(arrival.at_ms);
        let (from_ms, to_ms) = (*since_ms, arrival.at_ms);
        if any_disturbed(history, call.at, from_ms, to_ms, is_broken_or_ended) {
            *since_ms = arrival.at_ms;
        }
        let is_bound = arrival.at_ms >= *since_ms + PASSED_ON_MS;
        if is_bound && arrival.at_ms >= limit.from_ms + KNOWN_MS {
            times.push(arrival.at_ms);
        }
    }
    times
}

#[cfg(test)]
#[path = "announced_tests.rs"]
mod tests;
