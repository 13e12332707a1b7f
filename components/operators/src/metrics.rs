//! Prometheus metrics of this process.

use metrics_exporter_prometheus::{BuildError, PrometheusBuilder, PrometheusHandle};
use std::sync::OnceLock;

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

/// The metrics as Prometheus text; empty where no recorder was installed.
pub(crate) fn metrics_text() -> String {
    HANDLE
        .get()
        .map(PrometheusHandle::render)
        .unwrap_or_default()
}
