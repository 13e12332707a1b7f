//! What lies under the keys of targets, read: entries, their absence, and what names no target to use.

use crate::state::Relay;
use crate::watch::targets::{Change, Missing, TargetRegistry};
use platform::{TARGET_PREFIX, decode_target, parse_incarnation};
use prelude::Version;
use routing::{TargetEntry, TargetLife};
use store::{Versioned, WatchEvent};

/// A change in the list of targets.
pub(crate) enum ListingUpdate {
    /// An entry that names a target.
    Listed(TargetEntry),
    /// A name is listed no more: the name, and the version as of which.
    Unlisted(Box<str>, Version),
    /// The entry names no target to use: its name, the birth in it where that can be read, and its version.
    Refused(Box<str>, Option<u64>, Version),
}

impl ListingUpdate {
    /// Takes it in. Where the store has just come back, what is missing has time to come back too.
    pub(crate) fn apply(
        &self,
        targets: &mut TargetRegistry,
        missing_until_ms: Option<u64>,
        now_ms: u64,
    ) -> Option<Change> {
        match (self, missing_until_ms) {
            (Self::Listed(entry), _) => targets.apply_entry(entry.clone(), now_ms),
            (Self::Unlisted(instance, at), Some(until_ms)) => {
                let version = *at;
                targets.mark_missing(instance, Missing { until_ms, version })
            }
            (Self::Unlisted(instance, at), None) => targets.unlist(instance, *at),
            (Self::Refused(instance, None, at), _) => targets.unlist(instance, *at),
            (Self::Refused(instance, born_ms, at), _) => {
                let life = TargetLife {
                    instance: instance.clone(),
                    born_ms: *born_ms,
                };
                targets.unlist_incarnation(&life, *at)
            }
        }
    }
}

/// What lies under a key. What cannot be used is told once.
pub(crate) fn parse_entry(relay: &Relay, item: &Versioned) -> Option<ListingUpdate> {
    let mut refused = relay.refused_entries.borrow_mut();
    let error = match decode_target(&item.key, &item.value, item.version()) {
        Ok(entry) => {
            refused.clear(&item.key);
            return Some(ListingUpdate::Listed(entry));
        }
        Err(error) => error,
    };
    if refused.record_refusal(&item.key, &item.value) {
        metrics::counter!("shuntpier_target_entries_refused").increment(1);
        slog::warn!(relay.log, "entry of a target not used"; "key" => &item.key,
            "version" => %item.version(), "bytes" => item.value.len(), "error" => %error);
    }
    let instance = item.key.strip_prefix(TARGET_PREFIX)?;
    let born_ms = parse_incarnation(&item.value);
    Some(ListingUpdate::Refused(
        instance.into(),
        born_ms,
        item.version(),
    ))
}

/// What an event of the watch on targets says.
pub(crate) fn parse_event(relay: &Relay, event: WatchEvent) -> Option<ListingUpdate> {
    let Some(value) = event.value else {
        relay.refused_entries.borrow_mut().clear(&event.key);
        let instance = event.key.strip_prefix(TARGET_PREFIX)?;
        return Some(ListingUpdate::Unlisted(instance.into(), event.version()));
    };
    let item = Versioned {
        era: event.era,
        key: event.key,
        value,
        revision: event.revision,
        lease: 0,
    };
    parse_entry(relay, &item)
}
