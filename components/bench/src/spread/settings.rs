//! How fast an accepted change is in force on many whole boxes, of which some are dead and still listed.

use crate::stats::Times;
use miette::{IntoDiagnostic, miette};
use operators::Console;
use prelude::unix_ms;
use serde::Serialize;
use standins::EngineSettings;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};
use store::{ApplyOutcome, Etcd, HistoryEntry, apply_branch, read_branches};
use trial::{Trial, TrialPlan};

const LIMIT: Duration = Duration::from_secs(15);
const PAUSE: Duration = Duration::from_millis(300);

/// The figures.
#[derive(Clone, Debug, Serialize)]
pub struct Figures {
    /// Boxes.
    pub boxes: u32,
    /// Dead ones among them.
    pub dead: u32,
    /// Time to be in force on one box.
    pub in_force_p50_ms: f64,
    /// Time to be in force on one box.
    pub in_force_p99_ms: f64,
    /// Time to be in force on all boxes.
    pub everywhere_max_ms: f64,
    /// Boxes that did not have a change in time, summed over changes.
    pub missed: u64,
    /// Watches that the service holds at the end.
    pub watches_begun: u64,
    /// Control bytes of one box for one change.
    pub bytes_per_box_and_change: f64,
    /// Control bytes of one quiet box a second.
    pub quiet_bytes_per_box_s: f64,
}

/// Makes changes on `boxes` boxes, of which `dead` were killed.
pub async fn measure(boxes: u32, dead: u32, changes: u32) -> miette::Result<Figures> {
    let plan = TrialPlan {
        boxes,
        engines: vec![EngineSettings::default()],
        workers: 0,
        ..TrialPlan::default()
    };
    let mut trial = Trial::start(plan).await.into_diagnostic()?;
    for number in 0..dead {
        trial.kill_box((number * (boxes / dead.max(1)) + 1) as usize);
    }
    tokio::time::sleep(Duration::from_secs(2)).await;
    let quiet_bytes_per_box_s = quiet_bytes(&trial).await;
    let store = Etcd::new(&[trial.store.url()]).into_diagnostic()?;
    let mut times = Times::default();
    let mut everywhere_max_ms: f64 = 0.0;
    let mut missed = 0;
    let bytes_before = trial.control_traffic().0;
    let began_changes = Instant::now();
    for number in 0..changes {
        let revision = apply(&trial, &store, number).await?;
        let began = Instant::now();
        let in_force = wait_all(&trial, revision, began).await;
        for time in &in_force {
            times.add_us(time.as_micros() as u64);
            everywhere_max_ms = everywhere_max_ms.max(time.as_secs_f64() * 1000.0);
        }
        missed += trial.boxes.iter().flatten().count() as u64 - in_force.len() as u64;
        tokio::time::sleep(PAUSE).await;
    }
    let live = f64::from(boxes - dead);
    let quiet = quiet_bytes_per_box_s * live * began_changes.elapsed().as_secs_f64();
    let bytes = (trial.control_traffic().0 - bytes_before) as f64 - quiet;
    Ok(Figures {
        boxes,
        dead,
        in_force_p50_ms: times.ms(50.0),
        in_force_p99_ms: times.ms(99.0),
        everywhere_max_ms,
        missed,
        watches_begun: trial.store.faults().watches.load(Ordering::Relaxed),
        bytes_per_box_and_change: bytes / live / f64::from(changes),
        quiet_bytes_per_box_s,
    })
}

async fn quiet_bytes(trial: &Trial) -> f64 {
    let before = trial.control_traffic().0;
    let time = Duration::from_secs(3);
    tokio::time::sleep(time).await;
    let bytes = (trial.control_traffic().0 - before) as f64;
    bytes / time.as_secs_f64() / trial.boxes.iter().flatten().count() as f64
}

async fn apply(trial: &Trial, store: &Etcd, number: u32) -> miette::Result<u64> {
    let (branches, _) = read_branches(store).await.into_diagnostic()?;
    let replaced_revision = branches.first().map_or(0, |branch| branch.revision);
    let mut branch = trial.branch();
    branch.weight = 1.0 + f64::from(number);
    let entry = HistoryEntry {
        id: format!("change-{number:06}"),
        author: "bench".into(),
        at_unix_ms: unix_ms(),
        replaced_revision,
        text: serde_json::to_string_pretty(&branch).into_diagnostic()?,
    };
    let outcome = apply_branch(store, trial.partner(), replaced_revision, &entry).await;
    match outcome.into_diagnostic()? {
        ApplyOutcome::Accepted { revision } => Ok(revision),
        ApplyOutcome::Conflict { .. } => Err(miette!("a change met another")),
    }
}

/// When each box that runs had the revision.
async fn wait_all(trial: &Trial, revision: u64, began: Instant) -> Vec<Duration> {
    let waits = trial.boxes.iter().flatten().map(|running| async move {
        while began.elapsed() < LIMIT {
            let view = running.node.view().await;
            if view.revisions.values().any(|held| *held >= revision) {
                return Some(began.elapsed());
            }
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
        None
    });
    let all = futures::future::join_all(waits).await;
    all.into_iter().flatten().collect()
}
