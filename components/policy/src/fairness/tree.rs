//! Fair shares for work of unknown length: virtual token counters (Sheng et al., "Fairness in Serving
//! Large Language Models", OSDI 2024) in a tree of partner, owner and account. Prompt tokens are
//! charged when a request is granted, generated tokens as they come.

use prelude::{AccountId, OwnerId, PartnerId};
use std::collections::HashMap;
use std::hash::Hash;

/// Charge for one prompt token.
const PROMPT_CHARGE: f64 = 1.0;
/// Charge for one generated token.
const OUTPUT_CHARGE: f64 = 2.0;

/// Who is charged, and with which weights.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Share {
    /// The partner.
    pub partner: PartnerId,
    /// The owner.
    pub owner: OwnerId,
    /// The account.
    pub account: AccountId,
    /// The partner's weight.
    pub partner_weight: f64,
    /// The owner's weight.
    pub owner_weight: f64,
    /// The account's weight.
    pub account_weight: f64,
}

/// Charged service of the children of one node, each divided by its weight, and how many requests of
/// each wait.
#[derive(Clone, Debug)]
struct Level<K> {
    children: HashMap<K, Child>,
}

#[derive(Clone, Copy, Debug, Default)]
struct Child {
    service: f64,
    waiting: u32,
    running: u32,
}

impl<K> Default for Level<K> {
    fn default() -> Self {
        Self {
            children: HashMap::new(),
        }
    }
}

impl<K: Copy + Eq + Hash> Level<K> {
    /// A child that comes back from idleness starts level with the least served active one: what it
    /// did not use is not saved up.
    fn lift(&mut self, key: K) {
        let least = self
            .children
            .iter()
            .filter(|(other, child)| **other != key && child.waiting + child.running > 0)
            .map(|(_, child)| child.service)
            .fold(f64::INFINITY, f64::min);
        let child = self.children.entry(key).or_default();
        if child.waiting + child.running == 0 && least.is_finite() {
            child.service = child.service.max(least);
        }
    }

    fn child(&mut self, key: K) -> &mut Child {
        self.children.entry(key).or_default()
    }

    fn service(&self, key: K) -> f64 {
        self.children.get(&key).map_or(0.0, |child| child.service)
    }
}

/// The tree of counters.
#[derive(Clone, Debug, Default)]
pub struct FairTree {
    partners: Level<PartnerId>,
    owners: Level<(PartnerId, OwnerId)>,
    accounts: Level<(OwnerId, AccountId)>,
}

impl FairTree {
    /// Notes that a request waits.
    pub fn waits(&mut self, share: &Share) {
        self.lift(share);
        self.each(share, |child| child.waiting += 1);
    }

    /// Notes that a waiting request waits no more, without being run.
    pub fn leaves(&mut self, share: &Share) {
        self.each(share, |child| {
            child.waiting = child.waiting.saturating_sub(1)
        });
    }

    /// Notes that a request runs that did not wait here.
    pub fn runs(&mut self, share: &Share) {
        self.lift(share);
        self.each(share, |child| child.running += 1);
    }

    /// Notes that a running request ended.
    pub fn ends(&mut self, share: &Share) {
        self.each(share, |child| {
            child.running = child.running.saturating_sub(1)
        });
    }

    /// Charges prompt tokens.
    pub fn charge_prompt(&mut self, share: &Share, tokens: u32) {
        self.charge(share, f64::from(tokens) * PROMPT_CHARGE);
    }

    /// Charges generated tokens.
    pub fn charge_output(&mut self, share: &Share, tokens: u32) {
        self.charge(share, f64::from(tokens) * OUTPUT_CHARGE);
    }

    /// Orders shares: the least served partner first, then owner, then account.
    pub fn rank(&self, share: &Share) -> [f64; 3] {
        [
            self.partners.service(share.partner),
            self.owners.service((share.partner, share.owner)),
            self.accounts.service((share.owner, share.account)),
        ]
    }

    fn lift(&mut self, share: &Share) {
        self.partners.lift(share.partner);
        self.owners.lift((share.partner, share.owner));
        self.accounts.lift((share.owner, share.account));
    }

    fn each(&mut self, share: &Share, change: impl Fn(&mut Child)) {
        change(self.partners.child(share.partner));
        change(self.owners.child((share.partner, share.owner)));
        change(self.accounts.child((share.owner, share.account)));
    }

    fn charge(&mut self, share: &Share, tokens: f64) {
        let by_weight = |weight: f64| tokens / weight.max(f64::MIN_POSITIVE);
        self.partners.child(share.partner).service += by_weight(share.partner_weight);
        let owner = self.owners.child((share.partner, share.owner));
        owner.service += by_weight(share.owner_weight);
        let account = self.accounts.child((share.owner, share.account));
        account.service += by_weight(share.account_weight);
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn share(owner: u64, weight: f64) -> Share {
        Share {
            partner: PartnerId(1),
            owner: OwnerId(owner),
            account: AccountId(owner),
            partner_weight: 1.0,
            owner_weight: weight,
            account_weight: 1.0,
        }
    }

    #[test]
    fn serves_by_weight() {
        let mut tree = FairTree::default();
        let shares = [share(1, 1.0), share(2, 3.0)];
        shares.iter().for_each(|share| tree.waits(share));
        let mut served = [0u32; 2];
        for _ in 0..400 {
            let first = usize::from(tree.rank(&shares[1]) < tree.rank(&shares[0]));
            tree.charge_output(&shares[first], 10);
            served[first] += 1;
        }
        assert_eq!(served, [100, 300]);
    }

    #[test]
    fn does_not_save_up_idle_time() {
        let mut tree = FairTree::default();
        let (busy, idle) = (share(1, 1.0), share(2, 1.0));
        tree.waits(&busy);
        tree.charge_output(&busy, 1000);
        tree.waits(&idle);
        assert_eq!(tree.rank(&idle)[1], tree.rank(&busy)[1]);
    }
}
