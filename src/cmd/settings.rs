//! `settings`: shows, compares and changes the branch of a partner, and shows and compares what a running box has.

use crate::cli::{ApplyOptions, DiffOptions, SettingsOptions, ShowOptions, StoreOptions};
use crate::cmd::box_settings as boxed;
use crate::cmd::{ask_box, read_file, runtime};
use miette::{IntoDiagnostic, WrapErr, bail};
use operators::NodeView;
use prelude::unix_ms;
use settings::parse_branch;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::Duration;
use store::{
    ApplyOutcome, BranchText, Etcd, HistoryEntry, apply_branch, read_branches, read_history,
};
use uuid::Uuid;

/// Longest wait of `apply --wait`.
const WAIT_LIMIT: Duration = Duration::from_secs(30);
const WAIT_PAUSE: Duration = Duration::from_millis(100);
/// Exit code where another change came first.
const EXIT_CONFLICT: u8 = 3;
/// Exit code where not all boxes have the change in time.
const EXIT_NOT_EVERYWHERE: u8 = 4;

/// Runs one of the subcommands.
pub fn run(options: &SettingsOptions) -> miette::Result<ExitCode> {
    runtime()?.block_on(async {
        match options {
            SettingsOptions::Show(ShowOptions::Store(store)) => show(store).await,
            SettingsOptions::Show(ShowOptions::Box { address }) => boxed::show(*address).await,
            SettingsOptions::History(store) => history(store).await,
            SettingsOptions::Diff(options) => diff(options).await,
            SettingsOptions::Apply(options) => apply(options).await,
        }
    })
}

fn store_of(options: &StoreOptions) -> miette::Result<Etcd> {
    Etcd::new(std::slice::from_ref(&options.url)).into_diagnostic()
}

async fn branch_in_force(options: &StoreOptions) -> miette::Result<Option<BranchText>> {
    let store = store_of(options)?;
    let (branches, _) = read_branches(&store)
        .await
        .into_diagnostic()
        .wrap_err("cannot read the settings")?;
    Ok(branches
        .into_iter()
        .find(|branch| branch.partner == options.partner))
}

async fn show(options: &StoreOptions) -> miette::Result<ExitCode> {
    match branch_in_force(options).await? {
        None => bail!("partner `{}` has no branch", options.partner),
        Some(branch) => {
            println!("# revision {}", branch.revision);
            print!("{}", branch.text);
            Ok(ExitCode::SUCCESS)
        }
    }
}

async fn history(options: &StoreOptions) -> miette::Result<ExitCode> {
    let store = store_of(options)?;
    let entries = read_history(&store, &options.partner)
        .await
        .into_diagnostic()
        .wrap_err("cannot read the history")?;
    for entry in entries {
        println!(
            "{}  {}  after revision {}  {}  {} lines",
            entry.id,
            entry.at_unix_ms,
            entry.replaced_revision,
            entry.author,
            entry.text.lines().count()
        );
    }
    Ok(ExitCode::SUCCESS)
}

async fn diff(options: &DiffOptions) -> miette::Result<ExitCode> {
    let store = match &options.from {
        ShowOptions::Box { address } => return boxed::diff(*address, &options.file).await,
        ShowOptions::Store(store) => store,
    };
    let new = read_file(&options.file)?;
    let old = branch_in_force(store).await?;
    print_difference(
        old.map(|branch| branch.text).unwrap_or_default().as_str(),
        &new,
    );
    Ok(ExitCode::SUCCESS)
}

/// Prints the lines that one text has and the other has not.
fn print_difference(old: &str, new: &str) {
    let old_lines: HashSet<&str> = old.lines().collect();
    let new_lines: HashSet<&str> = new.lines().collect();
    for line in old.lines().filter(|line| !new_lines.contains(line)) {
        println!("-{line}");
    }
    for line in new.lines().filter(|line| !old_lines.contains(line)) {
        println!("+{line}");
    }
}

async fn apply(options: &ApplyOptions) -> miette::Result<ExitCode> {
    let text = read_file(&options.file)?;
    let name = options.file.display().to_string();
    let branch = parse_branch(&name, &text).map_err(|mistakes| miette::Report::new(*mistakes))?;
    let partner = &options.store.partner;
    if branch.partner != *partner {
        bail!(
            "{name} is the branch of `{}`, not of `{partner}`",
            branch.partner
        );
    }
    let in_force = branch_in_force(&options.store).await?;
    let revision_now = in_force.as_ref().map_or(0, |branch| branch.revision);
    let replaced_revision = options.from.unwrap_or(revision_now);
    let entry = HistoryEntry {
        id: Uuid::now_v7().to_string(),
        author: options.author.clone(),
        at_unix_ms: unix_ms(),
        replaced_revision,
        text: text.clone(),
    };
    let store = store_of(&options.store)?;
    let outcome = apply_branch(&store, partner, replaced_revision, &entry)
        .await
        .into_diagnostic()?;
    match outcome {
        ApplyOutcome::Accepted { revision } => {
            println!("accepted at revision {revision}");
            if options.wait {
                return wait_for(partner, revision, &options.boxes).await;
            }
            Ok(ExitCode::SUCCESS)
        }
        ApplyOutcome::Conflict { current } => {
            let revision = current.as_ref().map_or(0, |branch| branch.revision);
            eprintln!("not accepted: the branch was changed meanwhile, at revision {revision}");
            let current = current.map(|branch| branch.text).unwrap_or_default();
            print_difference(&current, &text);
            Ok(ExitCode::from(EXIT_CONFLICT))
        }
    }
}

/// Waits until every box has the revision in force, and says which have.
async fn wait_for(partner: &str, revision: u64, boxes: &[SocketAddr]) -> miette::Result<ExitCode> {
    let began = std::time::Instant::now();
    let mut waiting: Vec<SocketAddr> = boxes.to_vec();
    while !waiting.is_empty() && began.elapsed() < WAIT_LIMIT {
        let mut still = Vec::new();
        for address in waiting {
            let view = ask_box::<NodeView>(address, "node").await;
            let held = view
                .ok()
                .and_then(|view| view.revisions.get(partner).copied());
            if held.is_some_and(|held| held >= revision) {
                println!(
                    "in force at {address} after {} ms",
                    began.elapsed().as_millis()
                );
            } else {
                still.push(address);
            }
        }
        waiting = still;
        tokio::time::sleep(WAIT_PAUSE).await;
    }
    for address in &waiting {
        println!("not in force at {address}");
    }
    Ok(match waiting.is_empty() {
        true => ExitCode::SUCCESS,
        false => ExitCode::from(EXIT_NOT_EVERYWHERE),
    })
}
