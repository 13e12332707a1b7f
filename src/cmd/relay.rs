//! `relay`: one box of a platform's fleet.

use crate::cli::RelayOptions;
use crate::cmd::read_file;
use miette::{IntoDiagnostic, WrapErr, miette};
use relay::Running;
use settings::{check_fleet_file, read_fleet_file};
use slog::Logger;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use tokio::runtime::Builder;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::task::LocalSet;

/// The settings file: as named on the command line, or where the platform laid it.
fn settings_path(options: &RelayOptions) -> miette::Result<PathBuf> {
    let told = options.settings.clone();
    let laid = std::env::var_os(platform::SETTINGS_FILE_VARIABLE).map(PathBuf::from);
    told.or(laid)
        .ok_or_else(|| miette!("name the settings file by --settings FILE"))
}

/// Runs the box until it is stopped: by plan at the first SIGTERM or SIGINT, at once at the second.
pub fn run(options: &RelayOptions) -> miette::Result<ExitCode> {
    let path = settings_path(options)?;
    let name = path.display().to_string();
    let text = read_file(&path)?;
    let Ok(file) = read_fleet_file(&text) else {
        let mistakes = check_fleet_file(&name, &text);
        return Err(mistakes.map_or_else(
            || miette!("{name} cannot be used"),
            |mistakes| miette::Report::new(*mistakes),
        ));
    };
    let log = logs::to_output();
    let runtime = Builder::new_current_thread()
        .enable_all()
        .build()
        .into_diagnostic()
        .wrap_err("cannot start the runtime")?;
    LocalSet::new().block_on(&runtime, async move {
        let mut signals = Signals::new()?;
        if let Some(address) = file.identity.metrics_address {
            serve_metrics(address, &log).await;
        }
        let running = relay::start(file, log)
            .await
            .into_diagnostic()
            .wrap_err("the box cannot start")?;
        signals.stop(&running).await;
        tokio::select! {
            () = running.stop() => Ok(ExitCode::SUCCESS),
            () = signals.stop(&running) => Ok(ExitCode::FAILURE),
        }
    })
}

/// Serves counters; a box without them still serves callers.
async fn serve_metrics(address: SocketAddr, log: &Logger) {
    if let Err(error) = operators::serve_metrics(address).await {
        slog::warn!(log, "metrics are not served"; "address" => %address, "error" => %error);
    }
}

struct Signals {
    terminate: Signal,
    interrupt: Signal,
    reload: Signal,
}

impl Signals {
    fn new() -> miette::Result<Self> {
        Ok(Self {
            terminate: signal(SignalKind::terminate()).into_diagnostic()?,
            interrupt: signal(SignalKind::interrupt()).into_diagnostic()?,
            reload: signal(SignalKind::hangup()).into_diagnostic()?,
        })
    }

    /// Waits for the next order to stop.
    async fn stop(&mut self, running: &Running) {
        loop {
            tokio::select! {
                _ = self.terminate.recv() => return,
                _ = self.interrupt.recv() => return,
                _ = self.reload.recv() => running.reload(),
            }
        }
    }
}
