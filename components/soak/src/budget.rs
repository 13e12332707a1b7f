//! The budget of second sends, checked over all boxes.

use crate::history::{History, Kind};
use policy::{RetryLimit, worst_retry_excess};
use std::collections::HashSet;

/// The budget of second sends: a share of requests, and some more, in each window.
pub(crate) const RESEND_SHARE: f64 = 0.2;
pub(crate) const RESEND_SPARE: f64 = 50.0;
/// The share while targets refuse and boxes are killed, so that most of the budget is what boxes divide.
pub(crate) const RESEND_SHARE_IN_REFUSALS: f64 = 0.02;
const RESEND_WINDOW_MS: u64 = 10_000;

/// In each window, arrivals of calls at plain targets after the first of each call are a share of the calls and some more.
pub(crate) fn budget(history: &History) -> Vec<String> {
    let plain = history
        .calls
        .iter()
        .filter(|call| call.kind != Kind::Stream);
    let mut sent_ms: Vec<u64> = plain.map(|call| call.sent_ms).collect();
    sent_ms.sort_unstable();
    let plain = history
        .arrivals
        .iter()
        .filter(|arrival| arrival.kind != Kind::Stream);
    let mut arrivals: Vec<(u64, &str)> = plain
        .map(|arrival| (arrival.at_ms, arrival.id.as_str()))
        .collect();
    arrivals.sort_unstable();
    let mut seen = HashSet::new();
    let again = arrivals.into_iter().filter(|(_, id)| !seen.insert(*id));
    let again_ms: Vec<u64> = again.map(|(at_ms, _)| at_ms).collect();
    let limit = RetryLimit {
        share: match history.has_refusals {
            true => RESEND_SHARE_IN_REFUSALS,
            false => RESEND_SHARE,
        },
        extra: RESEND_SPARE,
        window_ms: RESEND_WINDOW_MS,
    };
    let excess = worst_retry_excess(&limit, &sent_ms, &again_ms);
    let cases = excess.map(|excess| {
        format!(
            "{} second sends from {} ms on, {:.0} allowed",
            excess.retries, excess.from_ms, excess.allowed
        )
    });
    cases.into_iter().collect()
}
