//! Requests under which targets end one after another are sent to none: decided by [`policy::Quarantine`], told to all boxes
//! by notices, and to boxes that start by digests.

use crate::shared::{Shared, lock};
use crate::spread::{spread_acquittal, spread_ends};
use prelude::{Refusal, RefusalReason, RequestKey, RunId, TargetEnd, TargetId, TargetKey};
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::timeout;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Longest time for the connection that shows whether a target still listens: what broke off is started elsewhere after it.
const CHECK_LIMIT: Duration = Duration::from_millis(200);

/// A run of a request at one life of a target.
#[derive(Clone, Copy, Debug)]
pub(crate) struct TargetRun {
    pub request: RequestKey,
    pub target: TargetKey,
    pub address: SocketAddr,
    /// When it was sent there.
    pub began_ms: u64,
}

/// A target's name alone does not tell its lives apart.
fn life_id(target: TargetKey) -> TargetId {
    let id = target.id.0.to_le_bytes();
    TargetId(xxh3_64_with_seed(&id, target.incarnation.0))
}

/// The refusal of a request that is withheld; none where it may be sent.
pub(crate) fn withheld(shared: &Shared, request: RequestKey) -> Option<Refusal> {
    let withholds = lock(&shared.quarantine).is_withheld(request, shared.now_ms());
    if withholds {
        slog::info!(shared.log, "request withheld"; "request" => %request);
    }
    // Nobody knows when it may be run: no time to come back is told.
    withholds.then_some(Refusal {
        reason: RefusalReason::Withheld,
        retry_after_ms: None,
    })
}

/// Notes that a request was answered well.
pub(crate) fn served(shared: &Arc<Shared>, request: RequestKey) {
    let acquittal = lock(&shared.quarantine).record_answer(request.into(), shared.now_ms());
    if let Some(acquittal) = acquittal {
        slog::info!(shared.log, "request acquitted by an answer"; "request" => %request);
        spread_acquittal(shared, acquittal);
    }
}

/// Finds out whether a target ended with a run that broke off there, and tells all boxes if it did.
pub(crate) async fn run_broke(shared: &Arc<Shared>, run: TargetRun) {
    if leaves(shared, run.target) || !has_ended(shared, &run).await {
        return;
    }
    let now_ms = shared.now_ms();
    let end = TargetEnd {
        suspect: run.request.into(),
        target: life_id(run.target),
        runs: vec![RunId::of(run.request)],
        ran_ms: now_ms.saturating_sub(run.began_ms) as u32,
        age_ms: 0,
    };
    slog::info!(shared.log, "target ended under a request"; "request" => %run.request,
        "target" => shared.target_name(run.target.id), "ran_ms" => end.ran_ms);
    metrics::counter!("shuntpier_targets_ended_under_requests").increment(1);
    spread_ends(shared, vec![end]);
}

/// Whether a target ends by plan, whatever runs there.
fn leaves(shared: &Shared, target: TargetKey) -> bool {
    let settings = shared.settings();
    let declared = settings
        .targets
        .get(&target.id)
        .is_some_and(|target| target.leave);
    declared || lock(&shared.targets).was_leaving(target)
}

async fn has_ended(shared: &Shared, run: &TargetRun) -> bool {
    if lock(&shared.targets).is_gone(run.target) {
        return true;
    }
    let connected = timeout(CHECK_LIMIT, TcpStream::connect(run.address)).await;
    matches!(connected, Ok(Err(error)) if error.kind() == ErrorKind::ConnectionRefused)
}

/// Takes ends in. Says whether any is news.
pub(crate) fn take_ends(shared: &Shared, ends: &[TargetEnd]) -> bool {
    let now_ms = shared.now_ms();
    let recorded = lock(&shared.quarantine).record_crashes(ends, now_ms);
    for cause in &recorded.new_causes {
        slog::warn!(shared.log, "request to be withheld"; "request" => cause.to_string());
    }
    !recorded.new_crashes.is_empty()
}
