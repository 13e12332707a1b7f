//! Words on plain targets that boxes of one data centre tell each other at once: one that sees a target turn slow or not
//! answer spares the others the calls by which each would find out for itself.

use crate::membership::broadcast::groups;
use crate::state::Relay;
use crate::watch::targets::TargetSlot;
use peers::{HintWord, TargetHint};
use prelude::{BoxId, DataCentreId};
use settings::Mechanism;
use std::rc::Rc;
use std::time::Duration;

/// Longest time for a call, as for other calls: a box that is only slow is not doubted.
const CALL_LIMIT: Duration = Duration::from_millis(400);

impl Relay {
    /// Tells the boxes of this data centre, within what a box may tell.
    pub(crate) fn tell_hint(self: &Rc<Self>, slot: TargetSlot, word: HintWord) {
        let Some(target) = self.id_of(slot) else {
            return;
        };
        if !self.file().has(Mechanism::CallHints) {
            return;
        }
        let now_ms = self.now_ms();
        let others = self.members.borrow().in_telling_order(now_ms);
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
        for group in groups(&near) {
            let hint = TargetHint {
                from: self.id,
                target,
                word,
                pass_on: Vec::new(),
            };
            tokio::task::spawn_local(hint_group(self.clone(), hint, group));
        }
    }

    /// Takes a word of another box in, and passes it on.
    pub(crate) fn on_hint(self: &Rc<Self>, mut hint: TargetHint) {
        let group = std::mem::take(&mut hint.pass_on);
        let slot = self.targets.borrow().slot_of(hint.target);
        if let Some(slot) = slot {
            metrics::counter!("shuntpier_target_hints", "outcome" => "taken").increment(1);
            self.apply_hint(slot, hint.from, hint.word);
        }
        for id in group {
            tokio::task::spawn_local(hint_group(self.clone(), hint.clone(), vec![id]));
        }
    }
}

/// Tells the first box of a group, or the next where that one does not answer.
async fn hint_group(relay: Rc<Relay>, mut hint: TargetHint, group: Vec<BoxId>) {
    let mut rest = &group[..];
    while let Some((first, others)) = rest.split_first() {
        rest = others;
        hint.pass_on = others.to_vec();
        let (first, hint) = (*first, hint.clone());
        let call = relay
            .peers
            .call(first, CALL_LIMIT, |client, context| async move {
                client.hint(context, hint).await
            });
        if relay.heard_from(first, call.await, "hint").is_some() {
            return;
        }
    }
}
