//! The settings tree of each partner, the settings file of a box, and their checks.

mod boxfile;
mod branch;
mod check;
mod fleetcheck;
mod fleetfile;
mod locate;
mod mechanism;
mod resolve;

pub use boxfile::{BoxFile, BoxIdentity, KeySettings, LimitSettings, PlatformSettings};
pub use branch::{
    Account, Branch, Limits, Node, ObjectiveSettings, ServiceSettings, TargetKind, TargetSettings,
};
pub use check::{Mistake, Mistakes, check_box_file, check_branch, parse_box_file, parse_branch};
pub use fleetcheck::{check_fleet_file, parse_fleet_file, read_fleet_file};
pub use fleetfile::{FleetFile, FleetIdentity, FleetLimits, FleetPromises, FleetStoreSettings};
pub use mechanism::Mechanism;
pub use resolve::{
    Resolved, ResolvedAccount, ResolvedModel, ResolvedService, ResolvedTarget, key_sha256,
};
