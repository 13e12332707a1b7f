//! The settings tree of each partner, the settings file of a box, and their checks.

mod boxfields;
mod boxfile;
mod branch;
mod check;
mod field;
mod fleetcheck;
mod fleetfields;
mod fleetfile;
mod locate;
mod mechanism;
mod resolve;

pub use boxfile::{BoxFile, BoxIdentity, KeySettings, LimitSettings, PlatformSettings};
pub use branch::{
    Account, Branch, Limits, Node, ObjectiveSettings, ServiceSettings, TargetKind, TargetSettings,
};
pub use check::{Mistake, Mistakes, check_box_file, check_branch, parse_box_file, parse_branch};
pub use field::{Field, LineMistake, LiveSettings, Takes, given_paths};
pub use fleetcheck::{check_fleet_file, parse_fleet_file};
pub use fleetfile::{
    FleetAccount, FleetAccounts, FleetFile, FleetIdentity, FleetLimits, FleetPromises,
    FleetStoreSettings, LogLevel,
};
pub use mechanism::Mechanism;
pub use resolve::{
    Resolved, ResolvedAccount, ResolvedModel, ResolvedService, ResolvedTarget, key_sha256,
};
