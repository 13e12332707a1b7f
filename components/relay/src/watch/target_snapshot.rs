//! A snapshot of a long list of targets, in the platform's store: packed, a twentieth of what the list takes there page by
//! page. Where all boxes start at once nobody else has the list, and what all of them read bounds how soon they serve. The
//! box that watches targets writes it; it is as old as the last write, and whoever reads it is told what is newer by the
//! boxes that watch.

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

/// What begins the keys of its parts.
const PREFIX: &str = "snapshots/targets/";
/// Shorter lists are a page or two, and have none.
const LISTED_MIN: usize = 1_000;
/// Targets of one part: some 50 KB.
const PART_TARGETS: usize = 2_048;
/// Parts at the most: what one transaction takes.
const PARTS_MAX: usize = 32;
/// How often it is looked whether a snapshot is due.
const LOOK_EACH: Duration = Duration::from_millis(1_000);
/// While the list changes it is written this often. A box that starts uses what is so old until it is told more.
const WRITE_EACH_MS: u64 = 10_000;
/// How long it lasts where nobody writes it again.
const LEASE_S: u64 = 600;
/// It is written again within this time, changed or not.
const WRITE_AGAIN_MS: u64 = 240_000;

/// One part.
#[derive(Debug, Serialize, Deserialize)]
struct Part {
    /// The version of the list.
    version: Version,
    /// How many parts there are.
    parts: u16,
    listed: TargetList,
}

/// A list of targets as it was at a version.
pub(super) struct TargetSnapshot {
    pub version: Version,
    pub entries: Vec<TargetEntry>,
}

/// The last snapshot that this box wrote.
struct Written {
    changed_at: Version,
    at_ms: u64,
}

/// Reads the snapshot; none where there is none that is whole and of the store's era.
pub(super) async fn read(relay: &Relay) -> Result<Option<TargetSnapshot>, StoreError> {
    metrics::counter!("shuntpier_store_calls", "of" => "snapshot").increment(1);
    let (items, at) = relay.store.list_stale(PREFIX).await?;
    let parts = items.iter().filter_map(|item| part(relay, item));
    let parts = parts.filter(|part| part.version.era() == at.era());
    Ok(newest(parts))
}

fn part(relay: &Relay, item: &Versioned) -> Option<Part> {
    let unpacked = decompress(&item.value).ok();
    let part = unpacked.and_then(|bytes| postcard::from_bytes(&bytes).ok());
    if part.is_none() {
        slog::warn!(relay.log, "part of a snapshot not used"; "key" => &item.key,
            "bytes" => item.value.len());
    }
    part
}

/// The newest snapshot of which all parts are there.
fn newest(parts: impl Iterator<Item = Part>) -> Option<TargetSnapshot> {
    let mut by_version: BTreeMap<Version, Vec<Part>> = BTreeMap::new();
    for part in parts {
        by_version.entry(part.version).or_default().push(part);
    }
    let is_whole = |parts: &[Part]| parts.iter().all(|p| usize::from(p.parts) == parts.len());
    let (version, parts) = by_version.into_iter().rfind(|(_, parts)| is_whole(parts))?;
    let entries = parts.into_iter().flat_map(|part| part.listed.entries());
    Some(TargetSnapshot {
        version,
        entries: entries.collect(),
    })
}

/// Writes snapshots for as long as the box lives, while it is the first that watches targets.
pub(crate) async fn run_snapshots(relay: Rc<Relay>) {
    let mut written = None;
    loop {
        sleep(LOOK_EACH).await;
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
    let watches = relay
        .following
        .get()
        .views()
        .any(|view| view == View::Targets);
    if !watches || rank(relay) != Some(0) || relay.is_settling() {
        return false;
    }
    let targets = relay.targets.borrow();
    if targets.len() < LISTED_MIN {
        return false;
    }
    written.is_none_or(|written| {
        let age_ms = relay.now_ms().saturating_sub(written.at_ms);
        let has_changed = written.changed_at != targets.changed_at;
        (has_changed && age_ms >= WRITE_EACH_MS) || age_ms >= WRITE_AGAIN_MS
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

/// Targets of one part, where there are so many in all.
fn part_targets(listed: usize) -> usize {
    listed.div_ceil(PARTS_MAX).max(PART_TARGETS)
}

#[cfg(test)]
#[path = "target_snapshot_tests.rs"]
mod tests;
