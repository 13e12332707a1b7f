//! Who holds a role: worked out where it is asked, and kept until a box changes.

use crate::membership::members::{Members, SILENCE_TIMEOUT_MS};
use policy::rendezvous_order;
use prelude::BoxId;
use std::rc::Rc;

/// A link is wide where it has this part of the widest one's bandwidth or more.
const WIDE_LINK_DIVISOR: u64 = 2;

/// The boxes in the order in which they hold a role.
#[derive(Clone, Debug)]
pub(super) struct Ranking {
    order: Rc<[BoxId]>,
    /// When a box is suspected no more, or has been silent for too long.
    valid_until_ms: u64,
}

impl Members {
    /// The boxes in the order in which they hold `role`: whoever holds one tells many others, so those with
    /// wide links come first. Those that stop or do not answer hold none.
    pub(crate) fn ranked(&self, role: u64, leaving: bool, now_ms: u64) -> Rc<[BoxId]> {
        let mut rankings = self.rankings.borrow_mut();
        let known = rankings.get(&(role, leaving));
        if let Some(known) = known.filter(|known| now_ms < known.valid_until_ms) {
            return known.order.clone();
        }
        let ranking = self.rank(role, leaving, now_ms);
        let order = ranking.order.clone();
        rankings.insert((role, leaving), ranking);
        order
    }

    fn rank(&self, role: u64, leaving: bool, now_ms: u64) -> Ranking {
        self.ranking_checks
            .set(self.ranking_checks.get() + self.others.len() as u64);
        let others = self.others.values();
        let others = others.filter(|member| member.is_eligible(now_ms));
        let others = others.map(|member| (member.card.id, member.card.link_mbps));
        let me = (!leaving).then_some((self.own_id, self.own_link_mbps));
        let able: Vec<(BoxId, u32)> = others.chain(me).collect();
        let widest = able.iter().map(|(_, link)| *link).max().unwrap_or_default();
        let (wide, narrow): (Vec<_>, Vec<_>) = able
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

    /// Has who holds roles worked out anew.
    pub(super) fn invalidate_rankings(&mut self) {
        self.rankings.get_mut().clear();
    }
}
