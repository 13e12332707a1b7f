//! `standins`: the stand-ins as a process of their own, so that real boxes can be tried with them.

use crate::cli::StandinOptions;
use crate::cmd::{read_file, runtime};
use miette::{IntoDiagnostic, WrapErr};
use serde::Deserialize;
use standins::{BoxEntry, BoxList, EngineSettings, StandinEngine, StandinService, StandinStore};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

/// The settings file of the stand-ins.
#[derive(Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
struct StandinFile {
    engines: Vec<EngineSettings>,
    services: Vec<ServiceEntry>,
    store: Option<SocketAddr>,
    box_list: Option<BoxListEntry>,
    /// Branches that the store holds at its start.
    branches: Vec<PathBuf>,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct ServiceEntry {
    address: SocketAddr,
    #[serde(default)]
    work_ms: u64,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct BoxListEntry {
    address: SocketAddr,
    #[serde(default)]
    lag_ms: u64,
    boxes: Vec<ListedBox>,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct ListedBox {
    id: u32,
    peers_address: SocketAddr,
    data_centre: String,
}

/// Runs the stand-ins until the process is interrupted.
pub fn run(options: &StandinOptions) -> miette::Result<ExitCode> {
    let text = read_file(&options.settings)?;
    let file: StandinFile = serde_saphyr::from_str(&text)
        .into_diagnostic()
        .wrap_err_with(|| format!("{} is wrong", options.settings.display()))?;
    let mut engines = Vec::new();
    for settings in file.engines {
        let engine = StandinEngine::start(settings).into_diagnostic()?;
        println!("engine {}", engine.address());
        engines.push(engine);
    }
    let mut services = Vec::new();
    for entry in file.services {
        let work = Duration::from_millis(entry.work_ms);
        let service = StandinService::start(entry.address, work).into_diagnostic()?;
        println!("service {}", service.address());
        services.push(service);
    }
    let store = file
        .store
        .map(StandinStore::start)
        .transpose()
        .into_diagnostic()?;
    if let Some(store) = &store {
        println!("store {}", store.url());
        for path in &file.branches {
            seed_branch(store, path)?;
        }
    }
    let list = file.box_list.as_ref().map(start_list).transpose()?;
    runtime()?.block_on(async {
        let _ = tokio::signal::ctrl_c().await;
    });
    drop(list);
    Ok(ExitCode::SUCCESS)
}

fn seed_branch(store: &StandinStore, path: &std::path::Path) -> miette::Result<()> {
    let text = read_file(path)?;
    let name = path.display().to_string();
    let branch =
        settings::parse_branch(&name, &text).map_err(|mistakes| miette::Report::new(*mistakes))?;
    store.seed(
        &format!("{}{}", store::SETTINGS_PREFIX, branch.partner),
        text.as_bytes(),
    );
    Ok(())
}

fn start_list(entry: &BoxListEntry) -> miette::Result<BoxList> {
    let list = BoxList::start(entry.address, entry.lag_ms).into_diagnostic()?;
    let boxes = entry.boxes.iter().map(|listed| {
        BoxEntry::entry_box(listed.id, listed.peers_address, &listed.data_centre, "live")
    });
    list.set(boxes.collect());
    println!("box list http://{}", list.address());
    Ok(list)
}
