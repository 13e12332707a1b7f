//! Checks of the settings file of a fleet box.

use crate::check::{Found, Mistakes, no_keys, parse};
use crate::fleetfile::{FleetAccounts, FleetFile, FleetLimits};
use std::collections::HashSet;

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
    check_limits(&file.limits, &mut found);
    check_accounts(&file.accounts, &mut found);
    if file.peer_keys.is_empty() {
        found.push(no_keys(&["peer_keys"]));
    }
    found
}

/// Channels whose peer acknowledges nothing for this long are closed by the system: a longer limit would mean nothing.
const UNREAD_LIMIT_MAX_S: f64 = 20.0;

/// The bounds on what is held for others: one that holds nothing would serve nothing.
fn check_limits(limits: &FleetLimits, found: &mut Vec<Found>) {
    let shares = [
        ("held_share", limits.held_share),
        ("account_held_share", limits.account_held_share),
    ];
    for (field, share) in shares {
        if !(share > 0.0 && share <= 1.0) {
            let message = format!("a share of {share}: it must be above 0 and at most 1");
            found.push(Found::new(&["limits", field], message, None));
        }
    }
    if limits.unread_limit_s > UNREAD_LIMIT_MAX_S {
        let message = format!(
            "{} s: it must be at most {UNREAD_LIMIT_MAX_S}, after which the system closes the channel",
            limits.unread_limit_s
        );
        found.push(Found::new(&["limits", "unread_limit_s"], message, None));
    }
    let amounts = [
        ("memory_mb", limits.memory_mb, "MB"),
        ("unread_limit_s", limits.unread_limit_s, "s"),
        ("target_request_mb", limits.target_request_mb, "MB"),
    ];
    for (field, amount, unit) in amounts {
        if !(amount > 0.0 && amount.is_finite()) {
            let message = format!("{amount} {unit}: it must be above 0");
            found.push(Found::new(&["limits", field], message, None));
        }
    }
}

fn check_accounts(accounts: &FleetAccounts, found: &mut Vec<Found>) {
    if let Some(message) = weight_mistake(accounts.default_weight) {
        found.push(Found::new(&["accounts", "default_weight"], message, None));
    }
    let mut names = HashSet::new();
    for (at, account) in accounts.named.iter().enumerate() {
        let mut mistake = |field, message| {
            found.push(Found::in_item(&["accounts", "named"], at, field, message));
        };
        if account.name.is_empty() {
            mistake("name", "an account without a name".into());
        } else if !names.insert(&account.name) {
            mistake("name", format!("`{}` is named twice", account.name));
        }
        if let Some(message) = account.weight.and_then(weight_mistake) {
            mistake("weight", message);
        }
        if let Some(message) = account.cap_share.and_then(cap_mistake) {
            mistake("cap_share", message);
        }
    }
}

/// Why a weight can't be used; none where it can.
fn weight_mistake(weight: f64) -> Option<String> {
    let is_right = weight > 0.0 && weight.is_finite();
    (!is_right).then(|| format!("a weight of {weight}: it must be above 0"))
}

/// Why a cap can't be used; none where it can.
pub(crate) fn cap_mistake(cap_share: f64) -> Option<String> {
    let is_right = cap_share > 0.0 && cap_share <= 1.0;
    (!is_right).then(|| format!("a cap of {cap_share}: it must be above 0 and at most 1"))
}

#[cfg(test)]
#[path = "fleetcheck_tests.rs"]
mod tests;
