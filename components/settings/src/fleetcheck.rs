//! Checks of the settings file of a fleet box.

use crate::check::{Found, Mistakes, parse};
use crate::fleetfile::FleetFile;

/// Parses and checks the settings file of a box of a platform's fleet.
///
/// # Errors
/// Every mistake that was found.
pub fn parse_fleet_file(name: &str, text: &str) -> Result<FleetFile, Box<Mistakes>> {
    parse(name, text, fleet_mistakes)
}

/// Reads the settings file of a fleet box without naming all its mistakes: a box that starts pays for its
/// memory at its peak, and the schema that finds every mistake takes most of it.
///
/// # Errors
/// The first mistake; [`parse_fleet_file`] names all.
pub fn read_fleet_file(text: &str) -> Result<FleetFile, String> {
    let file: FleetFile = serde_saphyr::from_str(text).map_err(|error| error.to_string())?;
    match fleet_mistakes(&file).into_iter().next() {
        None => Ok(file),
        Some(found) => Err(found.message),
    }
}

/// The mistakes of a fleet box's file; none where it is right.
pub fn check_fleet_file(name: &str, text: &str) -> Option<Box<Mistakes>> {
    parse_fleet_file(name, text).err()
}

fn fleet_mistakes(file: &FleetFile) -> Vec<Found> {
    let mut found = Vec::new();
    let identity = &file.identity;
    if identity.callers_address == identity.readiness_address {
        found.push(Found::new(
            &["box", "readiness_address"],
            "callers and readiness share an address".into(),
            Some("give each an address of its own".into()),
        ));
    }
    let promises = &file.promises;
    if !(0.0..=1.0).contains(&promises.resend_share) {
        found.push(Found::new(
            &["promises", "resend_share"],
            format!("{} is not between 0 and 1", promises.resend_share),
            Some("a share of 0.2 allows one second send for five requests".into()),
        ));
    }
    if promises.resend_window_s <= 0.0 {
        found.push(Found::new(
            &["promises", "resend_window_s"],
            "a window of no length".into(),
            None,
        ));
    }
    found
}

#[cfg(test)]
#[path = "fleetcheck_tests.rs"]
mod tests;
