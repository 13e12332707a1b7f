//! The settings file of a running box: what is in force, and what another file would change.

use crate::cmd::{ask_box, read_file};
use miette::{Report, miette};
use operators::SettingsView;
use settings::{BoxFile, FleetFile, LiveSettings, check_box_file, check_fleet_file};
use std::net::SocketAddr;
use std::path::Path;
use std::process::ExitCode;

async fn in_force(address: SocketAddr) -> miette::Result<SettingsView> {
    let view = ask_box::<SettingsView>(address, "settings").await;
    view.map_err(|error| miette!("box at {address}: {error}"))
}

/// Prints the settings in force at a box.
pub async fn show(address: SocketAddr) -> miette::Result<ExitCode> {
    let view = in_force(address).await?;
    println!(
        "# generation {}, in force since {} (Unix ms)",
        view.generation, view.since_unix_ms
    );
    for field in &view.fields {
        let from = if field.from_file { "file" } else { "default" };
        let takes = field.takes.as_str();
        println!("{:28} {takes:18} {from:8} {}", field.path, field.value);
    }
    for path in &view.waiting {
        println!("# waits for a restart: {path}");
    }
    Ok(ExitCode::SUCCESS)
}

/// Prints what a file would change at a box, and how each change would be taken over.
pub async fn diff(address: SocketAddr, path: &Path) -> miette::Result<ExitCode> {
    let view = in_force(address).await?;
    let text = read_file(path)?;
    let name = path.display().to_string();
    let is_of_fleet = view.fields.iter().any(|field| field.path == "box.name");
    let changed = match is_of_fleet {
        true => {
            let refused = || check_fleet_file(&name, &text).map(|all| Report::new(*all));
            view.changed_by(&read::<FleetFile>(&text, refused)?)
        }
        false => {
            let refused = || check_box_file(&name, &text).map(|all| Report::new(*all));
            view.changed_by(&read::<BoxFile>(&text, refused)?)
        }
    };
    if changed.is_empty() {
        println!("nothing would change (generation {})", view.generation);
    }
    for (field, told) in changed {
        let takes = field.takes.as_str();
        println!("{:28} {takes:18} {} -> {told}", field.path, field.value);
    }
    Ok(ExitCode::SUCCESS)
}

fn read<T: LiveSettings>(
    text: &str,
    all_mistakes: impl FnOnce() -> Option<Report>,
) -> miette::Result<T> {
    T::read(text).map_err(|mistakes| {
        let report = all_mistakes();
        report.unwrap_or_else(|| miette!("the file cannot be used: {mistakes:?}"))
    })
}
