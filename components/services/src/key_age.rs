//! Age of idempotency keys that embed a timestamp: UUID version 7 (RFC 9562).

use uuid::Uuid;

/// Returns the creation time of a key in Unix milliseconds, or `None` if the key is no UUID
/// version 7.
pub fn key_time_ms(key: &str) -> Option<u64> {
    let uuid = Uuid::try_parse(key).ok()?;
    if uuid.get_version_num() != 7 {
        return None;
    }
    let (seconds, nanos) = uuid.get_timestamp()?.to_unix();
    Some(seconds * 1000 + u64::from(nanos) / 1_000_000)
}

/// Whether the claim of a key is still retained.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyAge {
    /// The claim, if there was one, is still stored; or the key carries no timestamp.
    Kept,
    /// The claim may have been deleted, so the call could run a second time.
    Expired,
}

/// Classifies a key by its age. A margin of a tenth of the retention allows for clock skew.
pub fn key_age(key: &str, now_unix_ms: u64, retention_ms: u64) -> KeyAge {
    let margin_ms = retention_ms / 10;
    match key_time_ms(key) {
        Some(created_ms) if created_ms + retention_ms - margin_ms < now_unix_ms => KeyAge::Expired,
        _ => KeyAge::Kept,
    }
}

#[cfg(test)]
#[path = "key_age_tests.rs"]
mod tests;
