//! A generation's copy at another engine, until the generation goes on there or the copy is freed.

use crate::forwarding::control::send_control_request;
use crate::state::Relay;
use crate::watch::targets::{Belief, TargetSlot};
use platform::drop_copy_request;
use std::net::SocketAddr;
use std::rc::Rc;

/// A generation whose copy waits for it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Moved {
    /// The engine that has the copy.
    pub to: TargetSlot,
    /// The engine that it ran on, which names the copy.
    pub source: SocketAddr,
    pub source_slot: TargetSlot,
    pub copy: Box<str>,
}

impl Moved {
    /// Frees the copy, which nobody will use.
    pub(crate) fn free(&self, relay: &Rc<Relay>) {
        let to = relay.targets.borrow().get(self.to).map(|t| t.entry.address);
        if let Some(to) = to {
            free_copy(relay, to, &self.copy);
        }
    }

    /// Frees what its source has kept of a generation that goes on elsewhere, where the source stays.
    pub(crate) fn free_source(&self, relay: &Rc<Relay>) {
        let stays = relay
            .targets
            .borrow()
            .get(self.source_slot)
            .is_some_and(|t| t.belief == Belief::Ready);
        if stays {
            free_copy(relay, self.source, &self.copy);
        }
    }
}

/// Frees a copy that nobody will use, at the engine that holds it. Left alone it keeps some thousands of tokens for many
/// seconds, of which no ledger knows: generations there are preempted.
pub(super) fn free_copy(relay: &Rc<Relay>, holder: SocketAddr, copy: &str) {
    metrics::counter!("shuntpier_copies_freed").increment(1);
    let (relay, call) = (relay.clone(), drop_copy_request(holder, copy));
    tokio::task::spawn_local(async move {
        send_control_request(&relay, holder, &call).await;
    });
}
