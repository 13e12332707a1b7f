//! Keys that carry their own time: UUID version 7 (RFC 9562).

use uuid::Uuid;

/// The time at which a key was made, in Unix milliseconds, where it carries one.
pub fn key_time_ms(key: &str) -> Option<u64> {
    let uuid = Uuid::try_parse(key).ok()?;
    if uuid.get_version_num() != 7 {
        return None;
    }
    let (seconds, nanos) = uuid.get_timestamp()?.to_unix();
    Some(seconds * 1000 + u64::from(nanos) / 1_000_000)
}

/// Whether a key may still be known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyAge {
    /// Its claim, if there was one, is still kept; or it carries no time.
    Kept,
    /// Its claim may have been dropped: running it could be a second time.
    Expired,
}

/// Judges the age of a key. A margin allows for clocks that differ.
pub fn key_age(key: &str, now_unix_ms: u64, retention_ms: u64) -> KeyAge {
    let margin_ms = retention_ms / 10;
    match key_time_ms(key) {
        Some(made_ms) if made_ms + retention_ms - margin_ms < now_unix_ms => KeyAge::Expired,
        _ => KeyAge::Kept,
    }
}

#[cfg(test)]
#[path = "keyed_tests.rs"]
mod tests;
