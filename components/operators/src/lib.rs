//! What operators see: metrics, the service-level burn report, targets, members and settings.

mod burn;
mod console;
mod metrics;
mod page;

pub use burn::{
    AccountBurn, BadReason, BurnRecorder, BurnReport, Objective, Sample, WindowBurn, merge,
};
pub use console::{Console, MemberView, NodeView, TargetView, serve};
pub use metrics::{install_metrics, serve_metrics};
