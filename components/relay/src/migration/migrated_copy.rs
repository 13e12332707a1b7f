//! The KV cache copy of a migrating generation, from its transfer until the generation resumes or the copy is freed.

use crate::forwarding::control::send_control_request;
use crate::state::Relay;
use crate::watch::targets::{TargetSlot, TargetState};
use platform::drop_copy_request;
use std::net::SocketAddr;
use std::rc::Rc;

/// A generation that was stopped at its source and can resume from a copy.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct MigratedCopy {
    /// The engine that holds the copy.
    pub target: TargetSlot,
    /// Address of the engine that the generation ran on; it issued the copy's name.
    pub source: SocketAddr,
    pub source_slot: TargetSlot,
    pub copy: Box<str>,
    /// An order to stop the generation has no answer, and may take effect at the source later.
    pub has_open_order: bool,
}

impl MigratedCopy {
    /// Frees the unused copy at its engine.
    pub(crate) fn free(&self, relay: &Rc<Relay>) {
        let address = relay
            .targets
            .borrow()
            .get(self.target)
            .map(|t| t.entry.address);
        if let Some(address) = address {
            free_copy(relay, address, &self.copy);
        }
    }

    /// Frees the unused copy and what the source keeps of the generation.
    pub(crate) fn free_both(&self, relay: &Rc<Relay>) {
        self.free(relay);
        self.free_source(relay);
    }

    /// Frees the state that the source engine keeps of a generation that resumed elsewhere. Skipped where the source is leaving,
    /// since its memory goes with it.
    pub(crate) fn free_source(&self, relay: &Rc<Relay>) {
        let source_stays = relay
            .targets
            .borrow()
            .get(self.source_slot)
            .is_some_and(|t| t.state == TargetState::Ready);
        if source_stays {
            free_copy(relay, self.source, &self.copy);
        }
    }
}

/// Frees an unused copy at the engine that holds it. Otherwise it occupies some thousands of tokens for many seconds without
/// any ledger accounting for them, and generations at that engine are preempted.
pub(super) fn free_copy(relay: &Rc<Relay>, holder: SocketAddr, copy: &str) {
    metrics::counter!("shuntpier_copies_freed").increment(1);
    let (relay, call) = (relay.clone(), drop_copy_request(holder, copy));
    tokio::task::spawn_local(async move {
        // The engine frees an unused copy by itself after a while.
        let _ = send_control_request(&relay, holder, &call).await;
    });
}
