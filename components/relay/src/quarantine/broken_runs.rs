//! Interrupted runs, and whether their target crashed. A target may drop one connection and keep running; only the end of a
//! target that did not announce that it leaves counts as a crash, against the requests that ran there, and against the prompt
//! parts of those that had not begun to be answered.

use crate::ingress::request::IncomingRequest;
use crate::state::Relay;
use crate::watch::targets::{Target, TargetSlot, TargetState};
use prelude::{PartKey, RequestKey, RunId, Suspect, TargetEnd, TargetId};
use std::collections::{BTreeMap, HashMap};
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// Timeout of the connection attempt that shows whether a target still listens.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(700);
/// A target whose end is detected within this time after a run was interrupted crashed during that run. The platform removes
/// a silent target from its list after three missed heartbeats.
const CRASH_WINDOW_MS: u64 = 5_000;
/// Interrupted runs kept for each target.
const RUNS_PER_TARGET_MAX: usize = 64;

/// How a run was interrupted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RunFailure {
    /// The target closed the connection.
    ConnectionClosed,
    /// The target stopped sending.
    Silent,
}

/// How far a run had come when it was interrupted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RunProgress {
    /// Its target had not begun to answer it, or had just begun.
    NotBegun,
    /// Its target survived the beginning of the answer.
    Begun,
}

#[derive(Clone, Debug)]
struct BrokenRun {
    request: RequestKey,
    /// The shared parts of the prompt; empty if the target survived the beginning of the answer.
    parts: Box<[PartKey]>,
    /// How long the request had run, in ms.
    ran_ms: u32,
    at_ms: u64,
}

impl BrokenRun {
    fn suspects(&self) -> impl Iterator<Item = Suspect> {
        let parts = self.parts.iter().copied().map(Suspect::Part);
        parts.chain([Suspect::Request(self.request)])
    }
}

/// The interrupted runs of one incarnation of a target.
#[derive(Debug, Default)]
struct TargetRuns {
    runs: Vec<BrokenRun>,
    /// A connection attempt is under way to see whether the target listens.
    is_check_pending: bool,
}

/// The recently interrupted runs, by incarnation of the target.
#[derive(Debug, Default)]
pub(crate) struct BrokenRuns(HashMap<TargetId, TargetRuns>);

impl BrokenRuns {
    /// Records an interrupted run. Returns whether to check if the target still listens.
    fn record(&mut self, target: TargetId, run: BrokenRun, failure: RunFailure) -> bool {
        self.remove_expired(run.at_ms);
        let target_runs = self.0.entry(target).or_default();
        if target_runs.runs.len() < RUNS_PER_TARGET_MAX {
            target_runs.runs.push(run);
        }
        failure == RunFailure::ConnectionClosed
            && !std::mem::replace(&mut target_runs.is_check_pending, true)
    }

    /// Records that a target still listens, so that the next interrupted run triggers another check.
    fn mark_listening(&mut self, target: TargetId) {
        if let Some(target_runs) = self.0.get_mut(&target) {
            target_runs.is_check_pending = false;
        }
    }

    /// Removes a target that crashed; returns one crash for each suspect of the runs that were interrupted there.
    fn take_crashes(&mut self, target: TargetId, now_ms: u64) -> Vec<TargetEnd> {
        self.remove_expired(now_ms);
        let target_runs = self.0.remove(&target).unwrap_or_default();
        let mut crashes: BTreeMap<Suspect, TargetEnd> = BTreeMap::new();
        for run in &target_runs.runs {
            let age_ms = now_ms.saturating_sub(run.at_ms) as u32;
            for suspect in run.suspects() {
                let crash = crashes.entry(suspect).or_insert_with(|| TargetEnd {
                    suspect,
                    target,
                    runs: Vec::new(),
                    ran_ms: run.ran_ms,
                    age_ms,
                });
                crash.runs.push(RunId::of(run.request));
                crash.ran_ms = crash.ran_ms.min(run.ran_ms);
                crash.age_ms = crash.age_ms.max(age_ms);
            }
        }
        crashes.into_values().collect()
    }

    fn remove_expired(&mut self, now_ms: u64) {
        for target_runs in self.0.values_mut() {
            target_runs
                .runs
                .retain(|run| now_ms < run.at_ms + CRASH_WINDOW_MS);
        }
        self.0.retain(|_, target_runs| !target_runs.runs.is_empty());
    }
}

impl Relay {
    /// Records that a run was interrupted at a target, and checks whether the target crashed. `started_ms` is when the run
    /// began.
    pub(crate) fn record_broken_run(
        self: &Rc<Self>,
        incoming: &IncomingRequest,
        slot: TargetSlot,
        started_ms: u64,
        failure: RunFailure,
        progress: RunProgress,
    ) {
        let now_ms = self.now_ms();
        let (target, address) = {
            let targets = self.targets.borrow();
            // A target that leaves ends as planned, whatever still runs there.
            let is_ready = |target: &&Target| target.state == TargetState::Ready;
            let Some(target) = targets.get(slot).filter(is_ready) else {
                return;
            };
            (target.id, target.entry.address)
        };
        let run = BrokenRun {
            request: incoming.key,
            parts: match progress {
                RunProgress::NotBegun => incoming.parts.clone(),
                RunProgress::Begun => Box::default(),
            },
            ran_ms: now_ms.saturating_sub(started_ms) as u32,
            at_ms: now_ms,
        };
        let mut broken_runs = self.broken_runs.borrow_mut();
        if broken_runs.record(target, run, failure) {
            tokio::task::spawn_local(check_target(self.clone(), slot, target, address));
        }
    }

    /// Records that a target ended without announcing that it leaves: a crash during its interrupted runs.
    pub(crate) fn record_unannounced_end(self: &Rc<Self>, target: TargetId, name: &str) {
        let now_ms = self.now_ms();
        let crashes = self.broken_runs.borrow_mut().take_crashes(target, now_ms);
        self.report_crashes(name, &crashes);
    }
}

/// Connects to a target at which a run was interrupted. A refused connection means that it crashed, unless this box's own
/// path is what fails; then the end of its entry in the store decides.
async fn check_target(relay: Rc<Relay>, slot: TargetSlot, target: TargetId, address: SocketAddr) {
    let checked_ms = relay.now_ms();
    let connection = relay.connect_target(address, CONNECT_TIMEOUT).await;
    let error = connection.err();
    if let Some(error) = &error {
        relay.record_connect(slot, Err(error));
    }
    let is_refused = error
        .as_ref()
        .is_some_and(|error| error.kind() == ErrorKind::ConnectionRefused);
    let has_ended = is_refused
        && relay
            .is_path_sound_after(&relay.service_of(slot), checked_ms)
            .await;
    let name = relay.name_of(slot);
    slog::info!(relay.log, "checked whether a target crashed"; "target" => &name,
        "ended" => has_ended, "error" => error.map(|error| error.to_string()));
    match has_ended {
        true => relay.record_unannounced_end(target, &name),
        false => relay.broken_runs.borrow_mut().mark_listening(target),
    }
}
