//! A compressed snapshot of a long list of targets in the platform's store, a twentieth of the size of the paged
//! list. If all boxes start at once, no peer has the list, and the amount that all of them read bounds the time until
//! they serve. The first box that watches targets writes it. A reader gets newer changes from the watching boxes.

use crate::membership::compression::{compress, decompress};
use crate::state::Relay;
use crate::watch::election::{View, rank};
use peers::TargetList;
use prelude::Version;
use routing::TargetEntry;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use store::{KeyValue, StoreError, Transaction, Versioned, Write};
use tokio::time::sleep;

/// Prefix of the keys of the parts.
const PREFIX: &str = "snapshots/targets/";
/// Shorter lists fit into a page or two and get no snapshot.
const SNAPSHOT_TARGETS_MIN: usize = 1_000;
/// Targets per part, some 50 KB.
const PART_TARGETS: usize = 2_048;
/// Maximum number of parts, the limit of one transaction.
const PARTS_MAX: usize = 32;
/// How often the box checks whether a snapshot is due.
const CHECK_INTERVAL: Duration = Duration::from_millis(1_000);
/// How often a changing list is written. A starting box uses data of this age until it gets updates.
const WRITE_INTERVAL_MS: u64 = 10_000;
/// Lease in seconds, after which a snapshot that is not renewed lapses.
const LEASE_S: u64 = 600;
/// An unchanged list is written again after this time.
const REWRITE_INTERVAL_MS: u64 = 240_000;

/// One part of a snapshot.
#[derive(Debug, Serialize, Deserialize)]
struct Part {
    /// The version of the list.
    version: Version,
    /// Number of parts of the snapshot.
    parts: u16,
    listed: TargetList,
}

/// A list of targets as of a version.
pub(super) struct TargetSnapshot {
    pub version: Version,
    pub entries: Vec<TargetEntry>,
}

/// The last snapshot that this box wrote.
struct Written {
    changed_at: Version,
    at_ms: u64,
}

/// Reads the newest complete snapshot of the store's current era, if there is one.
pub(super) async fn read(relay: &Relay) -> Result<Option<TargetSnapshot>, StoreError> {
    metrics::counter!("shuntpier_store_calls", "of" => "snapshot").increment(1);
    let (items, at) = relay.store.list_stale(PREFIX).await?;
    let parts = items.iter().filter_map(|item| part(relay, item));
    let parts = parts.filter(|part| part.version.era() == at.era());
    Ok(newest_complete(parts))
}

fn part(relay: &Relay, item: &Versioned) -> Option<Part> {
    let unpacked = decompress(&item.value).ok();
    let part = unpacked.and_then(|bytes| postcard::from_bytes(&bytes).ok());
    if part.is_none() {
        slog::warn!(relay.log, "part of a target snapshot not used"; "key" => &item.key,
            "bytes" => item.value.len());
    }
    part
}

/// The newest snapshot with all its parts.
fn newest_complete(parts: impl Iterator<Item = Part>) -> Option<TargetSnapshot> {
    let mut by_version: BTreeMap<Version, Vec<Part>> = BTreeMap::new();
    for part in parts {
        by_version.entry(part.version).or_default().push(part);
    }
    let is_complete = |parts: &[Part]| parts.iter().all(|p| usize::from(p.parts) == parts.len());
    let (version, parts) = by_version
        .into_iter()
        .rfind(|(_, parts)| is_complete(parts))?;
    let entries = parts.into_iter().flat_map(|part| part.listed.entries());
    Some(TargetSnapshot {
        version,
        entries: entries.collect(),
    })
}

/// Writes snapshots for the lifetime of the box, while it is the first in rank and watches targets.
pub(crate) async fn run_snapshots(relay: Rc<Relay>) {
    let mut written = None;
    loop {
        sleep(CHECK_INTERVAL).await;
        if !is_due(&relay, written.as_ref()) {
            continue;
        }
        match write(&relay).await {
            Ok(new) => written = Some(new),
            Err(error) => {
                slog::info!(relay.log, "snapshot of targets not written"; "error" => %error);
            }
        }
    }
}

fn is_due(relay: &Relay, written: Option<&Written>) -> bool {
    let is_watching = relay
        .following
        .get()
        .views()
        .any(|view| view == View::Targets);
    if !is_watching || rank(relay) != Some(0) || relay.is_settling() {
        return false;
    }
    let targets = relay.targets.borrow();
    if targets.len() < SNAPSHOT_TARGETS_MIN {
        return false;
    }
    written.is_none_or(|written| {
        let age_ms = relay.now_ms().saturating_sub(written.at_ms);
        let has_changed = written.changed_at != targets.changed_at;
        (has_changed && age_ms >= WRITE_INTERVAL_MS) || age_ms >= REWRITE_INTERVAL_MS
    })
}

async fn write(relay: &Relay) -> Result<Written, StoreError> {
    let now_ms = relay.now_ms();
    let (entries, version, changed_at) = {
        let targets = relay.targets.borrow();
        (
            targets.entries(now_ms),
            targets.current_to,
            targets.changed_at,
        )
    };
    let lease = relay.store.create_lease(LEASE_S).await?;
    let parts = entries.chunks(part_targets(entries.len()));
    let count = parts.len() as u16;
    let writes = parts.enumerate().map(|(at, listed)| {
        let part = Part {
            version,
            parts: count,
            listed: TargetList::new(listed),
        };
        let bytes =
            postcard::to_stdvec(&part).map_err(|error| StoreError::NotDone(error.to_string()))?;
        Ok(Write::Put {
            key: format!("{PREFIX}{at:03}"),
            value: compress(&bytes),
            lease: lease.id,
        })
    });
    let writes: Vec<Write> = writes.collect::<Result<_, StoreError>>()?;
    let bytes: usize = writes.iter().map(written_bytes).sum();
    let transaction = Transaction {
        compare: Vec::new(),
        writes,
    };
    relay.store.transact(&transaction).await?;
    slog::info!(relay.log, "snapshot of targets written"; "version" => %version,
        "targets" => entries.len(), "parts" => count, "bytes" => bytes);
    Ok(Written {
        changed_at,
        at_ms: now_ms,
    })
}

fn written_bytes(write: &Write) -> usize {
    match write {
        Write::Put { value, .. } => value.len(),
        Write::Delete { .. } => 0,
    }
}

/// Number of targets per part for a list of `listed` targets.
fn part_targets(listed: usize) -> usize {
    listed.div_ceil(PARTS_MAX).max(PART_TARGETS)
}

#[cfg(test)]
#[path = "target_snapshot_tests.rs"]
mod tests;
