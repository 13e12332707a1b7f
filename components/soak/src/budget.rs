//! The budget of second sends, checked over all boxes.

use crate::history::{History, Kind};
use std::collections::HashMap;

/// The budget of second sends: a share of requests, and some more, in each window.
pub(crate) const RESEND_SHARE: f64 = 0.2;
pub(crate) const RESEND_SPARE: f64 = 50.0;
const RESEND_WINDOW_MS: u64 = 10_000;

/// In each window, second sends are a share of the requests and some more.
pub(crate) fn budget(history: &History) -> Vec<String> {
    let mut seen: HashMap<&str, u32> = HashMap::new();
    let mut again: Vec<u64> = Vec::new();
    let plain = history
        .arrivals
        .iter()
        .filter(|arrival| arrival.kind != Kind::Stream);
    for arrival in plain {
        let count = seen.entry(&arrival.id).or_default();
        *count += 1;
        if *count > 1 {
            again.push(arrival.at_ms);
        }
    }
    again.sort_unstable();
    for from_ms in &again {
        let in_window = |at_ms: &u64| (*from_ms..from_ms + RESEND_WINDOW_MS).contains(at_ms);
        let sent = again.iter().filter(|at_ms| in_window(at_ms)).count();
        // Requests of the window before count too, where there were more.
        let wide = from_ms.saturating_sub(RESEND_WINDOW_MS)..from_ms + RESEND_WINDOW_MS;
        let requests = history
            .calls
            .iter()
            .filter(|call| call.kind != Kind::Stream && wide.contains(&call.sent_ms));
        let bound = RESEND_SHARE * requests.count() as f64 + RESEND_SPARE;
        if sent as f64 > bound {
            return vec![format!(
                "{sent} second sends from {from_ms} ms on, {bound:.0} allowed"
            )];
        }
    }
    Vec::new()
}
