//! Order in which boxes hold a role: computed on demand, and cached until the box list changes.

use crate::membership::members::{Members, SILENCE_TIMEOUT_MS};
use policy::rendezvous_order;
use prelude::BoxId;
use std::rc::Rc;

/// A link counts as wide if it has at least the widest link's bandwidth divided by this.
const WIDE_LINK_DIVISOR: u64 = 2;

/// A cached order of the boxes for one role.
#[derive(Clone, Debug)]
pub(super) struct Ranking {
    order: Rc<[BoxId]>,
    /// When the next suspicion expires, or the next box without a key counts as silent, in ms.
    valid_until_ms: u64,
}

impl Members {
    /// The eligible boxes in order of priority for `role`, without this one if it is `leaving`. Boxes with wide links come first,
    /// since the holder of a role sends to many others. Boxes that are stopping or do not answer hold no role.
    pub(crate) fn ranked(&self, role: u64, leaving: bool, now_ms: u64) -> Rc<[BoxId]> {
        let mut rankings = self.rankings.borrow_mut();
        let cached = rankings.get(&(role, leaving));
        if let Some(cached) = cached.filter(|cached| now_ms < cached.valid_until_ms) {
            return cached.order.clone();
        }
        let ranking = self.rank(role, leaving, now_ms);
        let order = ranking.order.clone();
        rankings.insert((role, leaving), ranking);
        order
    }

    /// Whether this box holds a role at a turn: boxes take turns, in the order of the role.
    pub(crate) fn has_turn(&self, role: u64, turn: u64, leaving: bool, now_ms: u64) -> bool {
        let order = self.ranked(role, leaving, now_ms);
        let at = turn as usize % order.len().max(1);
        order.get(at) == Some(&self.own_id)
    }

    fn rank(&self, role: u64, leaving: bool, now_ms: u64) -> Ranking {
        self.ranking_checks
            .set(self.ranking_checks.get() + self.others.len() as u64);
        let others = self.others.values();
        let others = others.filter(|member| member.is_eligible(now_ms));
        let others = others.map(|member| (member.card.id, member.card.link_mbps));
        let me = (!leaving).then_some((self.own_id, self.own_link_mbps));
        let eligible: Vec<(BoxId, u32)> = others.chain(me).collect();
        let widest = eligible
            .iter()
            .map(|(_, link)| *link)
            .max()
            .unwrap_or_default();
        let (wide, narrow): (Vec<_>, Vec<_>) = eligible
            .into_iter()
            .partition(|(_, link)| u64::from(*link) * WIDE_LINK_DIVISOR >= u64::from(widest));
        let in_order =
            |boxes: Vec<(BoxId, u32)>| rendezvous_order(role, boxes.into_iter().map(|b| b.0));
        let mut order = in_order(wide);
        order.extend(in_order(narrow));
        let expiries = self.others.values().flat_map(|member| {
            let silent_ms = (!member.keyed).then_some(member.last_seen_ms + SILENCE_TIMEOUT_MS);
            [Some(member.suspected_until_ms), silent_ms]
        });
        let expiries = expiries.flatten().filter(|at_ms| *at_ms > now_ms);
        Ranking {
            order: order.into(),
            valid_until_ms: expiries.min().unwrap_or(u64::MAX),
        }
    }

    /// Discards the cached orders.
    pub(super) fn invalidate_rankings(&mut self) {
        self.rankings.get_mut().clear();
    }
}
