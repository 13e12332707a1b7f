//! Prometheus metrics of this process.

use metrics_exporter_prometheus::{BuildError, PrometheusBuilder, PrometheusHandle};
use std::io;
use std::net::SocketAddr;
use std::sync::OnceLock;
use tokio::net::TcpListener;
use warp::Filter;

static HANDLE: OnceLock<PrometheusHandle> = OnceLock::new();

/// Installs the recorder, once for the process, and returns its handle.
///
/// # Errors
/// Where another recorder was installed before.
pub fn install_metrics() -> Result<PrometheusHandle, BuildError> {
    if let Some(handle) = HANDLE.get() {
        return Ok(handle.clone());
    }
    let handle = PrometheusBuilder::new().install_recorder()?;
    Ok(HANDLE.get_or_init(|| handle).clone())
}

/// Installs the recorder and serves its text at `/metrics` of an address, for a process without a console.
///
/// # Errors
/// The system's, where the address is taken or not ours, or where another recorder is installed.
pub async fn serve_metrics(address: SocketAddr) -> io::Result<()> {
    install_metrics().map_err(io::Error::other)?;
    let listener = TcpListener::bind(address).await?;
    let route = warp::path!("metrics").map(metrics_text);
    tokio::spawn(warp::serve(route).incoming(listener).run());
    Ok(())
}

/// The metrics as Prometheus text; empty where no recorder was installed.
pub(crate) fn metrics_text() -> String {
    HANDLE
        .get()
        .map(PrometheusHandle::render)
        .unwrap_or_default()
}
