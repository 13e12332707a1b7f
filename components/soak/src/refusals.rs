//! Counts the two errors of refusals: a promise that a request did not run, though it ran, and one that was withheld.

use crate::checks::{NOT_RUN, by_id, got, runs};
use crate::history::{Call, History, Kind};
use serde::Serialize;

/// Statuses of a box that leave open whether a request ran.
const OPEN: [u16; 2] = [502, 504];

/// What callers of one kind of request were told.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct RefusalCounts {
    /// The kind of request.
    pub kind: &'static str,
    /// Calls that were told that they did not run.
    pub promised: usize,
    /// Those of them that ran.
    pub untrue: usize,
    /// Calls that reached targets and ran at none, and were told 502 or 504.
    pub withheld: usize,
}

/// Counts the refusals of a run by kind of request.
pub(crate) fn count_refusals(history: &History) -> Vec<RefusalCounts> {
    let kinds = [
        (Kind::Repeatable, "repeatable"),
        (Kind::Once, "once"),
        (Kind::Stream, "stream"),
    ];
    let arrivals = by_id(history);
    let ran = |call: &&Call| runs(&arrivals, &call.id) > 0;
    let told =
        |call: &Call, statuses: &[u16]| got(call).is_some_and(|got| statuses.contains(&got.status));
    let count = |(kind, label)| {
        let of_kind = || history.calls.iter().filter(move |call| call.kind == kind);
        let promised = || of_kind().filter(|call| told(call, &NOT_RUN));
        let open = of_kind().filter(|call| told(call, &OPEN));
        let refused = |call: &&Call| arrivals.contains_key(call.id.as_str()) && !ran(call);
        RefusalCounts {
            kind: label,
            promised: promised().count(),
            untrue: promised().filter(ran).count(),
            withheld: open.filter(refused).count(),
        }
    };
    kinds.map(count).into()
}
