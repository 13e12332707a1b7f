//! Broadcast of rate limits. A box that observes a limit in a target's answer sends it to the target's coordinator, which
//! broadcasts it to all boxes.

use crate::membership::broadcast::{broadcast_gossip, send_gossip};
use crate::membership::clocks::NotBefore;
use crate::membership::gossip::gossip_message;
use crate::state::Relay;
use crate::watch::targets::TargetSlot;
use peers::TargetRate;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::spawn_local;
use tokio::time::sleep;

/// How long limits are collected into one broadcast.
const COLLECTION_DELAY: Duration = Duration::from_millis(10);
/// How long a box waits when its broadcast budget is used up.
const BUDGET_RETRY_DELAY: Duration = Duration::from_millis(250);
/// Most limits in one broadcast.
const RATES_PER_MESSAGE_MAX: usize = 256;

impl Relay {
    /// Sends a target's limit to all boxes by way of its coordinator. `is_from_target` is set if this box observed it in the
    /// target's own answer; a limit reported by a peer is sent only by the coordinator.
    pub(super) fn broadcast_rate(self: &Rc<Self>, slot: TargetSlot, is_from_target: bool) {
        let Some(coordinator) = self.rate_coordinator(slot) else {
            return;
        };
        if coordinator != self.id {
            if is_from_target {
                let relay = self.clone();
                spawn_local(async move { relay.send_rate_to_coordinator(slot).await });
            }
            return;
        }
        self.rate_limits.pending_rates.borrow_mut().insert(slot);
        if !self.rate_limits.is_sending.replace(true) {
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
        let made_at = Some(NotBefore::at(message.digest.clock_ms));
        send_gossip(self, coordinator, message, made_at, "rate limit").await;
    }

    async fn send_pending_rates(self: &Rc<Self>) {
        sleep(COLLECTION_DELAY).await;
        while !self.rate_limits.pending_rates.borrow().is_empty() {
            let boxes = self.members.borrow().peak_box_count();
            let now_ms = self.now_ms();
            let may_send = self
                .rate_limits
                .send_budget
                .borrow_mut()
                .try_take(boxes, now_ms);
            if !may_send {
                sleep(BUDGET_RETRY_DELAY).await;
                continue;
            }
            let mut message = gossip_message(self);
            message.rates = self.take_pending_rates();
            broadcast_gossip(self, &message);
        }
        self.rate_limits.is_sending.set(false);
    }

    fn take_pending_rates(&self) -> Vec<TargetRate> {
        let mut pending = self.rate_limits.pending_rates.borrow_mut();
        let slots: Vec<TargetSlot> = pending
            .iter()
            .copied()
            .take(RATES_PER_MESSAGE_MAX)
            .collect();
        for slot in &slots {
            pending.remove(slot);
        }
        let rates = slots.into_iter().filter_map(|slot| self.target_rate(slot));
        rates.collect()
    }
}
