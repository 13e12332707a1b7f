//! `serve`: one entry box as a plain process.

use crate::cli::ServeOptions;
use crate::cmd::{box_runtime, read_file};
use crate::logs::logger;
use miette::{IntoDiagnostic, WrapErr, miette};
use node::Node;
use reload::Live;
use settings::{BoxFile, parse_box_file};
use std::process::ExitCode;
use std::sync::Arc;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::Notify;

/// Runs the box until it is stopped: by plan at the first SIGTERM or SIGINT, at once at the second.
pub fn run(options: &ServeOptions) -> miette::Result<ExitCode> {
    let name = options.settings.display().to_string();
    let text = read_file(&options.settings)?;
    parse_box_file(&name, &text).map_err(|mistakes| miette::Report::new(*mistakes))?;
    let live = Live::<BoxFile>::read(&text).map_err(|_| miette!("{name} cannot be used"))?;
    let live = Arc::new(live);
    operators::install_metrics()
        .into_diagnostic()
        .wrap_err("cannot start metrics")?;
    let log = logger(options.log_format);
    box_runtime()?.block_on(async move {
        let mut terminate = signal(SignalKind::terminate()).into_diagnostic()?;
        let mut interrupt = signal(SignalKind::interrupt()).into_diagnostic()?;
        let mut hang_up = signal(SignalKind::hangup()).into_diagnostic()?;
        let hung_up = Arc::new(Notify::new());
        let told = hung_up.clone();
        tokio::spawn(async move {
            while hang_up.recv().await.is_some() {
                told.notify_one();
            }
        });
        let (node, addresses) = node::start_live(live.clone(), log.clone())
            .await
            .into_diagnostic()
            .wrap_err("the box cannot start")?;
        println!(
            "callers {} peers {} operators {}",
            addresses.callers, addresses.peers, addresses.operators
        );
        let path = options.settings.clone();
        tokio::spawn(async move { reload::follow(&live, path, text, &hung_up, &log).await });
        next_signal(&mut terminate, &mut interrupt).await;
        Ok(stop(&node, &mut terminate, &mut interrupt).await)
    })
}

async fn next_signal(terminate: &mut Signal, interrupt: &mut Signal) {
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
}

async fn stop(node: &Node, terminate: &mut Signal, interrupt: &mut Signal) -> ExitCode {
    tokio::select! {
        () = node.stop() => ExitCode::SUCCESS,
        () = next_signal(terminate, interrupt) => ExitCode::FAILURE,
    }
}
