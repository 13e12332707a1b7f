//! Records of requests and prompt parts that crash targets, in the platform's store. They survive a restart of all boxes, and
//! merge the observations of boxes that cannot reach each other. A single crash is not recorded: most requests that run during
//! a crash did not cause it.

use crate::quarantine::broadcast::fetch_withheld_at_start;
use crate::state::Relay;
use crate::watch::backoff::Backoff;
use prelude::{RunId, Suspect, TargetEnd, TargetId};
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
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

/// Suspects whose records this box has written that are remembered at most, before those no longer suspected are forgotten.
const RECORDED_SUSPECTS_MAX: usize = 1_024;

/// The stored value: the crashes of one suspect.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
struct Record {
    ends: Vec<RecordedCrash>,
}

/// A crash of a target.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct RecordedCrash {
    target: TargetId,
    ran_ms: u32,
    /// The interrupted runs with the suspect.
    #[serde(default)]
    runs: Vec<RunId>,
    /// How long it was before the last recorded crash, in ms.
    #[serde(default)]
    before_last_ms: u32,
}

impl Record {
    fn from_crashes(crashes: &[TargetEnd]) -> Self {
        let last_age_ms = crashes.iter().map(|crash| crash.age_ms).min();
        let recorded = |crash: &TargetEnd| RecordedCrash {
            target: crash.target,
            ran_ms: crash.ran_ms,
            runs: crash.runs.clone(),
            before_last_ms: crash.age_ms - last_age_ms.unwrap_or_default(),
        };
        Self {
            ends: crashes.iter().map(recorded).collect(),
        }
    }

    /// The crashes, the last of them with an age of 0: a record does not tell when it was, and expires with its lease anyway.
    fn crashes(&self, suspect: Suspect) -> Vec<TargetEnd> {
        let crash = |recorded: &RecordedCrash| TargetEnd {
            suspect,
            target: recorded.target,
            runs: recorded.runs.clone(),
            ran_ms: recorded.ran_ms,
            age_ms: recorded.before_last_ms,
        };
        self.ends.iter().map(crash).collect()
    }

    fn contains(&self, target: TargetId) -> bool {
        self.ends.iter().any(|crash| crash.target == target)
    }
}

fn key_of(suspect: Suspect) -> String {
    format!("{PREFIX}{suspect}")
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
                let crashes: Vec<TargetEnd> = records
                    .flat_map(|(suspect, record)| record.crashes(suspect))
                    .collect();
                relay.apply_crashes(&crashes, "store");
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
    fn decode_record(&self, item: &Versioned) -> Option<(Suspect, Record)> {
        let suspect = item.key.strip_prefix(PREFIX)?.parse().ok()?;
        match serde_json::from_slice(&item.value) {
            Ok(record) => Some((suspect, record)),
            Err(error) => {
                slog::warn!(self.log, "ignoring an invalid quarantine record"; "key" => &item.key, "error" => %error);
                None
            }
        }
    }

    /// Starts writing the records of suspects with new crashes, if these are to be recorded.
    pub(super) fn store_crashes(self: &Rc<Self>, new_crashes: &[TargetEnd]) {
        let mut recorded: BTreeSet<Suspect> = new_crashes
            .iter()
            .map(|crash| crash.suspect)
            .filter(|suspect| self.is_to_be_recorded(*suspect))
            .collect();
        let causes = self.quarantine.borrow().withheld_causes(self.now_ms());
        for cause in causes {
            // A cause is known from the records of all its suspects only.
            if cause
                .suspects
                .iter()
                .any(|suspect| recorded.contains(suspect))
            {
                recorded.extend(cause.suspects);
            }
        }
        for suspect in recorded {
            tokio::task::spawn_local(write_record(self.clone(), suspect));
        }
    }

    /// Whether a suspect has enough crashes to be recorded. Sound prompt parts are present at many crashes, so parts are
    /// recorded once they are withheld.
    fn is_to_be_recorded(&self, suspect: Suspect) -> bool {
        let now_ms = self.now_ms();
        let quarantine = self.quarantine.borrow();
        // Boxes without contact to a peer share crashes through the records alone.
        if self.has_no_peer_contact(now_ms) {
            return true;
        }
        match suspect {
            Suspect::Request(_) => {
                quarantine.crashes_of(suspect, now_ms).len() >= RECORDED_CRASHES_MIN
            }
            Suspect::Part(_) => quarantine.is_implicated(suspect, now_ms),
        }
    }

    /// Writes the records of all that is withheld again, after the store lost them.
    pub(crate) fn rewrite_records(self: &Rc<Self>) {
        let causes = self.quarantine.borrow().withheld_causes(self.now_ms());
        for suspect in causes.into_iter().flat_map(|cause| cause.suspects) {
            tokio::task::spawn_local(write_record(self.clone(), suspect));
        }
    }

    /// Deletes the record of a suspect that was acquitted.
    pub(super) fn remove_record(self: &Rc<Self>, suspect: Suspect) {
        self.recorded_suspects.borrow_mut().remove(&suspect);
        tokio::task::spawn_local(delete_record(self.clone(), suspect));
    }

    /// Deletes the record of a suspect that another box acquitted, if this box has written it: its write may have come after
    /// the deletion by the other box.
    pub(super) fn remove_own_record(self: &Rc<Self>, suspect: Suspect) {
        if self.recorded_suspects.borrow().contains(&suspect) {
            self.remove_record(suspect);
        }
    }

    /// Remembers that this box writes the record of a suspect. Forgets those that are no longer suspected if there are too many.
    fn remember_write(&self, suspect: Suspect) {
        let mut recorded = self.recorded_suspects.borrow_mut();
        if recorded.len() >= RECORDED_SUSPECTS_MAX {
            recorded.retain(|suspect| self.is_suspected(*suspect));
        }
        recorded.insert(suspect);
    }

    /// Whether any crash counts against a suspect.
    fn is_suspected(&self, suspect: Suspect) -> bool {
        let quarantine = self.quarantine.borrow();
        !quarantine.crashes_of(suspect, self.now_ms()).is_empty()
    }
}

/// Deletes a record, with retries. Gives up once it is suspected again, as the record may then be a new one.
async fn delete_record(relay: Rc<Relay>, suspect: Suspect) {
    let transaction = Transaction {
        compare: Vec::new(),
        writes: vec![Write::Delete {
            key: key_of(suspect),
        }],
    };
    let mut backoff = Backoff::with_long_pauses();
    for _ in 0..WRITE_ATTEMPTS_MAX {
        if relay.is_suspected(suspect) {
            return;
        }
        match relay.store.transact(&transaction).await {
            Ok(_) => {
                slog::info!(relay.log, "quarantine record deleted"; "request" => %suspect);
                return;
            }
            Err(error) => {
                slog::info!(relay.log, "failed to delete a quarantine record"; "request" => %suspect,
                    "error" => %error);
                backoff.pause().await;
            }
        }
    }
}

/// Merges the known crashes of a suspect into its record, with retries.
async fn write_record(relay: Rc<Relay>, suspect: Suspect) {
    let mut backoff = Backoff::with_long_pauses();
    for _ in 0..WRITE_ATTEMPTS_MAX {
        match try_merge_record(&relay, suspect).await {
            Ok(true) => return,
            Ok(false) => {}
            Err(error) => {
                slog::info!(relay.log, "failed to write a quarantine record"; "request" => %suspect,
                    "error" => %error);
                backoff.pause().await;
            }
        }
    }
}

/// Reads the record, applies its crashes, and writes it if this box knows more of them. Returns false if another box wrote
/// it in the meantime.
async fn try_merge_record(relay: &Rc<Relay>, suspect: Suspect) -> Result<bool, StoreError> {
    let key = key_of(suspect);
    let item = relay.store.get(&key).await?;
    let decoded = item.as_ref().and_then(|item| relay.decode_record(item));
    let recorded = decoded.map_or(Record::default(), |(_, record)| record);
    let new_crashes = relay.apply_crashes(&recorded.crashes(suspect), "store");
    relay.broadcast_crashes(&new_crashes);
    let known_crashes = relay
        .quarantine
        .borrow()
        .crashes_of(suspect, relay.now_ms());
    if known_crashes
        .iter()
        .all(|crash| recorded.contains(crash.target))
    {
        if item.is_some() && known_crashes.is_empty() {
            // A write that seemed to fail may have come after the acquittal.
            relay.remove_record(suspect);
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
    relay.remember_write(suspect);
    let result = relay.store.transact(&transaction).await?;
    let is_written = matches!(result, TransactionResult::Done { .. });
    if is_written {
        slog::info!(relay.log, "quarantine record written"; "request" => %suspect,
            "ends" => known_crashes.len());
    }
    if is_written && !relay.is_suspected(suspect) {
        // It was acquitted while the write was on its way.
        relay.remove_record(suspect);
    }
    Ok(is_written)
}

#[cfg(test)]
#[path = "record_tests.rs"]
mod tests;
