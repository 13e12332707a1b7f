//! Tells all boxes something at once: in each data centre some boxes are told, and pass it on to the others there, so
//! that little travels between data centres and what one box sends grows with the root of their number.

use crate::state::Relay;
use peers::FleetGossip;
use prelude::{BoxId, DataCentreId};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// Up to so many boxes are told one by one.
const TOLD_DIRECTLY_MAX: usize = 24;
/// A group is at least so large, and larger where there are more groups than that in a data centre.
const GROUP_BOXES_MIN: usize = 12;
/// Longest time for a call.
const CALL_LIMIT: Duration = Duration::from_millis(400);

/// Tells all other boxes.
pub(crate) fn tell_all(relay: &Rc<Relay>, news: &FleetGossip) {
    let others = relay.members.borrow().in_telling_order(relay.now_ms());
    for group in first_told(&others) {
        tokio::task::spawn_local(tell_group(relay.clone(), news.clone(), group));
    }
}

/// Passes news on to the boxes that its sender named.
pub(crate) fn pass_on(relay: &Rc<Relay>, news: &mut FleetGossip) {
    for (id, address) in std::mem::take(&mut news.pass_on) {
        if relay.members.borrow().card(id).is_none() {
            relay.peers.set_address(id, address);
        }
        let (relay, news) = (relay.clone(), news.clone());
        tokio::task::spawn_local(tell_group(relay, news, vec![id]));
    }
}

/// The groups that a box tells news, of which it sends one message each.
pub(crate) fn first_told(others: &[(BoxId, DataCentreId)]) -> Vec<Vec<BoxId>> {
    groups(others)
}

/// The boxes that are told, each first one passing on to the others of its group. Boxes of one data centre follow each
/// other in `others`, those that should pass on first.
pub(crate) fn groups(others: &[(BoxId, DataCentreId)]) -> Vec<Vec<BoxId>> {
    if others.len() <= TOLD_DIRECTLY_MAX {
        return others.iter().map(|(id, _)| vec![*id]).collect();
    }
    let places = others.chunk_by(|a, b| a.1 == b.1);
    places.flat_map(groups_of_place).collect()
}

fn groups_of_place(boxes: &[(BoxId, DataCentreId)]) -> Vec<Vec<BoxId>> {
    let size = boxes.len().isqrt().max(GROUP_BOXES_MIN);
    let count = boxes.len().div_ceil(size);
    let group = |first: usize| boxes.iter().skip(first).step_by(count);
    (0..count)
        .map(|first| group(first).map(|(id, _)| *id).collect())
        .collect()
}

/// Tells the first box of a group, or the next where that one does not answer.
async fn tell_group(relay: Rc<Relay>, mut news: FleetGossip, group: Vec<BoxId>) {
    let mut rest = &group[..];
    while let Some((first, others)) = rest.split_first() {
        rest = others;
        news.pass_on = addressed(&relay, others);
        let (first, news) = (*first, news.clone());
        let call = relay
            .peers
            .call(first, CALL_LIMIT, |client, context| async move {
                client.tell(context, news).await
            });
        if relay.heard_from(first, call.await, "tell").is_some() {
            return;
        }
    }
}

/// Boxes with the addresses that this one knows of them.
fn addressed(relay: &Relay, ids: &[BoxId]) -> Vec<(BoxId, SocketAddr)> {
    let members = relay.members.borrow();
    let address = |id: &BoxId| Some((*id, members.card(*id)?.address));
    ids.iter().filter_map(address).collect()
}

#[cfg(test)]
#[path = "broadcast_tests.rs"]
mod tests;
