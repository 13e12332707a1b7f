//! Chooses the boxes to which this box relays requests while it cannot reach their targets.

use crate::state::Relay;
use prelude::BoxId;
use rand::seq::IteratorRandom;
use std::collections::HashMap;
use std::net::SocketAddr;

/// How long a box that could not help is avoided, in ms.
const AVOIDED_MS: u64 = 1_000;
/// Boxes that are compared for one choice. Comparing a few random ones spreads the load without a view of all.
const COMPARED: usize = 2;

/// What this box knows of one box as a helper.
#[derive(Clone, Copy, Debug, Default)]
struct Helper {
    /// Requests relayed there now.
    open: u32,
    avoided_until_ms: u64,
}

/// The boxes to which this box relays requests.
#[derive(Debug, Default)]
pub(crate) struct RelayPeers(HashMap<BoxId, Helper>);

impl RelayPeers {
    fn is_avoided(&self, id: BoxId, now_ms: u64) -> bool {
        let helper = self.0.get(&id);
        helper.is_some_and(|helper| now_ms < helper.avoided_until_ms)
    }

    fn open_count(&self, id: BoxId) -> u32 {
        self.0.get(&id).map_or(0, |helper| helper.open)
    }

    /// Avoids a box that could not help.
    pub(super) fn avoid(&mut self, id: BoxId, now_ms: u64) {
        self.0.entry(id).or_default().avoided_until_ms = now_ms + AVOIDED_MS;
    }

    pub(super) fn record_open(&mut self, id: BoxId) {
        self.0.entry(id).or_default().open += 1;
    }

    pub(super) fn record_close(&mut self, id: BoxId, now_ms: u64) {
        if let Some(helper) = self.0.get_mut(&id) {
            helper.open = helper.open.saturating_sub(1);
        }
        self.0
            .retain(|_, helper| helper.open > 0 || now_ms < helper.avoided_until_ms);
    }
}

/// A box that is asked to serve a request.
#[derive(Clone, Copy, Debug)]
pub(super) struct ChosenHelper {
    pub(super) id: BoxId,
    pub(super) address: SocketAddr,
    /// It is in the data centre of this box.
    pub(super) is_near: bool,
}

impl Relay {
    /// Whether requests for a service are relayed: this box reaches none of its targets, and other boxes are known.
    pub(crate) fn relays(&self, service: &str) -> bool {
        self.is_service_lost(service) && !self.relay_candidates().is_empty()
    }

    fn relay_candidates(&self) -> Vec<(BoxId, SocketAddr, bool)> {
        let members = self.members.borrow();
        members.relay_candidates(&self.identity.data_centre, self.now_ms())
    }

    /// Chooses a box that was not asked yet: of a few random ones that with the fewest relayed requests, and then the nearest.
    pub(super) fn choose_helper(&self, asked: &[BoxId]) -> Option<ChosenHelper> {
        let now_ms = self.now_ms();
        let peers = self.relay_peers.borrow();
        let candidates = self.relay_candidates().into_iter();
        let usable =
            candidates.filter(|(id, ..)| !asked.contains(id) && !peers.is_avoided(*id, now_ms));
        let compared = usable.choose_multiple(&mut rand::rng(), COMPARED);
        let chosen = compared
            .into_iter()
            .min_by_key(|(id, _, is_near)| (peers.open_count(*id), !is_near));
        chosen.map(|(id, address, is_near)| ChosenHelper {
            id,
            address,
            is_near,
        })
    }
}
