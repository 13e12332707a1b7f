//! Tells all boxes something at once: one box of each data centre is told, and passes it on to the others there by groups, so
//! that little travels between data centres, what the first box sends grows with their number, and what each other one
//! sends with the root of the boxes there.

use crate::state::Relay;
use peers::FleetGossip;
use prelude::{BoxId, DataCentreId};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::spawn_local;
use tokio::time::timeout;

/// Up to so many boxes are told one by one.
const TOLD_DIRECTLY_MAX: usize = 24;
/// A group is at least so large, and larger where there are more groups than that in a data centre.
const GROUP_BOXES_MIN: usize = 12;
/// Longest time for a call.
const CALL_LIMIT: Duration = Duration::from_millis(400);
/// How long a box that passes on is waited for alone: all boxes of a data centre hear through it.
const HEAD_LIMIT: Duration = Duration::from_millis(120);

/// A box with its address: whoever passes news on may not have met it.
type Addressed = (BoxId, SocketAddr);

/// Tells all other boxes.
pub(crate) fn broadcast_gossip(relay: &Rc<Relay>, news: &FleetGossip) {
    let others = relay.members.borrow().broadcast_order(relay.now_ms());
    for group in data_centre_groups(&others) {
        let group = addressed(relay, &group);
        spawn_local(tell_group(relay.clone(), news.clone(), group));
    }
}

/// Passes news on to the boxes that its sender named.
pub(crate) fn forward_gossip(relay: &Rc<Relay>, news: &mut FleetGossip) {
    let named = std::mem::take(&mut news.pass_on);
    for (id, address) in &named {
        if relay.members.borrow().card(*id).is_none() {
            relay.peers.set_address(*id, *address);
        }
    }
    for part in parts(&named) {
        spawn_local(tell_group(relay.clone(), news.clone(), part));
    }
}

/// The groups that a box tells news, of which it sends one message each: the boxes of each data centre.
pub(crate) fn data_centre_groups(others: &[(BoxId, DataCentreId)]) -> Vec<Vec<BoxId>> {
    if others.len() <= TOLD_DIRECTLY_MAX {
        return others.iter().map(|(id, _)| vec![*id]).collect();
    }
    let places = others.chunk_by(|a, b| a.1 == b.1);
    places
        .map(|place| place.iter().map(|(id, _)| *id).collect())
        .collect()
}

/// The boxes that are told, each first one passing on to the others of its group. Boxes of one data centre follow each
/// other in `others`, those that should pass on first.
pub(crate) fn broadcast_groups(others: &[(BoxId, DataCentreId)]) -> Vec<Vec<BoxId>> {
    if others.len() <= TOLD_DIRECTLY_MAX {
        return others.iter().map(|(id, _)| vec![*id]).collect();
    }
    let places = others.chunk_by(|a, b| a.1 == b.1);
    places.flat_map(groups_of_place).collect()
}

fn groups_of_place(boxes: &[(BoxId, DataCentreId)]) -> Vec<Vec<BoxId>> {
    let ids: Vec<BoxId> = boxes.iter().map(|(id, _)| *id).collect();
    in_groups(&ids)
}

/// The groups by which a box passes on: each box by itself where they are few.
fn parts<T: Copy>(boxes: &[T]) -> Vec<Vec<T>> {
    match boxes.len() <= TOLD_DIRECTLY_MAX {
        true => boxes.iter().map(|one| vec![*one]).collect(),
        false => in_groups(boxes),
    }
}

/// Groups of which the first boxes are the first of all.
fn in_groups<T: Copy>(boxes: &[T]) -> Vec<Vec<T>> {
    let size = boxes.len().isqrt().max(GROUP_BOXES_MIN);
    let count = boxes.len().div_ceil(size);
    let group = |first: usize| boxes.iter().skip(first).step_by(count).copied();
    (0..count).map(|first| group(first).collect()).collect()
}

/// Tells the first box of a group; the next one too where that one does not answer, or not soon.
async fn tell_group(relay: Rc<Relay>, mut news: FleetGossip, group: Vec<Addressed>) {
    let mut rest = &group[..];
    while let Some(((first, _), others)) = rest.split_first() {
        rest = others;
        news.pass_on = others.to_vec();
        let told = spawn_local(tell(relay.clone(), *first, news.clone()));
        // One that is slow may still pass it on: being told twice changes nothing.
        if matches!(timeout(HEAD_LIMIT, told).await, Ok(Ok(true))) {
            return;
        }
    }
}

/// Whether a box took what it was told.
async fn tell(relay: Rc<Relay>, id: BoxId, news: FleetGossip) -> bool {
    let call = relay
        .peers
        .call(id, CALL_LIMIT, |client, context| async move {
            client.tell(context, news).await
        });
    relay.heard_from(id, call.await, "tell").is_some()
}

/// Boxes with the addresses that this one knows of them.
fn addressed(relay: &Relay, ids: &[BoxId]) -> Vec<Addressed> {
    let members = relay.members.borrow();
    let address = |id: &BoxId| Some((*id, members.card(*id)?.address));
    ids.iter().filter_map(address).collect()
}

#[cfg(test)]
#[path = "broadcast_tests.rs"]
mod tests;
