//! What operators see of one box of a platform's fleet, at the address of its metrics.

use crate::metrics::{install_metrics, metrics_text};
use crate::settings::SettingsView;
use crate::shares::PoolSharesView;
use serde::{Deserialize, Serialize};
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use tokio::net::TcpListener;
use warp::Filter;
use warp::http::StatusCode;

/// An evacuated data centre as one box sees it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EvacuationView {
    /// Its name.
    pub data_centre: String,
    /// For how long this box has known, in seconds.
    pub for_s: f64,
    /// Requests that this box still has open there.
    pub open: u32,
}

/// A target as one box of a fleet sees it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct FleetTargetView {
    /// Its name, of this life.
    pub name: String,
    /// The service that it works for.
    pub service: String,
    /// Where it stands.
    pub data_centre: String,
    /// Where it listens.
    pub address: String,
    /// `ready`, `evacuated`, `leaving` or `gone`.
    pub state: String,
    /// Whether it is slow from its start.
    pub cold: bool,
    /// Requests that this box has open there.
    pub own_open: u32,
}

/// A box of a fleet as it sees itself.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct FleetView {
    /// Its name.
    pub name: String,
    /// Where it stands.
    pub data_centre: String,
    /// Whether it takes new channels.
    pub ready: bool,
    /// Whether it stops.
    pub stopping: bool,
    /// Version of the declarations in force; 0 for none.
    pub declarations: u64,
    /// Boxes that it knows, itself among them.
    pub boxes: usize,
    /// Whether it follows the platform's store for all.
    pub follows_store: bool,
    /// Open generations.
    pub generations_open: usize,
    /// Requests that are read or answered.
    pub requests_open: usize,
    /// Evacuated data centres.
    pub evacuations: Vec<EvacuationView>,
    /// The targets that it knows.
    pub targets: Vec<FleetTargetView>,
    /// The pools that it dispatches, with the shares of client accounts.
    #[serde(default)]
    pub shares: Vec<PoolSharesView>,
}

/// The box behind the operators' pages.
pub trait FleetConsole: Clone + Send + Sync + 'static {
    /// The box as it sees itself; none where it ends.
    fn view(&self) -> impl Future<Output = Option<FleetView>> + Send;

    /// Its settings in force.
    fn settings(&self) -> SettingsView;
}

/// Installs the metrics recorder and serves `/metrics`, `/fleet` and `/settings` at an address.
///
/// # Errors
/// The system's, where the address is taken or not ours, or where another recorder is installed.
pub async fn serve_fleet<C: FleetConsole>(address: SocketAddr, console: C) -> io::Result<()> {
    install_metrics().map_err(io::Error::other)?;
    let listener = TcpListener::bind(address).await?;
    let with = warp::any().map(move || console.clone());
    let metrics = warp::path!("metrics").map(metrics_text);
    let view = warp::path!("fleet")
        .and(with.clone())
        .then(|console: C| async move {
            let view = console.view().await;
            let status = match view {
                Some(_) => StatusCode::OK,
                None => StatusCode::SERVICE_UNAVAILABLE,
            };
            warp::reply::with_status(warp::reply::json(&view), status)
        });
    let settings = warp::path!("settings")
        .and(with)
        .map(|console: C| warp::reply::json(&console.settings()));
    let routes = metrics.or(view).or(settings);
    tokio::spawn(warp::serve(routes).incoming(listener).run());
    Ok(())
}
