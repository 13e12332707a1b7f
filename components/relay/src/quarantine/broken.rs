//! Runs that broke off, and whether their target ended with them. A target may drop one channel and live on; only one that
//! ends without having said that it leaves is put down to what ran there.

use crate::state::Relay;
use crate::watch::targets::{Target, TargetSlot, TargetState};
use http1::Channel;
use prelude::{RequestKey, TargetEnd, TargetId};
use std::collections::HashMap;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// Longest time for the channel that shows whether a target still listens.
const CHECK_LIMIT: Duration = Duration::from_millis(700);
/// A target that is found to have ended so long after a run broke off there ended with it: one that falls silent is taken
/// off the platform's list after three missed heartbeats.
const ENDED_WITHIN_MS: u64 = 5_000;
/// Runs that are remembered for each target.
const RUNS_MAX: usize = 64;

/// How a run ended early.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RunFailure {
    /// Its channel ended.
    ConnectionClosed,
    /// Nothing came any more.
    Silent,
}

#[derive(Clone, Copy, Debug)]
struct BrokenRun {
    request: RequestKey,
    /// How long it had run.
    ran_ms: u32,
    at_ms: u64,
}

/// What is remembered of one life of a target.
#[derive(Debug, Default)]
struct AtTarget {
    runs: Vec<BrokenRun>,
    /// A channel is being opened to see whether it listens.
    is_checked: bool,
}

/// The runs that broke off lately, by the target's life.
#[derive(Debug, Default)]
pub(crate) struct BrokenRuns(HashMap<TargetId, AtTarget>);

impl BrokenRuns {
    /// Notes a run that broke off. Says whether the target is to be checked.
    fn broke(&mut self, target: TargetId, run: BrokenRun, how: RunFailure) -> bool {
        self.sweep(run.at_ms);
        let at = self.0.entry(target).or_default();
        if at.runs.len() < RUNS_MAX {
            at.runs.push(run);
        }
        how == RunFailure::ConnectionClosed && !std::mem::replace(&mut at.is_checked, true)
    }

    /// Notes that a target still listens: the next run that breaks off there has it checked again.
    fn listens(&mut self, target: TargetId) {
        if let Some(at) = self.0.get_mut(&target) {
            at.is_checked = false;
        }
    }

    /// The end of a target, under each of the requests that ran there.
    fn ended(&mut self, target: TargetId, now_ms: u64) -> Vec<TargetEnd> {
        self.sweep(now_ms);
        let at = self.0.remove(&target).unwrap_or_default();
        let end = |run: &BrokenRun| TargetEnd {
            request: run.request,
            target,
            ran_ms: run.ran_ms,
            age_ms: now_ms.saturating_sub(run.at_ms) as u32,
        };
        at.runs.iter().map(end).collect()
    }

    fn sweep(&mut self, now_ms: u64) {
        for at in self.0.values_mut() {
            at.runs.retain(|run| now_ms < run.at_ms + ENDED_WITHIN_MS);
        }
        self.0.retain(|_, at| !at.runs.is_empty());
    }
}

impl Relay {
    /// Notes that a run broke off at a target, where it had begun at a time, and finds out whether the target has ended.
    pub(crate) fn record_broken_run(
        self: &Rc<Self>,
        request: RequestKey,
        slot: TargetSlot,
        began_ms: u64,
        how: RunFailure,
    ) {
        let now_ms = self.now_ms();
        let (target, address) = {
            let targets = self.targets.borrow();
            // One that leaves ends by plan, whatever still runs there.
            let took_work = |target: &&Target| target.state == TargetState::Ready;
            let Some(target) = targets.get(slot).filter(took_work) else {
                return;
            };
            (target.id, target.entry.address)
        };
        let run = BrokenRun {
            request,
            ran_ms: now_ms.saturating_sub(began_ms) as u32,
            at_ms: now_ms,
        };
        let mut broken = self.broken_runs.borrow_mut();
        if broken.broke(target, run, how) {
            tokio::task::spawn_local(check(self.clone(), slot, target, address));
        }
    }

    /// Notes that a target's life is over, without its having said that it leaves.
    pub(crate) fn record_unannounced_end(self: &Rc<Self>, target: TargetId, name: &str) {
        let now_ms = self.now_ms();
        let ends = self.broken_runs.borrow_mut().ended(target, now_ms);
        self.ended_under(name, &ends);
    }
}

/// Opens a channel to a target at which a run broke off: where nothing listens, it has ended.
async fn check(relay: Rc<Relay>, slot: TargetSlot, target: TargetId, address: SocketAddr) {
    let channel = Channel::connect(address, CHECK_LIMIT).await;
    let error = channel.err();
    let has_ended = error
        .as_ref()
        .is_some_and(|error| error.kind() == ErrorKind::ConnectionRefused);
    let name = relay.name_of(slot);
    slog::info!(relay.log, "target checked after a run broke off"; "target" => &name,
        "ended" => has_ended, "error" => error.map(|error| error.to_string()));
    match has_ended {
        true => relay.record_unannounced_end(target, &name),
        false => relay.broken_runs.borrow_mut().listens(target),
    }
}
