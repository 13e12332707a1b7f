//! HTTP towards operators. It shows no key and no prompt.

use crate::burn::BurnReport;
use crate::metrics::metrics_text;
use crate::page::burn_page;
use crate::settings::SettingsView;
use policy::PoolView;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::future::Future;
use tokio::net::TcpListener;
use warp::Filter;

/// A target as one box sees it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TargetView {
    /// Its name.
    pub name: String,
    /// `live`, `leaving` or `gone`.
    pub state: String,
    /// Its life, in Unix milliseconds of its start; 0 where that is not known.
    pub incarnation: u64,
    /// Streams or calls that this box has open there.
    pub own_open: u32,
}

/// A box as another sees it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MemberView {
    /// Its number.
    pub id: u32,
    /// Where its peers reach it.
    pub address: String,
    /// `live`, `leaving` or `suspect`.
    pub state: String,
}

/// A box as it sees itself.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct NodeView {
    /// Its number.
    pub id: u32,
    /// Whether it stops.
    pub leaving: bool,
    /// Open streams.
    pub open_streams: u64,
    /// Bytes exchanged with other boxes so far.
    pub control_bytes: u64,
    /// Revision of each partner's branch that is in force here.
    pub revisions: BTreeMap<String, u64>,
    /// The boxes that it sees.
    pub members: Vec<MemberView>,
    /// The targets that it sees.
    pub targets: Vec<TargetView>,
    /// The pools that it dispatches, by model.
    pub pools: BTreeMap<String, PoolView>,
    /// Names of the targets in the pools.
    pub target_names: BTreeMap<String, String>,
}

/// The box behind the operators' HTTP.
pub trait Console: Clone + Send + Sync + 'static {
    /// The box as it sees itself.
    fn view(&self) -> impl Future<Output = NodeView> + Send;

    /// Its settings in force.
    fn settings(&self) -> SettingsView;

    /// Its burn report.
    fn burn(&self) -> impl Future<Output = BurnReport> + Send;
}

/// Serves operators on `listener` until `stopped` resolves.
pub async fn serve<C: Console>(
    console: C,
    listener: TcpListener,
    stopped: impl Future<Output = ()> + Send + 'static,
) {
    let with = warp::any().map(move || console.clone());
    let metrics = warp::path!("metrics").map(metrics_text);
    let view = warp::path!("node")
        .and(with.clone())
        .then(|console: C| async move { warp::reply::json(&console.view().await) });
    let settings = warp::path!("settings")
        .and(with.clone())
        .map(|console: C| warp::reply::json(&console.settings()));
    let burn = warp::path!("burn")
        .and(with.clone())
        .then(|console: C| async move { warp::reply::json(&console.burn().await) });
    let page = warp::path!("burn.html")
        .and(with)
        .then(|console: C| async move { warp::reply::html(burn_page(&console.burn().await)) });
    let routes = metrics.or(view).or(settings).or(burn).or(page);
    warp::serve(routes)
        .incoming(listener)
        .graceful(stopped)
        .run()
        .await;
}
