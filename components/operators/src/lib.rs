//! What operators see: metrics, the service-level burn report, targets, members and settings.

mod burn;
mod console;
mod fleet;
mod metrics;
mod page;
mod settings;
mod shares;

pub use burn::{
    AccountBurn, BadReason, BurnRecorder, BurnReport, Objective, Sample, WindowBurn, merge,
};
pub use console::{Console, MemberView, NodeView, TargetView, serve};
pub use fleet::{
    EvacuationView, FleetConsole, FleetTargetView, FleetView, TargetCallsView, TargetPaceView,
    UnreachableView, WithheldView, serve_fleet,
};
pub use metrics::install_metrics;
pub use settings::{FieldView, SettingsView};
pub use shares::{AccountShareView, PoolSharesView, RankShareView};
