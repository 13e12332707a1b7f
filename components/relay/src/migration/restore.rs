//! A generation whose engine failed goes on from the running copy that another engine keeps. First the failed engine is
//! made to stop, where it still answers: one generation never runs twice.

use crate::dispatch::permits::Permit;
use crate::forwarding::control::control;
use crate::migration::mover::Moved;
use crate::state::Relay;
use crate::watch::targets::TargetSlot;
use platform::{CopyReply, copy_call, read_copy_reply};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::timeout;

/// How long a failed engine may take to say whether the generation still runs there. Its caller sees a pause meanwhile;
/// an engine that crashed refuses at once, one behind a cut says nothing.
const STOP_LIMIT: Duration = Duration::from_millis(500);

/// From where a generation goes on.
pub(crate) enum Restored {
    /// From the running copy at that engine.
    Copy {
        /// The engine.
        holder: TargetSlot,
        /// Where it listens, which names the copy.
        address: SocketAddr,
    },
    /// The engine still had it, and handed it over as in a move.
    Moved(Moved),
}

/// Finds out from where a generation goes on whose engine failed; none where nothing keeps a copy, or where it may still
/// run.
pub(crate) async fn restore(relay: &Rc<Relay>, permit: &Permit, id: &str) -> Option<Restored> {
    let holder = permit.backup?;
    let (holder, address) = {
        let targets = relay.targets.borrow();
        let slot = targets.slot_of(holder)?;
        let target = targets.get(slot).filter(|t| targets.takes_work(t))?;
        (slot, target.entry.address)
    };
    let source = permit.slot;
    let source_address = relay
        .targets
        .borrow()
        .get(source)
        .map(|t| t.entry.address)?;
    let call = copy_call(source_address, id, address, true);
    let stopped = timeout(STOP_LIMIT, control(relay, source_address, &call)).await;
    let reply = match stopped {
        Ok(Some((status, body))) => read_copy_reply(status, &body),
        // It is dead, or cannot be reached.
        Ok(None) | Err(_) => CopyReply::NotRunning,
    };
    slog::info!(relay.log, "failed engine asked to stop a generation"; "id" => id,
        "engine" => relay.name_of(source), "copy_at" => relay.name_of(holder), "word" => ?reply);
    let moved = |to, copy| {
        Restored::Moved(Moved {
            to,
            source: source_address,
            source_slot: source,
            copy,
        })
    };
    match reply {
        CopyReply::NotRunning => Some(Restored::Copy { holder, address }),
        CopyReply::Done { copy, .. } => Some(moved(holder, copy)),
        CopyReply::NoRoom { kept: Some(copy) } => Some(moved(source, copy)),
        CopyReply::NoRoom { kept: None } | CopyReply::UnderWay | CopyReply::Unknown { .. } => None,
    }
}
