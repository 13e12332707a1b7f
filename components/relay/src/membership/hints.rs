//! Hints about plain targets, broadcast within a data centre: a box that sees a target become slow or stop answering saves the
//! others the calls by which each would detect it itself.

use crate::membership::broadcast::broadcast_groups;
use crate::state::Relay;
use crate::watch::targets::TargetSlot;
use peers::{HintWord, TargetHint};
use prelude::{BoxId, DataCentreId};
use settings::Mechanism;
use std::rc::Rc;
use std::time::Duration;

/// Timeout of a call, the same as for other calls, so that a box that is merely slow is not suspected.
const CALL_TIMEOUT: Duration = Duration::from_millis(400);

impl Relay {
    /// Sends a hint about a target to the boxes of this data centre, within the rate limit on hints.
    pub(crate) fn broadcast_hint(self: &Rc<Self>, slot: TargetSlot, word: HintWord) {
        let Some(target) = self.id_of(slot) else {
            return;
        };
        if !self.settings().has(Mechanism::CallHints) {
            return;
        }
        let now_ms = self.now_ms();
        let others = self.members.borrow().broadcast_order(now_ms);
        let near: Vec<(BoxId, DataCentreId)> = others
            .into_iter()
            .filter(|(_, data_centre)| *data_centre == self.data_centre)
            .collect();
        let taken = self
            .balance
            .borrow_mut()
            .hints
            .try_take(near.len() + 1, now_ms);
        let outcome = match taken {
            true => "sent",
            false => "withheld",
        };
        metrics::counter!("shuntpier_target_hints", "outcome" => outcome).increment(1);
        if !taken {
            return;
        }
        slog::info!(self.log, "word on a target told"; "target" => self.name_of(slot),
            "word" => ?word, "boxes" => near.len());
        for group in broadcast_groups(&near) {
            let hint = TargetHint {
                from: self.id,
                target,
                word,
                pass_on: Vec::new(),
            };
            tokio::task::spawn_local(send_hint(self.clone(), hint, group));
        }
    }

    /// Applies a hint of another box, and forwards it to the rest of its group.
    pub(crate) fn handle_hint(self: &Rc<Self>, mut hint: TargetHint) {
        let group = std::mem::take(&mut hint.pass_on);
        let slot = self.targets.borrow().slot_of(hint.target);
        if let Some(slot) = slot {
            metrics::counter!("shuntpier_target_hints", "outcome" => "taken").increment(1);
            match hint.word {
                HintWord::Refused => self.check_reported_refusal(slot),
                word => self.apply_hint(slot, hint.from, word),
            }
        }
        for id in group {
            tokio::task::spawn_local(send_hint(self.clone(), hint.clone(), vec![id]));
        }
    }
}

/// Sends a hint to the first box of a group, which forwards it to the rest; on failure to the next box.
async fn send_hint(relay: Rc<Relay>, mut hint: TargetHint, group: Vec<BoxId>) {
    let mut rest = &group[..];
    while let Some((first, others)) = rest.split_first() {
        rest = others;
        hint.pass_on = others.to_vec();
        let (first, hint) = (*first, hint.clone());
        let call = relay
            .peers
            .call(first, CALL_TIMEOUT, |client, context| async move {
                client.hint(context, hint).await
            });
        if relay
            .record_peer_result(first, call.await, "hint")
            .is_some()
        {
            return;
        }
    }
}
