//! Orders to targets, fenced by the revision of the settings that they follow from. One box at a time
//! gives them; two that both believe so do no harm at a target that checks fences. At one that does
//! not, the settings are read again from the service right before, so an old belief is not acted on.

use crate::shared::{Shared, lock};
use crate::spread::spread_target;
use engines::OrderError;
use peers::{StateOfTarget, TargetWord};
use policy::rendezvous_owner;
use prelude::TargetId;
use settings::{ResolvedTarget, TargetKind};
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;
use store::{Etcd, read_branches};

/// How often orders that were not taken are given again.
const RETRY: Duration = Duration::from_secs(2);

/// Gives orders until the box closes.
pub(crate) async fn run_orders(shared: Arc<Shared>, store: Etcd) {
    let mut changes = shared.changes.subscribe();
    let mut given: HashMap<TargetId, (u64, bool)> = HashMap::new();
    loop {
        tokio::select! {
            () = shared.closed.cancelled() => return,
            changed = changes.changed() => if changed.is_err() { return },
            () = tokio::time::sleep(RETRY) => {}
        }
        let settings = shared.settings();
        let engines = settings
            .targets
            .values()
            .filter(|t| t.kind == TargetKind::Engine);
        for target in engines {
            let wanted = (target.revision, target.leave);
            let before = given.get(&target.id).copied();
            // A target that was never told to leave needs no order to serve.
            let same = before.map_or(!target.leave, |(_, leave)| leave == target.leave);
            if same || !is_holder(&shared, target.id) {
                continue;
            }
            if give(&shared, &store, target).await {
                given.insert(target.id, wanted);
            }
        }
    }
}

fn is_holder(shared: &Shared, target: TargetId) -> bool {
    let members = lock(&shared.members).usable(shared.now_ms());
    rendezvous_owner(target.0, members) == Some(shared.card.id)
}

/// Gives one order. True where it, or a later one, was taken.
async fn give(shared: &Arc<Shared>, store: &Etcd, target: &ResolvedTarget) -> bool {
    if !target.checks_fences && !is_newest(store, target.revision).await {
        return false;
    }
    let action = if target.leave { "leave" } else { "serve" };
    let order = shared
        .engines
        .order(target.address, action, target.revision)
        .await;
    match order {
        Ok(()) => {
            slog::info!(shared.log, "an order was taken";
                "target" => &target.name, "action" => action, "fence" => target.revision);
            if target.leave {
                let word = TargetWord {
                    target: lock(&shared.targets).key(target.id),
                    state: StateOfTarget::Leaving,
                };
                spread_target(shared, word);
            }
            true
        }
        Err(OrderError::Fenced) => true,
        Err(error @ OrderError::Failed(_)) => {
            slog::info!(shared.log, "an order was not taken";
                "target" => &target.name, "action" => action, "error" => %error);
            false
        }
    }
}

/// Whether no branch was changed after `revision` as the service sees it now.
async fn is_newest(store: &Etcd, revision: u64) -> bool {
    match read_branches(store).await {
        Ok((branches, _)) => branches.iter().any(|branch| branch.revision == revision),
        Err(_) => false,
    }
}
