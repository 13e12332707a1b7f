//! Broadcast of gossip to all boxes: the sender sends to one box of each data centre, which forwards to the others there in
//! groups. This keeps traffic between data centres low: the sender's messages grow with the number of data centres, and those of
//! any other box with the square root of the boxes in its data centre.

use crate::membership::clocks::NotBefore;
use crate::membership::gossip::gossip_message;
use crate::state::Relay;
use peers::FleetGossip;
use prelude::{BoxId, DataCentreId};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::spawn_local;
use tokio::time::timeout;

/// Up to this many boxes, each is sent to directly.
const DIRECT_SENDS_MAX: usize = 24;
/// Smallest size of a group. In a large data centre, groups have the square root of the number of its boxes.
const GROUP_SIZE_MIN: usize = 12;
/// Timeout of a call.
const CALL_TIMEOUT: Duration = Duration::from_millis(400);
/// How long a sender waits for the head of a group before it also sends to the next box: the whole group depends on the head.
const HEAD_TIMEOUT: Duration = Duration::from_millis(120);

/// A box with its address, since the forwarding box may not have met it.
type Addressed = (BoxId, SocketAddr);

/// Sends gossip to all other boxes.
pub(crate) fn broadcast_gossip(relay: &Rc<Relay>, gossip: &FleetGossip) {
    let others = relay.members.borrow().broadcast_order(relay.now_ms());
    let made_at = Some(NotBefore::at(gossip.digest.clock_ms));
    for group in data_centre_groups(&others) {
        let group = addressed(relay, &group);
        spawn_local(send_to_group(relay.clone(), gossip.clone(), made_at, group));
    }
}

/// Forwards gossip to the boxes that its sender listed in `pass_on`. `made_at` is when its digest was made.
pub(crate) fn forward_gossip(
    relay: &Rc<Relay>,
    gossip: &mut FleetGossip,
    made_at: Option<NotBefore>,
) {
    let recipients = std::mem::take(&mut gossip.pass_on);
    for (id, address) in &recipients {
        if relay.members.borrow().card(*id).is_none() {
            relay.peers.set_address(*id, *address);
        }
    }
    for group in forward_groups(&recipients) {
        spawn_local(send_to_group(relay.clone(), gossip.clone(), made_at, group));
    }
}

/// The groups of a broadcast, to each of which the sender sends one message: the boxes of each data centre, or single boxes in a
/// small fleet. `others` is sorted by data centre.
pub(crate) fn data_centre_groups(others: &[(BoxId, DataCentreId)]) -> Vec<Vec<BoxId>> {
    if others.len() <= DIRECT_SENDS_MAX {
        return others.iter().map(|(id, _)| vec![*id]).collect();
    }
    let data_centres = others.chunk_by(|a, b| a.1 == b.1);
    data_centres
        .map(|boxes| boxes.iter().map(|(id, _)| *id).collect())
        .collect()
}

/// The groups of a broadcast that is forwarded only once: the first box of each group forwards to the rest of it. `others` is
/// sorted by data centre, and in each by preference for forwarding.
pub(crate) fn broadcast_groups(others: &[(BoxId, DataCentreId)]) -> Vec<Vec<BoxId>> {
    if others.len() <= DIRECT_SENDS_MAX {
        return others.iter().map(|(id, _)| vec![*id]).collect();
    }
    let data_centres = others.chunk_by(|a, b| a.1 == b.1);
    data_centres.flat_map(groups_in_data_centre).collect()
}

fn groups_in_data_centre(boxes: &[(BoxId, DataCentreId)]) -> Vec<Vec<BoxId>> {
    let ids: Vec<BoxId> = boxes.iter().map(|(id, _)| *id).collect();
    divide_into_groups(&ids)
}

/// The groups to which a box forwards: single boxes if they are few.
fn forward_groups<T: Copy>(boxes: &[T]) -> Vec<Vec<T>> {
    match boxes.len() <= DIRECT_SENDS_MAX {
        true => boxes.iter().map(|one| vec![*one]).collect(),
        false => divide_into_groups(boxes),
    }
}

/// Divides boxes into groups of about the square root of their number. The heads of the groups are the first of `boxes`.
fn divide_into_groups<T: Copy>(boxes: &[T]) -> Vec<Vec<T>> {
    let size = boxes.len().isqrt().max(GROUP_SIZE_MIN);
    let count = boxes.len().div_ceil(size);
    let group = |first: usize| boxes.iter().skip(first).step_by(count).copied();
    (0..count).map(|first| group(first).collect()).collect()
}

/// Sends gossip to the first box of a group; on failure or after `HEAD_TIMEOUT` also to the next one.
async fn send_to_group(
    relay: Rc<Relay>,
    mut gossip: FleetGossip,
    made_at: Option<NotBefore>,
    group: Vec<Addressed>,
) {
    let mut rest = &group[..];
    while let Some(((first, _), others)) = rest.split_first() {
        rest = others;
        gossip.pass_on = others.to_vec();
        let sent = spawn_local(send(relay.clone(), *first, gossip.clone(), made_at));
        // A slow box may still forward it. Receiving gossip twice is harmless.
        if matches!(timeout(HEAD_TIMEOUT, sent).await, Ok(Ok(true))) {
            return;
        }
    }
}

/// Sends gossip to a box; true if it answered. The ages in a message to a box whose clock is not known are unknown to it, so a
/// second message follows once it has answered.
async fn send(
    relay: Rc<Relay>,
    id: BoxId,
    gossip: FleetGossip,
    made_at: Option<NotBefore>,
) -> bool {
    let is_dated = send_gossip(&relay, id, gossip, made_at, "tell").await;
    if is_dated == Some(false) {
        spawn_local(async move {
            let gossip = gossip_message(&relay);
            let made_at = Some(NotBefore::at(gossip.digest.clock_ms));
            send_gossip(&relay, id, gossip, made_at, "follow-up").await;
        });
    }
    is_dated.is_some()
}

/// Sends gossip to a box whose digest was made at `made_at`. Returns whether its time could be expressed on the box's clock; none
/// if the box did not answer.
pub(crate) async fn send_gossip(
    relay: &Rc<Relay>,
    id: BoxId,
    mut gossip: FleetGossip,
    made_at: Option<NotBefore>,
    call: &'static str,
) -> Option<bool> {
    let now_ms = relay.now_ms();
    let on_its_clock = made_at.and_then(|made_at| {
        let clocks = relay.peer_clocks.borrow();
        clocks.on_clock_of(id, made_at, now_ms)
    });
    gossip.digest.made_at = on_its_clock;
    let answered = relay
        .peers
        .call(id, CALL_TIMEOUT, |client, context| async move {
            client.tell(context, gossip).await
        });
    let reading = relay.record_peer_result(id, answered.await, call)?;
    let now_ms = relay.now_ms();
    relay.peer_clocks.borrow_mut().record(id, reading, now_ms);
    Some(on_its_clock.is_some())
}

/// The boxes whose address this one knows, with that address.
fn addressed(relay: &Relay, ids: &[BoxId]) -> Vec<Addressed> {
    let members = relay.members.borrow();
    let address = |id: &BoxId| Some((*id, members.card(*id)?.address));
    ids.iter().filter_map(address).collect()
}

#[cfg(test)]
#[path = "broadcast_tests.rs"]
mod tests;
