//! A file for each subcommand.

pub mod box_settings;
pub mod burn;
pub mod check;
pub mod demo;
pub mod explain;
pub mod lines;
pub mod losses;
pub mod relay;
pub mod serve;
pub mod settings;
pub mod shares;
pub mod spread;
pub mod standins;
pub mod targets;
pub mod withheld;

use miette::{IntoDiagnostic, WrapErr};
use serde::de::DeserializeOwned;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;
use tokio::runtime::{Builder, Runtime};

const BOX_ANSWER_LIMIT: Duration = Duration::from_secs(3);

/// Reads a file, or says which could not be read.
fn read_file(path: &Path) -> miette::Result<String> {
    std::fs::read_to_string(path)
        .into_diagnostic()
        .wrap_err_with(|| format!("cannot read {}", path.display()))
}

fn runtime() -> miette::Result<Runtime> {
    Runtime::new()
        .into_diagnostic()
        .wrap_err("cannot start the runtime")
}

/// The runtime of a box. A token passes two tasks on its way; on several threads each token would wake another
/// thread.
fn box_runtime() -> miette::Result<Runtime> {
    Builder::new_multi_thread()
        .worker_threads(1)
        .enable_all()
        .build()
        .into_diagnostic()
        .wrap_err("cannot start the runtime")
}

/// Orders a box something at its operators' address.
async fn order_box(address: SocketAddr, order: &str) -> Result<(), String> {
    let sent = box_client()?
        .post(format!("http://{address}/{order}"))
        .send()
        .await;
    let answer = sent.map_err(|error| error.to_string())?;
    match answer.status().as_u16() {
        404 => Err("it knows nothing of this".into()),
        _ => answer
            .error_for_status()
            .map(drop)
            .map_err(|error| error.to_string()),
    }
}

fn box_client() -> Result<reqwest::Client, String> {
    reqwest::Client::builder()
        .timeout(BOX_ANSWER_LIMIT)
        .no_proxy()
        .build()
        .map_err(|error| error.to_string())
}

/// Asks a box for a JSON page of its operators' address.
async fn ask_box<T: DeserializeOwned>(address: SocketAddr, page: &str) -> Result<T, String> {
    let answer = box_client()?
        .get(format!("http://{address}/{page}"))
        .send()
        .await
        .and_then(reqwest::Response::error_for_status)
        .map_err(|error| error.to_string())?;
    answer.json().await.map_err(|error| error.to_string())
}
