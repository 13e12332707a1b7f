//! The record of requests under which targets end, in the platform's store: it outlasts all boxes, and joins what boxes saw
//! that do not hear each other. One end alone is not kept: most of them are of requests that stood beside.

use crate::quarantine::spread::ask_at_start;
use crate::state::Relay;
use crate::watch::backoff::Backoff;
use prelude::{RequestKey, TargetEnd, TargetId};
use serde::{Deserialize, Serialize};
use std::rc::Rc;
use std::time::Duration;
use store::{Compare, KeyValue, StoreError, Transaction, TransactionResult, Versioned, Write};
use tokio::time::sleep;

/// What begins the keys of records.
const PREFIX: &str = "quarantine/";
/// How long a record lasts after its last write: as long as a request is withheld.
const LEASE_S: u64 = 600;
/// Ends of a request from which on it is recorded, on a box that hears others.
pub(super) const RECORDED_MIN: usize = 2;
/// How often all records are read where boxes are few, as they were some seconds ago: a tenth of a call's price each time.
const READ_EACH: Duration = Duration::from_secs(30);
/// Writes that are tried where others write the same record, or the store is away: some two minutes.
const TRIES_MAX: usize = 24;

/// A record's value.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
struct Record {
    ends: Vec<RecordedEnd>,
}

/// A target that ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct RecordedEnd {
    target: TargetId,
    ran_ms: u32,
}

impl Record {
    fn of(ends: &[TargetEnd]) -> Self {
        let recorded = |end: &TargetEnd| RecordedEnd {
            target: end.target,
            ran_ms: end.ran_ms,
        };
        Self {
            ends: ends.iter().map(recorded).collect(),
        }
    }

    /// The ends, as if they were just seen: a record does not say when, and it lasts no longer than its lease.
    fn ends(&self, request: RequestKey) -> Vec<TargetEnd> {
        let end = |recorded: &RecordedEnd| TargetEnd {
            request,
            target: recorded.target,
            ran_ms: recorded.ran_ms,
            age_ms: 0,
        };
        self.ends.iter().map(end).collect()
    }

    fn has(&self, target: TargetId) -> bool {
        self.ends.iter().any(|end| end.target == target)
    }
}

fn key_of(request: RequestKey) -> String {
    format!("{PREFIX}{request}")
}

/// Reads all records, on a box that starts at once, and then now and then.
pub(crate) async fn read_records(relay: Rc<Relay>) {
    tokio::task::spawn_local(ask_at_start(relay.clone()));
    let mut backoff = Backoff::with_long_pauses();
    loop {
        metrics::counter!("shuntpier_store_calls", "of" => "records").increment(1);
        match relay.store.list_stale(PREFIX).await {
            Ok((items, _)) => {
                backoff.reset();
                let records = items.iter().filter_map(|item| relay.decode_record(item));
                for (request, record) in records {
                    relay.take_ends(&record.ends(request), "store");
                }
                sleep(READ_EACH * read_times(&relay)).await;
            }
            Err(error) => {
                slog::info!(relay.log, "records not read"; "error" => %error);
                // Others may have read them.
                relay.ask_what_is_withheld().await;
                sleep(pause_of_refused(&mut backoff, read_times(&relay))).await;
            }
        }
    }
}

/// How long a box leaves the store after a read that failed: the longer the more boxes there are, as a store that turns many
/// away is asked by all of them.
fn pause_of_refused(backoff: &mut Backoff, times: u32) -> Duration {
    backoff.next_pause() * times
}

/// A box that hears others is told of ends by them, and reads the less often the more there are.
fn read_times(relay: &Relay) -> u32 {
    match relay.has_no_peer_contact(relay.now_ms()) {
        true => 1,
        false => relay.members.borrow().interval_factor() as u32,
    }
}

impl Relay {
    /// Reads a record of the store.
    fn decode_record(&self, item: &Versioned) -> Option<(RequestKey, Record)> {
        let request = item.key.strip_prefix(PREFIX)?.parse().ok()?;
        match serde_json::from_slice(&item.value) {
            Ok(record) => Some((request, record)),
            Err(error) => {
                slog::warn!(self.log, "record not used"; "key" => &item.key, "error" => %error);
                None
            }
        }
    }

    /// Has the store keep what this box just saw, where it is more than one end.
    pub(super) fn keep_record(self: &Rc<Self>, news: &[TargetEnd]) {
        let now_ms = self.now_ms();
        // Boxes that hear no other join what they saw by their records alone.
        let recorded_min = match self.has_no_peer_contact(now_ms) {
            true => 1,
            false => RECORDED_MIN,
        };
        for end in news {
            let known = self
                .quarantine
                .borrow()
                .crashes_of(end.request, now_ms)
                .len();
            if known >= recorded_min {
                tokio::task::spawn_local(write_record(self.clone(), end.request));
            }
        }
    }

    /// Has the store keep again what it lost: all that is withheld.
    pub(crate) fn rewrite_records(self: &Rc<Self>) {
        let withheld = self.quarantine.borrow().withheld_requests(self.now_ms());
        for row in withheld {
            tokio::task::spawn_local(write_record(self.clone(), row.request));
        }
    }

    /// Takes a record away: its request was acquitted.
    pub(super) fn remove_record(self: &Rc<Self>, request: RequestKey) {
        let relay = self.clone();
        tokio::task::spawn_local(async move {
            let transaction = Transaction {
                compare: Vec::new(),
                writes: vec![Write::Delete {
                    key: key_of(request),
                }],
            };
            if let Err(error) = relay.store.transact(&transaction).await {
                // It goes with its lease.
                slog::info!(relay.log, "record not taken away"; "error" => %error);
            }
        });
    }
}

/// Joins what this box knows of a request with what the store has.
async fn write_record(relay: Rc<Relay>, request: RequestKey) {
    let mut backoff = Backoff::with_long_pauses();
    for _ in 0..TRIES_MAX {
        match join_once(&relay, request).await {
            Ok(true) => return,
            Ok(false) => {}
            Err(error) => {
                slog::info!(relay.log, "record not written"; "request" => %request,
                    "error" => %error);
                backoff.pause().await;
            }
        }
    }
}

/// Reads the record, joins it, and writes it where this box knows more. False where another box wrote it meanwhile.
async fn join_once(relay: &Rc<Relay>, request: RequestKey) -> Result<bool, StoreError> {
    let key = key_of(request);
    let item = relay.store.get(&key).await?;
    let read = item.as_ref().and_then(|item| relay.decode_record(item));
    let recorded = read.map_or(Record::default(), |(_, record)| record);
    let news = relay.take_ends(&recorded.ends(request), "store");
    relay.tell_ends(&news);
    let known = relay
        .quarantine
        .borrow()
        .crashes_of(request, relay.now_ms());
    if known.iter().all(|end| recorded.has(end.target)) {
        return Ok(true);
    }
    let value = serde_json::to_vec(&Record::of(&known))
        .map_err(|error| StoreError::NotDone(error.to_string()))?;
    let lease = relay.store.grant_lease(LEASE_S).await?;
    let transaction = Transaction {
        compare: vec![Compare {
            key: key.clone(),
            revision: item.map_or(0, |item| item.revision),
        }],
        writes: vec![Write::Put { key, value, lease }],
    };
    let written = relay.store.transact(&transaction).await?;
    Ok(matches!(written, TransactionResult::Done { .. }))
}

#[cfg(test)]
#[path = "record_tests.rs"]
mod tests;
