//! Checks of the settings file of a fleet box.

use crate::check::{Found, Mistakes, no_keys, parse};
use crate::fleetfile::FleetFile;

/// Parses and checks the settings file of a box of a platform's fleet.
///
/// # Errors
/// Every mistake that was found.
pub fn parse_fleet_file(name: &str, text: &str) -> Result<FleetFile, Box<Mistakes>> {
    parse(name, text, fleet_mistakes)
}

/// The mistakes of a fleet box's file; none where it is right.
pub fn check_fleet_file(name: &str, text: &str) -> Option<Box<Mistakes>> {
    parse_fleet_file(name, text).err()
}

/// The mistakes of what a fleet box's file says.
pub(crate) fn fleet_mistakes(file: &FleetFile) -> Vec<Found> {
    let mut found = Vec::new();
    let identity = &file.identity;
    let callers = identity.callers_address;
    // Port 0 asks for any free one.
    if callers == identity.readiness_address && callers.port() != 0 {
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
    if promises.stop_grace_s <= 0.0 {
        found.push(Found::new(
            &["promises", "stop_grace_s"],
            "no time to stop in".into(),
            Some("the platform ends a process so long after SIGTERM".into()),
        ));
    }
    if file.peer_keys.is_empty() {
        found.push(no_keys(&["peer_keys"]));
    }
    found
}

#[cfg(test)]
#[path = "fleetcheck_tests.rs"]
mod tests;
