//! Fair sharing of requests of unknown length: service counters as in "Fairness in Serving Large
//! Language Models" (Sheng et al., OSDI 2024), in a tree of partner, owner and account, charged for
//! the resources that limit the engines. The common unit is engine time: memory is charged while it
//! is in use, as the fraction of an engine's memory times the time; a prompt is charged at the
//! grant, with its prefill time.
//!
//! Covers these load patterns: an account that floods or retries at once, an account that returns
//! after a pause, and a few large accounts beside many small ones.

use crate::fairness::siblings::{Child, Siblings};
use prelude::{AccountId, OwnerId, PartnerId};
use std::collections::{BTreeMap, HashMap};

/// Minimum interval between counter updates; decisions see counters of at most this age.
const MIN_ADVANCE_MS: u64 = 10;
/// An account is over its share beyond this multiple of its entitled part: one more request of a
/// small account is not significant.
const OVER_SHARE_FACTOR: f64 = 1.25;
/// An account floods if the odds of its requested part exceed the odds of its entitled part by this
/// factor, so that a large account among small ones is not penalized for its normal demand. The
/// odds are requested against not requested: one of 24 equal accounts floods from 41 in 100 of the
/// tokens on.
const FLOOD_ODDS_RATIO: f64 = 16.0;
/// Part of all recent demand from which an account dominates: half, less the error of such a part
/// within some seconds. The largest of many accounts stays below it at a busy moment.
const DOMINANT_DEMAND_PART: f64 = 0.46;
/// Flooding accounts are granted requests only up to this share of the memory, so that requests of
/// others find free memory at once.
const FLOOD_MEMORY_SHARE: f64 = 0.65;
/// Time for which headroom stays reserved after a request of another account waited; several times
/// the duration of most answers.
const HEADROOM_HOLD_MS: u64 = 5_000;

/// The account charged for a request, its parents, and their weights.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Share {
    /// The partner that the owner belongs to.
    pub partner: PartnerId,
    /// The owner of the account.
    pub owner: OwnerId,
    /// The client account.
    pub account: AccountId,
    /// Weight among all partners.
    pub partner_weight: f64,
    /// Weight among the partner's owners.
    pub owner_weight: f64,
    /// Weight among the owner's accounts.
    pub account_weight: f64,
}

/// Service counters of partners, owners and accounts.
#[derive(Clone, Debug)]
pub struct FairTree {
    partners: Siblings<PartnerId>,
    owners: BTreeMap<PartnerId, Siblings<OwnerId>>,
    accounts: BTreeMap<(PartnerId, OwnerId), Siblings<AccountId>>,
    caps: HashMap<AccountId, f64>,
    /// Whether fair shares order requests; they are served in the order of arrival otherwise.
    is_enabled: bool,
    engine_tokens: f64,
    engines: f64,
    /// When a request of a non-flooding account last waited for long or was refused.
    non_flooding_waited_ms: Option<u64>,
    advanced_ms: u64,
}

impl Default for FairTree {
    fn default() -> Self {
        Self {
            partners: Siblings::default(),
            owners: BTreeMap::new(),
            accounts: BTreeMap::new(),
            caps: HashMap::new(),
            is_enabled: true,
            engine_tokens: 1.0,
            engines: 1.0,
            non_flooding_waited_ms: None,
            advanced_ms: 0,
        }
    }
}

impl FairTree {
    /// Sets the number of engines that accept work, and their total memory.
    pub fn set_capacity(&mut self, engines: usize, memory_tokens: u64) {
        self.engines = (engines as f64).max(1.0);
        self.engine_tokens = (memory_tokens as f64 / self.engines).max(1.0);
    }

    /// Sets whether fair shares order requests.
    pub fn set_enabled(&mut self, is_enabled: bool) {
        self.is_enabled = is_enabled;
    }

    /// Sets the caps of accounts: the share of the pool's memory that an account's requests may
    /// use.
    pub fn set_caps(&mut self, caps: HashMap<AccountId, f64>) {
        self.caps = caps;
    }

    /// Charges for the time since the last update.
    pub fn advance(&mut self, now_ms: u64) {
        if now_ms < self.advanced_ms + MIN_ADVANCE_MS {
            return;
        }
        // After ten seconds without an update the counters are as good as empty.
        let elapsed_ms = (now_ms - self.advanced_ms).min(10_000) as f64;
        self.advanced_ms = now_ms;
        let engine_tokens = self.engine_tokens;
        self.partners
            .advance(elapsed_ms, engine_tokens, self.engines);
        for (partner, owners) in &mut self.owners {
            let weight = weight_of(&self.partners, *partner);
            let part = self.partners.entitled_part(*partner, weight);
            owners.advance(elapsed_ms, engine_tokens, self.engines * part);
        }
        for ((partner, owner), accounts) in &mut self.accounts {
            let weight = weight_of(&self.partners, *partner);
            let mut part = self.partners.entitled_part(*partner, weight);
            if let Some(owners) = self.owners.get(partner) {
                part *= owners.entitled_part(*owner, weight_of(owners, *owner));
            }
            accounts.advance(elapsed_ms, engine_tokens, self.engines * part);
        }
        self.owners.retain(|_, owners| !owners.children.is_empty());
        self.accounts
            .retain(|_, accounts| !accounts.children.is_empty());
    }

    /// Adds the tokens of a requested prompt, whether or not it is granted.
    pub fn record_arrival(&mut self, share: &Share, tokens: u32) {
        self.for_each_level(share, |child| child.requested_tokens += f64::from(tokens));
    }

    /// Adds a waiting request.
    pub fn add_waiting(&mut self, share: &Share) {
        let (partners, owners, accounts) = self.levels(share);
        partners.add_waiting(share.partner, share.partner_weight);
        owners.add_waiting(share.owner, share.owner_weight);
        accounts.add_waiting(share.account, share.account_weight);
    }

    /// Removes a waiting request.
    pub fn remove_waiting(&mut self, share: &Share) {
        self.for_each_level(share, |child| {
            child.waiting = child.waiting.saturating_sub(1);
        });
    }

    /// Adds a running request.
    pub fn add_running(&mut self, share: &Share) {
        self.for_each_level(share, |child| child.running += 1);
    }

    /// Removes a running request.
    pub fn remove_running(&mut self, share: &Share) {
        self.for_each_level(share, |child| {
            child.running = child.running.saturating_sub(1);
        });
    }

    /// Changes the memory in use by `tokens`, which may be negative.
    pub fn adjust_tokens_in_use(&mut self, share: &Share, tokens: f64) {
        self.for_each_level(share, |child| {
            child.tokens_in_use = (child.tokens_in_use + tokens).max(0.0);
        });
    }

    /// Charges engine time, such as that of a prefill.
    pub fn charge(&mut self, share: &Share, ms: f64) {
        self.for_each_level(share, |child| child.service_ms += ms / child.weight);
    }

    /// Charges engine time that a box reports from before this tree observed it.
    pub fn charge_reported(&mut self, share: &Share, ms: f64) {
        let (partners, owners, accounts) = self.levels(share);
        partners.charge_reported(share.partner, share.partner_weight, ms);
        owners.charge_reported(share.owner, share.owner_weight, ms);
        accounts.charge_reported(share.account, share.account_weight, ms);
    }

    /// Returns the service of the partner, the owner and the account; the smallest is served first.
    pub fn service_ms_by_level(&self, share: &Share) -> [f64; 3] {
        if !self.is_enabled {
            return [0.0; 3];
        }
        let owners = self.owners.get(&share.partner);
        let accounts = self.accounts.get(&(share.partner, share.owner));
        [
            self.partners.service_ms(share.partner),
            owners.map_or(0.0, |owners| owners.service_ms(share.owner)),
            accounts.map_or(0.0, |accounts| accounts.service_ms(share.account)),
        ]
    }

    /// Returns the fraction of the pool that an account is entitled to among active accounts,
    /// counting itself as active.
    pub fn entitled_part(&self, share: &Share) -> f64 {
        let owners = self.owners.get(&share.partner);
        let accounts = self.accounts.get(&(share.partner, share.owner));
        let partner = self
            .partners
            .entitled_part(share.partner, share.partner_weight);
        let owner = owners.map_or(1.0, |owners| {
            owners.entitled_part(share.owner, share.owner_weight)
        });
        let account = accounts.map_or(1.0, |accounts| {
            accounts.entitled_part(share.account, share.account_weight)
        });
        partner * owner * account
    }

    fn requested_part(&self, share: &Share) -> f64 {
        let owners = self.owners.get(&share.partner);
        let accounts = self.accounts.get(&(share.partner, share.owner));
        self.partners.requested_part(share.partner)
            * owners.map_or(0.0, |owners| owners.requested_part(share.owner))
            * accounts.map_or(0.0, |accounts| accounts.requested_part(share.account))
    }

    fn recent_entitled_part(&self, share: &Share) -> f64 {
        let owners = self.owners.get(&share.partner);
        let accounts = self.accounts.get(&(share.partner, share.owner));
        let partner = self
            .partners
            .recent_entitled_part(share.partner, share.partner_weight);
        let owner = owners.map_or(1.0, |one| {
            one.recent_entitled_part(share.owner, share.owner_weight)
        });
        let account = accounts.map_or(1.0, |one| {
            one.recent_entitled_part(share.account, share.account_weight)
        });
        partner * owner * account
    }

    /// Returns the fraction of the memory in use that an account's requests use.
    pub fn held_part(&self, share: &Share) -> f64 {
        let owners = self.owners.get(&share.partner);
        let accounts = self.accounts.get(&(share.partner, share.owner));
        self.partners.held_part(share.partner)
            * owners.map_or(0.0, |owners| owners.held_part(share.owner))
            * accounts.map_or(0.0, |accounts| accounts.held_part(share.account))
    }

    /// Returns whether an account uses clearly more memory than it is entitled to.
    pub fn is_over_share(&self, share: &Share) -> bool {
        self.held_part(share) > OVER_SHARE_FACTOR * self.entitled_part(share)
    }

    /// Returns whether an account floods, and is served after all others whatever its rank: its
    /// recent demand is many times its part. A single account never floods.
    pub fn is_flooding(&self, share: &Share) -> bool {
        let (requested, part) = (self.requested_part(share), self.recent_entitled_part(share));
        self.is_enabled && requested * (1.0 - part) > FLOOD_ODDS_RATIO * part * (1.0 - requested)
    }

    /// Returns whether a flooding account recently requested about as much as all others together.
    /// Keeping capacity free for the others then costs it less than the others would lose. The
    /// largest of many accounts does not dominate at a busy moment.
    pub fn has_dominant_demand(&self, share: &Share) -> bool {
        self.requested_part(share) > DOMINANT_DEMAND_PART && self.is_flooding(share)
    }

    /// Records that a request of a non-flooding account waits for long or is refused.
    pub fn record_non_flooding_wait(&mut self, now_ms: u64) {
        self.non_flooding_waited_ms = Some(now_ms);
    }

    /// Returns whether the remaining memory is reserved for non-flooding accounts, so that they
    /// need not wait for a flood's requests to end. Nothing is reserved if none of them waited
    /// recently.
    pub fn is_headroom_reserved(&self) -> bool {
        let last_wait_ms = self.non_flooding_waited_ms;
        if last_wait_ms.is_none_or(|at_ms| at_ms + HEADROOM_HOLD_MS < self.advanced_ms) {
            return false;
        }
        let partners = self.partners.children.values();
        let tokens_in_use: f64 = partners.map(|child| child.tokens_in_use).sum();
        tokens_in_use > FLOOD_MEMORY_SHARE * self.engines * self.engine_tokens
    }

    /// Returns the service beyond the least served waiting account, in milliseconds of its fair
    /// share; negative if it received less. Each level contributes at most the fairness window.
    pub fn excess_ms(&self, share: &Share) -> f64 {
        let owners = self.owners.get(&share.partner);
        let accounts = self.accounts.get(&(share.partner, share.owner));
        self.partners.excess_ms(share.partner)
            + owners.map_or(0.0, |owners| owners.excess_ms(share.owner))
            + accounts.map_or(0.0, |accounts| accounts.excess_ms(share.account))
    }

    /// Returns whether `tokens` more would exceed the account's cap. An account without memory in
    /// use never exceeds it.
    pub fn would_exceed_cap(&self, share: &Share, tokens: u32) -> bool {
        let Some(cap) = self.caps.get(&share.account) else {
            return false;
        };
        let accounts = self.accounts.get(&(share.partner, share.owner));
        let child = accounts.and_then(|accounts| accounts.children.get(&share.account));
        let tokens_in_use = child.map_or(0.0, |child| child.tokens_in_use);
        let max_tokens = cap * self.engines * self.engine_tokens;
        tokens_in_use > 0.0 && tokens_in_use + f64::from(tokens) > max_tokens
    }

    /// Converts memory use over time to engine time.
    pub(crate) fn engine_ms(&self, held_token_ms: f64) -> f64 {
        held_token_ms / self.engine_tokens
    }

    /// Returns an account's cap.
    pub(crate) fn cap_of(&self, account: AccountId) -> Option<f64> {
        self.caps.get(&account).copied()
    }

    /// Returns all known accounts.
    pub(crate) fn shares(&self) -> impl Iterator<Item = Share> {
        self.accounts
            .iter()
            .flat_map(move |((partner, owner), accounts)| {
                let owners = self.owners.get(partner);
                let of_account = move |(account, child): (&AccountId, &Child)| Share {
                    partner: *partner,
                    owner: *owner,
                    account: *account,
                    partner_weight: weight_of(&self.partners, *partner),
                    owner_weight: owners.map_or(1.0, |owners| weight_of(owners, *owner)),
                    account_weight: child.weight,
                };
                accounts.children.iter().map(of_account)
            })
    }

    fn levels(
        &mut self,
        share: &Share,
    ) -> (
        &mut Siblings<PartnerId>,
        &mut Siblings<OwnerId>,
        &mut Siblings<AccountId>,
    ) {
        let owners = self.owners.entry(share.partner).or_default();
        let accounts = self.accounts.entry((share.partner, share.owner));
        (&mut self.partners, owners, accounts.or_default())
    }

    fn for_each_level(&mut self, share: &Share, change: impl Fn(&mut Child)) {
        let (partners, owners, accounts) = self.levels(share);
        change(partners.child_mut(share.partner, share.partner_weight));
        change(owners.child_mut(share.owner, share.owner_weight));
        change(accounts.child_mut(share.account, share.account_weight));
    }
}

fn weight_of<K: Copy + Ord>(siblings: &Siblings<K>, key: K) -> f64 {
    siblings
        .children
        .get(&key)
        .map_or(1.0, |child| child.weight)
}

#[cfg(test)]
#[path = "tree_tests.rs"]
mod tests;
