//! How a limit reaches all boxes: whoever has it from the target sends it to the target's coordinator, which sends it to all.

use crate::membership::broadcast::broadcast_gossip;
use crate::membership::gossip::gossip_message;
use crate::state::Relay;
use crate::watch::targets::TargetSlot;
use peers::TargetRate;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::spawn_local;
use tokio::time::sleep;

/// How long limits are collected before they are sent.
const COLLECTED_FOR: Duration = Duration::from_millis(10);
/// How long a box waits that has sent as often as it may.
const WITHHELD_FOR: Duration = Duration::from_millis(250);
/// Longest time for a call.
const CALL_LIMIT: Duration = Duration::from_millis(400);
/// Limits of one message.
const SENT_MAX: usize = 256;

impl Relay {
    /// Has all boxes hear of a target's limit; `is_own` where this box has it from the target itself.
    pub(super) fn broadcast_rate(self: &Rc<Self>, slot: TargetSlot, is_own: bool) {
        let Some(coordinator) = self.rate_coordinator(slot) else {
            return;
        };
        if coordinator != self.id {
            if is_own {
                let relay = self.clone();
                spawn_local(async move { relay.send_rate_to_coordinator(slot).await });
            }
            return;
        }
        self.rate_limits.pending.borrow_mut().insert(slot);
        if !self.rate_limits.sending.replace(true) {
            let relay = self.clone();
            spawn_local(async move { relay.send_pending_rates().await });
        }
    }

    async fn send_rate_to_coordinator(self: &Rc<Self>, slot: TargetSlot) {
        let (Some(coordinator), Some(rate)) = (self.rate_coordinator(slot), self.target_rate(slot))
        else {
            return;
        };
        let mut message = gossip_message(self);
        message.rates = vec![rate];
        let call = self
            .peers
            .call(coordinator, CALL_LIMIT, |client, context| async move {
                client.tell(context, message).await
            });
        self.record_peer_result(coordinator, call.await, "rate limit");
    }

    async fn send_pending_rates(self: &Rc<Self>) {
        sleep(COLLECTED_FOR).await;
        while !self.rate_limits.pending.borrow().is_empty() {
            let boxes = self.members.borrow().peak_box_count();
            let now_ms = self.now_ms();
            let may_send = self.rate_limits.budget.borrow_mut().try_take(boxes, now_ms);
            if !may_send {
                sleep(WITHHELD_FOR).await;
                continue;
            }
            let mut message = gossip_message(self);
            message.rates = self.take_pending_rates();
            broadcast_gossip(self, &message);
        }
        self.rate_limits.sending.set(false);
    }

    fn take_pending_rates(&self) -> Vec<TargetRate> {
        let mut pending = self.rate_limits.pending.borrow_mut();
        let slots: Vec<TargetSlot> = pending.iter().copied().take(SENT_MAX).collect();
        for slot in &slots {
            pending.remove(slot);
        }
        let rates = slots.into_iter().filter_map(|slot| self.target_rate(slot));
        rates.collect()
    }
}
