//! Statuses of HTTP.

/// Whether a status is one by which HTTP ends an exchange: from 200 to 599.
pub fn is_final_status(status: u16) -> bool {
    (200..=599).contains(&status)
}
