//! What targets announce of themselves in their answers: how a run has them do so, and what boxes may send them then.

use crate::checks::{any_disturbed, is_broken_or_ended};
use crate::history::{AnnouncedLimit, Arrival, Call, History, Outcome, SaysItLeaves};
use crate::lives::SERVES_ON_MS;
use crate::plant::Plant;
use crate::world::{Later, World};
use fleet::target::{Behaviour, RequestRecorder};
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

/// A target that says that it leaves gets nothing that is sent so much later.
const LEAVING_MS: u64 = 2_000;
/// What was under way when a target asked for a pause still comes within this time.
const UNDER_WAY_MS: u64 = 500;
/// Requests of one box that a target gets at the most in the rest of a pause.
const WITHIN_PAUSE_MAX: usize = 2;
/// More requests than a target turns away.
const SHED_MAX: usize = 5_000;
/// More calls than a target gets while all refuse.
const REFUSED_MAX: usize = 20_000;

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
                self.engines[at].recorder.clone(),
            ),
            false => (
                self.plain[at].target.instance.clone(),
                self.plain[at].target.recorder.clone(),
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
        record.set_extra_headers(&[("Server-Limit", &limit_per_s.to_string())]);
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

    /// Has a plain target say in its answers that it leaves, and another come. Its entry says so later.
    pub(crate) fn says_it_leaves(&mut self, at: usize, store_late_ms: u64) {
        let name = self.name("t");
        let fresh = self.start_target(&name);
        let old = std::mem::replace(&mut self.plain[at], fresh);
        let target = old.target.instance.clone();
        let now_ms = self.now_ms();
        let life = self.entries.get(&target).map_or(0, |entry| entry.life);
        old.target
            .recorder
            .set_extra_headers(&[("Server-Leaving", "1")]);
        self.note_says_it_leaves(&target, life, now_ms);
        self.retired.push(old);
        let listed_ms = now_ms + store_late_ms;
        self.later.push((listed_ms, Later::ListTarget(target)));
        let gone = Later::TargetGone(self.retired.len() - 1);
        self.later.push((listed_ms + SERVES_ON_MS, gone));
    }

    fn note_says_it_leaves(&mut self, target: &str, life: u64, from_ms: u64) {
        self.history.say_they_leave.push(SaysItLeaves {
            target: target.to_owned(),
            life,
            from_ms,
        });
    }

    /// Has a plain target turn all requests away for a time, and ask for a pause.
    pub(crate) fn shed(&mut self, at: usize, pause_ms: u64, lasts_ms: u64) {
        let record = self.plain[at].target.recorder.clone();
        record.queue_behaviours(&vec![Behaviour::Sheds(pause_ms); SHED_MAX]);
        let well = Later::ForgetActs(record);
        self.later.push((self.now_ms() + lasts_ms, well));
    }

    /// Has all plain targets refuse all calls for a time.
    pub(crate) fn refuse_all(&mut self, lasts_ms: u64) {
        let until_ms = self.now_ms() + lasts_ms;
        for kept in &self.plain {
            let record = kept.target.recorder.clone();
            record.queue_behaviours(&vec![Behaviour::Full; REFUSED_MAX]);
            self.later.push((until_ms, Later::ForgetActs(record)));
        }
    }

    /// Has a target announce something else than the history says, where that is planted.
    pub(crate) fn plant_announcements(
        &mut self,
        target: &str,
        life: u64,
        record: &RequestRecorder,
    ) {
        match self.soak.plant {
            Some(Plant::Limit) => {
                record.set_extra_headers(&[("Server-Limit", PLANTED_ANNOUNCED)]);
                self.history.limits.push(AnnouncedLimit {
                    target: target.to_owned(),
                    life,
                    limit_per_s: PLANTED_LIMIT_PER_S,
                    from_ms: 0,
                    until_ms: u64::MAX,
                });
            }
            Some(Plant::Leaving) => self.note_says_it_leaves(target, life, 0),
            _ => {}
        }
    }
}

fn sent_by(history: &History) -> HashMap<&str, &Call> {
    let calls = history.calls.iter();
    calls.map(|call| (call.id.as_str(), call)).collect()
}

/// Where a target announces a limit, the sum of what boxes send it that passed such answers on keeps it.
pub(crate) fn limits_are_kept(history: &History) -> Vec<String> {
    let sent_by = sent_by(history);
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

/// Nothing that was sent later than the bound after a box had passed on an answer in which a target says that it leaves reaches
/// it from that box.
pub(crate) fn words_on_leaving_hold(history: &History) -> Vec<String> {
    let sent_by = sent_by(history);
    let mut broken = Vec::new();
    for word in &history.say_they_leave {
        let there = |arrival: &&Arrival| {
            (&arrival.target, arrival.life) == (&word.target, word.life)
                && arrival.at_ms >= word.from_ms
        };
        let there: Vec<(&Arrival, &Call)> = history
            .arrivals
            .iter()
            .filter(there)
            .filter_map(|arrival| Some((arrival, *sent_by.get(arrival.id.as_str())?)))
            .collect();
        let late = there
            .iter()
            .filter(|(arrival, call)| is_late(history, &there, arrival, call));
        broken.extend(late.map(|(arrival, call)| {
            let (id, target, at) = (&arrival.id, &word.target, call.at);
            format!("{id} reached {target} through box {at}, which had passed on that it leaves")
        }));
    }
    broken
}

/// Whether a call's box had passed on an answer of the target long enough before the call was sent.
fn is_late(history: &History, there: &[(&Arrival, &Call)], arrival: &Arrival, call: &Call) -> bool {
    let bound_ms = LEAVING_MS + history.slack_ms;
    let passed_on = |(before, passed): &&(&Arrival, &Call)| {
        let is_of_box = passed.at == call.at && passed.ended_ms + bound_ms < call.sent_ms;
        is_of_box && is_answer_of(passed, &before.target)
    };
    let since_ms = there
        .iter()
        .filter(passed_on)
        .map(|(_, passed)| passed.ended_ms);
    // A box that was broken since knows nothing of it.
    since_ms.max().is_some_and(|since_ms| {
        !any_disturbed(
            history,
            call.at,
            since_ms,
            arrival.at_ms,
            is_broken_or_ended,
        )
    })
}

fn is_answer_of(call: &Call, target: &str) -> bool {
    let Outcome::Answered(got) = &call.outcome else {
        return false;
    };
    got.status == 200 && got.text() == format!("answer to {} by {target}", call.id)
}

/// A target that asked a box for a pause gets two requests from it at the most until that is over.
pub(crate) fn pauses_are_kept(history: &History) -> Vec<String> {
    let mut broken = Vec::new();
    for asked in &history.arrivals {
        let (Some(pause_ms), Some(at)) = (asked.pause_ms, asked.from_box) else {
            continue;
        };
        let (from_ms, until_ms) = (asked.at_ms, asked.at_ms + pause_ms);
        let is_cut = history.troubled_links.iter().any(|link| {
            link.target == asked.target && link.from_ms <= until_ms && link.to_ms >= from_ms
        });
        if is_cut || any_disturbed(history, at, from_ms, until_ms, is_broken_or_ended) {
            continue;
        }
        let pause = from_ms + UNDER_WAY_MS + history.slack_ms..until_ms;
        let within = |arrival: &&Arrival| {
            (&arrival.target, arrival.life) == (&asked.target, asked.life)
                && pause.contains(&arrival.at_ms)
                && arrival.from_box == Some(at)
        };
        let count = history.arrivals.iter().filter(within).count();
        if count > WITHIN_PAUSE_MAX {
            let target = &asked.target;
            broken.push(format!(
                "{count} requests of box {at} reached {target}, which it had asked for {pause_ms} ms at {from_ms} ms"
            ));
        }
    }
    broken
}

#[cfg(test)]
#[path = "announced_tests.rs"]
mod tests;
