//! What operators see of one box of a platform's fleet, at the address of its metrics.

use crate::metrics::{install_metrics, metrics_text};
use crate::settings::SettingsView;
use crate::shares::PoolSharesView;
use prelude::Suspect;
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

/// A service of which one box can connect to no target.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct UnreachableView {
    /// The service's name.
    pub service: String,
    /// For how long, in seconds.
    pub for_s: f64,
}

/// How fast a target makes events, as the box that dispatches its pool sees it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TargetPaceView {
    /// Its own speed; 1 is usual, 2 takes twice as long.
    pub speed: f64,
    /// Time from one event to the next with one stream more.
    pub event_ms: f64,
    /// The same while a prompt is read beside.
    pub beside_ms: f64,
    /// Share of the time in which it is disturbed.
    pub disturbed_share: f64,
    /// How many times longer events take meanwhile.
    pub disturbed_strength: f64,
    /// How long a disturbance lasts.
    pub disturbed_ms: f64,
    /// Mean error of the predicted events, as a share of what was seen.
    pub error_share: f64,
    /// Streams that it has.
    pub streams: u32,
    /// Share of the pool's streams.
    pub streams_share: f64,
    /// Why it is spared; none where it is not.
    pub spared: Option<String>,
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
    /// Whether its last connection from this box was refused.
    #[serde(default)]
    pub refusing: bool,
    /// Requests that this box has open there.
    pub own_open: u32,
    /// Bytes of them.
    #[serde(default)]
    pub own_open_bytes: u64,
    /// What is left of the pause that it asked this box for, in milliseconds; none where it asked for none.
    #[serde(default)]
    pub pause_left_ms: Option<u64>,
    /// Requests a second that it takes from all boxes together, by its own announcement; none where it announces no limit.
    #[serde(default)]
    pub rate_limit_per_s: Option<f64>,
    /// What its plain calls showed; none where there were none.
    #[serde(default)]
    pub calls: Option<TargetCallsView>,
    /// How fast it makes events; only the box that dispatches its pool knows.
    #[serde(default)]
    pub pace: Option<TargetPaceView>,
}

/// What plain calls showed a box of a target.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TargetCallsView {
    /// Its time as a share of the usual one, as this box saw it.
    pub pace_share: f64,
    /// Its time as a share of the usual one right now, by its own or other boxes' word.
    pub slowness_share: f64,
    /// How full it is, as a share of its slots, as far as this box knows.
    pub fullness: f64,
    /// Calls of this box that it is given at once; none where it refused none as full.
    pub limit: Option<f64>,
    /// Whether calls go elsewhere, as two boxes got no answer or were turned away.
    pub spared: bool,
    /// Whether calls rather go to others that have room, as one box did.
    #[serde(default)]
    pub doubted: bool,
    /// Whether this box passes it over, as it failed this box.
    pub passed_over: bool,
    /// Share of failures by route.
    pub failed_by_route: Vec<(String, f64)>,
}

/// A request, or prompts with certain parts, that a box sends to no target, as too many ended under them.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct WithheldView {
    /// Its key, as log lines show it under `request`; of prompts the keys of the parts, joined by `+`.
    pub request: String,
    /// The account that asks; none for prompt parts, where it is declared no more, or nobody has to say who asks.
    pub account: Option<String>,
    /// Targets that ended under it.
    pub targets_ended: usize,
    /// How long it is withheld still, in seconds.
    pub left_s: f64,
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
    /// The era of the platform's store, which rises when that comes back from a copy; none where it tells none.
    #[serde(default)]
    pub store_era: Option<u32>,
    /// Boxes that it knows, itself among them.
    pub boxes: usize,
    /// Whether it follows the platform's store for all.
    pub follows_store: bool,
    /// Open generations.
    pub generations_open: usize,
    /// Requests that are read or answered.
    pub requests_open: usize,
    /// Bytes that it holds for callers and targets that read slowly.
    #[serde(default)]
    pub held_bytes: u64,
    /// How many it may hold.
    #[serde(default)]
    pub held_bytes_most: u64,
    /// Services of which it can connect to no target.
    #[serde(default)]
    pub unreachable: Vec<UnreachableView>,
    /// Requests that are sent to no target.
    #[serde(default)]
    pub withheld: Vec<WithheldView>,
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

    /// Has all boxes send requests with a withheld suspect on again. False where nothing is known of it; none where the box ends.
    fn clear(&self, suspect: Suspect) -> impl Future<Output = Option<bool>> + Send;
}

/// Installs the metrics recorder and serves `/metrics`, `/fleet`, `/settings` and, by POST, `/clear/KEY` at an address.
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
    let clear = warp::post()
        .and(warp::path!("clear" / Suspect))
        .and(with.clone())
        .then(|suspect: Suspect, console: C| async move {
            match console.clear(suspect).await {
                Some(true) => StatusCode::NO_CONTENT,
                Some(false) => StatusCode::NOT_FOUND,
                None => StatusCode::SERVICE_UNAVAILABLE,
            }
        });
    let settings = warp::path!("settings")
        .and(with)
        .map(|console: C| warp::reply::json(&console.settings()));
    let routes = metrics.or(view).or(settings).or(clear);
    tokio::spawn(warp::serve(routes).incoming(listener).run());
    Ok(())
}
