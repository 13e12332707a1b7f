//! Records of requests that crash targets, in the platform's store. They survive a restart of all boxes, and merge the
//! observations of boxes that cannot reach each other. A single crash is not recorded: most requests that run during a crash
//! did not cause it.

use crate::quarantine::broadcast::fetch_withheld_at_start;
use crate::state::Relay;
use crate::watch::backoff::Backoff;
use prelude::{RequestKey, TargetEnd, TargetId};
use serde::{Deserialize, Serialize};
use std::rc::Rc;
use std::time::Duration;
use store::{Compare, KeyValue, StoreError, Transaction, TransactionResult, Versioned, Write};
use tokio::time::sleep;

/// Key prefix of the records in the store.
const PREFIX: &str = "quarantine/";
/// Lifetime of a record after its last write: as long as a request is withheld.
const LEASE_S: u64 = 600;
/// Crashes of a request from which on it is recorded, on a box with contact to a peer.
pub(super) const RECORDED_CRASHES_MIN: usize = 2;
/// Interval of reads of all records in a small fleet. The reads may be some seconds stale, and each costs a tenth of an
/// ordinary store call.
const READ_INTERVAL: Duration = Duration::from_secs(30);
/// Attempts to write a record on conflicts with other boxes or while the store is unavailable: about two minutes.
const WRITE_ATTEMPTS_MAX: usize = 24;

/// Requests whose records this box has written that are remembered at most, before those no longer suspected are forgotten.
const RECORDED_REQUESTS_MAX: usize = 1_024;

/// The stored value: the crashes of one request.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
struct Record {
    ends: Vec<RecordedCrash>,
}

/// A crash of a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct RecordedCrash {
    target: TargetId,
    ran_ms: u32,
}

impl Record {
    fn from_crashes(crashes: &[TargetEnd]) -> Self {
        let recorded = |crash: &TargetEnd| RecordedCrash {
            target: crash.target,
            ran_ms: crash.ran_ms,
        };
        Self {
            ends: crashes.iter().map(recorded).collect(),
        }
    }

    /// The crashes with an age of 0: a record has no times, and it expires with its lease anyway.
    fn crashes(&self, request: RequestKey) -> Vec<TargetEnd> {
        let crash = |recorded: &RecordedCrash| TargetEnd {
            request,
            target: recorded.target,
            ran_ms: recorded.ran_ms,
            age_ms: 0,
        };
        self.ends.iter().map(crash).collect()
    }

    fn contains(&self, target: TargetId) -> bool {
        self.ends.iter().any(|crash| crash.target == target)
    }
}

fn key_of(request: RequestKey) -> String {
    format!("{PREFIX}{request}")
}

/// Reads all records at the start of the box and then periodically; also asks peers for withheld requests at the start.
pub(crate) async fn read_records(relay: Rc<Relay>) {
    tokio::task::spawn_local(fetch_withheld_at_start(relay.clone()));
    let mut backoff = Backoff::with_long_pauses();
    loop {
        metrics::counter!("shuntpier_store_calls", "of" => "records").increment(1);
        match relay.store.list_stale(PREFIX).await {
            Ok((items, _)) => {
                backoff.reset();
                let records = items.iter().filter_map(|item| relay.decode_record(item));
                for (request, record) in records {
                    relay.apply_crashes(&record.crashes(request), "store");
                }
                sleep(READ_INTERVAL * read_interval_factor(&relay)).await;
            }
            Err(error) => {
                slog::info!(relay.log, "failed to read the quarantine records"; "error" => %error);
                // Peers may have read the records.
                relay.fetch_withheld().await;
                sleep(pause_after_failed_read(
                    &mut backoff,
                    read_interval_factor(&relay),
                ))
                .await;
            }
        }
    }
}

/// How long to wait after a failed read. Grows with the number of boxes, because an overloaded store gets the retries of
/// all of them.
fn pause_after_failed_read(backoff: &mut Backoff, interval_factor: u32) -> Duration {
    backoff.next_pause() * interval_factor
}

/// By how much the interval between reads is multiplied. Boxes in contact with peers receive crashes from them, so they
/// read less often the larger the fleet is.
fn read_interval_factor(relay: &Relay) -> u32 {
    match relay.has_no_peer_contact(relay.now_ms()) {
        true => 1,
        false => relay.members.borrow().interval_factor() as u32,
    }
}

impl Relay {
    /// Decodes a record; logs and skips an invalid one.
    fn decode_record(&self, item: &Versioned) -> Option<(RequestKey, Record)> {
        let request = item.key.strip_prefix(PREFIX)?.parse().ok()?;
        match serde_json::from_slice(&item.value) {
            Ok(record) => Some((request, record)),
            Err(error) => {
                slog::warn!(self.log, "ignoring an invalid quarantine record"; "key" => &item.key, "error" => %error);
                None
            }
        }
    }

    /// Starts writing the records of requests with new crashes, if they have enough crashes to be recorded.
    pub(super) fn store_crashes(self: &Rc<Self>, new_crashes: &[TargetEnd]) {
        let now_ms = self.now_ms();
        // Boxes without contact to a peer share crashes through the records alone.
        let min_crashes = match self.has_no_peer_contact(now_ms) {
            true => 1,
            false => RECORDED_CRASHES_MIN,
        };
        for crash in new_crashes {
            let known_crashes = self
                .quarantine
                .borrow()
                .crashes_of(crash.request, now_ms)
                .len();
            if known_crashes >= min_crashes {
                tokio::task::spawn_local(write_record(self.clone(), crash.request));
            }
        }
    }

    /// Writes the records of all withheld requests again, after the store lost them.
    pub(crate) fn rewrite_records(self: &Rc<Self>) {
        let requests = self.quarantine.borrow().withheld_requests(self.now_ms());
        for withheld_request in requests {
            tokio::task::spawn_local(write_record(self.clone(), withheld_request.request));
        }
    }

    /// Deletes the record of a request that was acquitted.
    pub(super) fn remove_record(self: &Rc<Self>, request: RequestKey) {
        self.recorded_requests.borrow_mut().remove(&request);
        tokio::task::spawn_local(delete_record(self.clone(), request));
    }

    /// Deletes the record of a request that another box acquitted, if this box has written it: its write may have come after
    /// the deletion by the other box.
    pub(super) fn remove_own_record(self: &Rc<Self>, request: RequestKey) {
        if self.recorded_requests.borrow().contains(&request) {
            self.remove_record(request);
        }
    }

    /// Remembers that this box writes the record of a request. Forgets the requests that are no longer suspected if there are
    /// too many.
    fn remember_write(&self, request: RequestKey) {
        let mut recorded = self.recorded_requests.borrow_mut();
        if recorded.len() >= RECORDED_REQUESTS_MAX {
            recorded.retain(|request| self.is_suspected(*request));
        }
        recorded.insert(request);
    }

    /// Whether any crash counts against a request.
    fn is_suspected(&self, request: RequestKey) -> bool {
        let quarantine = self.quarantine.borrow();
        !quarantine.crashes_of(request, self.now_ms()).is_empty()
    }
}

/// Deletes a record, with retries. Gives up once the request is suspected again, as the record may then be a new one.
async fn delete_record(relay: Rc<Relay>, request: RequestKey) {
    let transaction = Transaction {
        compare: Vec::new(),
        writes: vec![Write::Delete {
            key: key_of(request),
        }],
    };
    let mut backoff = Backoff::with_long_pauses();
    for _ in 0..WRITE_ATTEMPTS_MAX {
        if relay.is_suspected(request) {
            return;
        }
        match relay.store.transact(&transaction).await {
            Ok(_) => {
                slog::info!(relay.log, "quarantine record deleted"; "request" => %request);
                return;
            }
            Err(error) => {
                slog::info!(relay.log, "failed to delete a quarantine record"; "request" => %request,
                    "error" => %error);
                backoff.pause().await;
            }
        }
    }
}

/// Merges the known crashes of a request into its record, with retries.
async fn write_record(relay: Rc<Relay>, request: RequestKey) {
    let mut backoff = Backoff::with_long_pauses();
    for _ in 0..WRITE_ATTEMPTS_MAX {
        match try_merge_record(&relay, request).await {
            Ok(true) => return,
            Ok(false) => {}
            Err(error) => {
                slog::info!(relay.log, "failed to write a quarantine record"; "request" => %request,
                    "error" => %error);
                backoff.pause().await;
            }
        }
    }
}

/// Reads the record, applies its crashes, and writes it if this box knows more of them. Returns false if another box wrote
/// it in the meantime.
async fn try_merge_record(relay: &Rc<Relay>, request: RequestKey) -> Result<bool, StoreError> {
    let key = key_of(request);
    let item = relay.store.get(&key).await?;
    let decoded = item.as_ref().and_then(|item| relay.decode_record(item));
    let recorded = decoded.map_or(Record::default(), |(_, record)| record);
    let new_crashes = relay.apply_crashes(&recorded.crashes(request), "store");
    relay.broadcast_crashes(&new_crashes);
    let known_crashes = relay
        .quarantine
        .borrow()
        .crashes_of(request, relay.now_ms());
    if known_crashes
        .iter()
        .all(|crash| recorded.contains(crash.target))
    {
        if item.is_some() && known_crashes.is_empty() {
            // A write that seemed to fail may have come after the acquittal.
            relay.remove_record(request);
        }
        return Ok(true);
    }
    let value = serde_json::to_vec(&Record::from_crashes(&known_crashes))
        .map_err(|error| StoreError::NotDone(error.to_string()))?;
    let lease = relay.store.grant_lease(LEASE_S).await?;
    let transaction = Transaction {
        compare: vec![Compare {
            key: key.clone(),
            revision: item.map_or(0, |item| item.revision),
        }],
        writes: vec![Write::Put { key, value, lease }],
    };
    relay.remember_write(request);
    let result = relay.store.transact(&transaction).await?;
    let is_written = matches!(result, TransactionResult::Done { .. });
    if is_written {
        slog::info!(relay.log, "quarantine record written"; "request" => %request,
            "ends" => known_crashes.len());
    }
    if is_written && !relay.is_suspected(request) {
        // It was acquitted while the write was on its way.
        relay.remove_record(request);
    }
    Ok(is_written)
}

#[cfg(test)]
#[path = "record_tests.rs"]
mod tests;
