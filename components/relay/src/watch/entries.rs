//! Decodes the store's entries of targets into updates: registered, removed, or unusable.

use crate::state::Relay;
use crate::watch::targets::{Change, Missing, TargetRegistry};
use platform::{TARGET_PREFIX, decode_target, parse_incarnation};
use prelude::Version;
use routing::{TargetEntry, TargetLife};
use store::{Versioned, WatchEvent};

/// An update of the list of targets.
pub(crate) enum ListingUpdate {
    /// A valid entry.
    Listed(TargetEntry),
    /// No entry is left under this name, as of the version.
    Unlisted(Box<str>, Version),
    /// The entry is unusable: its name, its incarnation if it can be parsed, and its version.
    Refused(Box<str>, Option<u64>, Version),
}

impl ListingUpdate {
    /// Applies the update. If the store has just recovered, a removed entry is only marked as missing until
    /// `missing_until_ms`.
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
                let incarnation = TargetLife {
                    instance: instance.clone(),
                    born_ms: *born_ms,
                };
                targets.unlist_incarnation(&incarnation, *at)
            }
        }
    }
}

/// Decodes the entry under a key. Each unusable entry is logged once.
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

/// Decodes an event of the watch on targets.
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
