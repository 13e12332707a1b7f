//! Fair shares for work of unknown length: counters as in "Fairness in Serving Large Language Models" (Sheng et al., OSDI
//! 2024), in a tree of partner, owner and account, charged in what binds. One scale is used, the time of one engine:
//! memory is charged while it is held, as the part of an engine's memory times the time; a prompt is charged at the
//! grant, as the time that an engine takes to read it.
//!
//! Load patterns that this answers: an account that floods or repeats at once, one that comes back after a pause, a few
//! large accounts beside many small ones.

use crate::fairness::siblings::{Child, Siblings};
use prelude::{AccountId, OwnerId, PartnerId};
use std::collections::{BTreeMap, HashMap};

/// Counters are brought up to date this often: a decision sees them at most so old.
const PASS_EACH_MS: u64 = 10;
/// An account holds more than it is entitled to beyond so many times its part: one more request of a small account is not
/// much.
const OVER_TIMES: f64 = 1.25;
/// An account floods that asked for so many times its part, relative to the others: callers of a large account among small
/// ones are not put last for what they usually ask. It is a ratio of odds (asked against not asked): of 24 equal accounts, one floods from 41 in 100 of the tokens on.
const FLOOD_TIMES: f64 = 16.0;
/// Part of all that was asked lately from which on an account outweighs the others: half of it, less what such a part is off by
/// within some seconds. The largest of many at a busy moment lies below.
const OUTWEIGHS_PART: f64 = 0.46;
/// Share of the memory up to which an account that floods is granted, so that what others ask meanwhile has room at once.
const FLOOD_MEMORY_SHARE: f64 = 0.65;
/// For how long room is left after another account's request waited: several times what most answers take.
const OTHERS_WAITED_MS: u64 = 5_000;

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

/// The tree of counters.
#[derive(Clone, Debug)]
pub struct FairTree {
    partners: Siblings<PartnerId>,
    owners: BTreeMap<PartnerId, Siblings<OwnerId>>,
    accounts: BTreeMap<(PartnerId, OwnerId), Siblings<AccountId>>,
    caps: HashMap<AccountId, f64>,
    /// Whether shares order anything; who came first goes first where they do not.
    orders: bool,
    engine_tokens: f64,
    engines: f64,
    /// When a request of an account that does not flood last waited for long, or was refused.
    others_waited_ms: Option<u64>,
    passed_ms: u64,
}

impl Default for FairTree {
    fn default() -> Self {
        Self {
            partners: Siblings::default(),
            owners: BTreeMap::new(),
            accounts: BTreeMap::new(),
            caps: HashMap::new(),
            orders: true,
            engine_tokens: 1.0,
            engines: 1.0,
            others_waited_ms: None,
            passed_ms: 0,
        }
    }
}

impl FairTree {
    /// Sets how many engines take work, and the memory that they have together.
    pub fn set_capacity(&mut self, engines: usize, memory_tokens: u64) {
        self.engines = (engines as f64).max(1.0);
        self.engine_tokens = (memory_tokens as f64 / self.engines).max(1.0);
    }

    /// Sets whether shares order anything.
    pub fn set_enabled(&mut self, orders: bool) {
        self.orders = orders;
    }

    /// Sets which accounts have a cap: the share of the pool's memory that their requests may hold together.
    pub fn set_caps(&mut self, caps: HashMap<AccountId, f64>) {
        self.caps = caps;
    }

    /// Charges for the time that has passed.
    pub fn advance(&mut self, now_ms: u64) {
        if now_ms < self.passed_ms + PASS_EACH_MS {
            return;
        }
        // Counters that were left alone for long are as good as empty.
        let elapsed_ms = (now_ms - self.passed_ms).min(10_000) as f64;
        self.passed_ms = now_ms;
        let engine_tokens = self.engine_tokens;
        self.partners.pass(elapsed_ms, engine_tokens, self.engines);
        for (partner, owners) in &mut self.owners {
            let weight = weight_of(&self.partners, *partner);
            let part = self.partners.entitled_part(*partner, weight);
            owners.pass(elapsed_ms, engine_tokens, self.engines * part);
        }
        for ((partner, owner), accounts) in &mut self.accounts {
            let weight = weight_of(&self.partners, *partner);
            let mut part = self.partners.entitled_part(*partner, weight);
            if let Some(owners) = self.owners.get(partner) {
                part *= owners.entitled_part(*owner, weight_of(owners, *owner));
            }
            accounts.pass(elapsed_ms, engine_tokens, self.engines * part);
        }
        self.owners.retain(|_, owners| !owners.children.is_empty());
        self.accounts
            .retain(|_, accounts| !accounts.children.is_empty());
    }

    /// Notes that a prompt of so many tokens is asked for, whatever becomes of it.
    pub fn record_arrival(&mut self, share: &Share, tokens: u32) {
        self.each(share, |child| child.asked_tokens += f64::from(tokens));
    }

    /// Notes that a request waits.
    pub fn add_waiting(&mut self, share: &Share) {
        let (partners, owners, accounts) = self.levels(share);
        partners.waits(share.partner, share.partner_weight);
        owners.waits(share.owner, share.owner_weight);
        accounts.waits(share.account, share.account_weight);
    }

    /// Notes that a waiting request waits no more, without being run.
    pub fn remove_waiting(&mut self, share: &Share) {
        self.each(share, |child| {
            child.waiting = child.waiting.saturating_sub(1);
        });
    }

    /// Notes that a request runs.
    pub fn add_running(&mut self, share: &Share) {
        self.each(share, |child| child.running += 1);
    }

    /// Notes that a running request ended.
    pub fn remove_running(&mut self, share: &Share) {
        self.each(share, |child| {
            child.running = child.running.saturating_sub(1);
        });
    }

    /// Notes that requests hold so many tokens more, or less.
    pub fn adjust_tokens_in_use(&mut self, share: &Share, tokens: f64) {
        self.each(share, |child| {
            child.held_tokens = (child.held_tokens + tokens).max(0.0);
        });
    }

    /// Charges time of an engine, such as what it takes to read a prompt.
    pub fn charge(&mut self, share: &Share, ms: f64) {
        self.each(share, |child| child.used_ms += ms / child.weight);
    }

    /// Charges time of an engine that a box tells of: it lies before this tree knew of it.
    pub fn charge_reported(&mut self, share: &Share, ms: f64) {
        let (partners, owners, accounts) = self.levels(share);
        partners.told(share.partner, share.partner_weight, ms);
        owners.told(share.owner, share.owner_weight, ms);
        accounts.told(share.account, share.account_weight, ms);
    }

    /// Orders shares: the least served partner first, then owner, then account.
    pub fn service_ms_by_level(&self, share: &Share) -> [f64; 3] {
        if !self.orders {
            return [0.0; 3];
        }
        let owners = self.owners.get(&share.partner);
        let accounts = self.accounts.get(&(share.partner, share.owner));
        [
            self.partners.used_ms(share.partner),
            owners.map_or(0.0, |owners| owners.used_ms(share.owner)),
            accounts.map_or(0.0, |accounts| accounts.used_ms(share.account)),
        ]
    }

    /// The part of the pool that an account is entitled to among those that wait or run, were it one of them.
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

    fn asked_part(&self, share: &Share) -> f64 {
        let owners = self.owners.get(&share.partner);
        let accounts = self.accounts.get(&(share.partner, share.owner));
        self.partners.asked_part(share.partner)
            * owners.map_or(0.0, |owners| owners.asked_part(share.owner))
            * accounts.map_or(0.0, |accounts| accounts.asked_part(share.account))
    }

    fn present_part(&self, share: &Share) -> f64 {
        let owners = self.owners.get(&share.partner);
        let accounts = self.accounts.get(&(share.partner, share.owner));
        let partner = self
            .partners
            .present_part(share.partner, share.partner_weight);
        let owner = owners.map_or(1.0, |one| one.present_part(share.owner, share.owner_weight));
        let account = accounts.map_or(1.0, |one| {
            one.present_part(share.account, share.account_weight)
        });
        partner * owner * account
    }

    /// The part of all held memory that an account's requests hold.
    pub fn held_part(&self, share: &Share) -> f64 {
        let owners = self.owners.get(&share.partner);
        let accounts = self.accounts.get(&(share.partner, share.owner));
        self.partners.held_part(share.partner)
            * owners.map_or(0.0, |owners| owners.held_part(share.owner))
            * accounts.map_or(0.0, |accounts| accounts.held_part(share.account))
    }

    /// Whether an account holds more than it is entitled to, by more than chance.
    pub fn is_over_share(&self, share: &Share) -> bool {
        self.held_part(share) > OVER_TIMES * self.entitled_part(share)
    }

    /// Whether an account's requests go behind those of all others, whatever their rank: against the others it asked
    /// lately for many times its part. Who is alone never does.
    pub fn is_flooding(&self, share: &Share) -> bool {
        let (asked, part) = (self.asked_part(share), self.present_part(share));
        self.orders && asked * (1.0 - part) > FLOOD_TIMES * part * (1.0 - asked)
    }

    /// Whether an account that floods asked lately for about as much as all others together: what is left free for them then costs
    /// it less than they would lose. The largest account of many, at a busy moment, does not.
    pub fn has_dominant_demand(&self, share: &Share) -> bool {
        self.asked_part(share) > OUTWEIGHS_PART && self.is_flooding(share)
    }

    /// Notes that a request of an account that does not flood waits for long, or is refused.
    pub fn record_non_flooding_wait(&mut self, now_ms: u64) {
        self.others_waited_ms = Some(now_ms);
    }

    /// Whether the memory that is left is kept for accounts that do not flood, so that they need not wait until a flood's
    /// requests end. Where none of them waited of late, everything may be used.
    pub fn is_headroom_reserved(&self) -> bool {
        let waited_ms = self.others_waited_ms;
        if waited_ms.is_none_or(|at_ms| at_ms + OTHERS_WAITED_MS < self.passed_ms) {
            return false;
        }
        let partners = self.partners.children.values();
        let held_tokens: f64 = partners.map(|child| child.held_tokens).sum();
        held_tokens > FLOOD_MEMORY_SHARE * self.engines * self.engine_tokens
    }

    /// What an account has used beyond the least served one that waits, as time of its own fair share; below zero where
    /// it is owed. It lies within the window on each level.
    pub fn excess_ms(&self, share: &Share) -> f64 {
        let owners = self.owners.get(&share.partner);
        let accounts = self.accounts.get(&(share.partner, share.owner));
        self.partners.ahead_ms(share.partner)
            + owners.map_or(0.0, |owners| owners.ahead_ms(share.owner))
            + accounts.map_or(0.0, |accounts| accounts.ahead_ms(share.account))
    }

    /// Whether an account's cap leaves no room for so many tokens. One that holds nothing always has room for one.
    pub fn would_exceed_cap(&self, share: &Share, tokens: u32) -> bool {
        let Some(cap) = self.caps.get(&share.account) else {
            return false;
        };
        let accounts = self.accounts.get(&(share.partner, share.owner));
        let child = accounts.and_then(|accounts| accounts.children.get(&share.account));
        let held_tokens = child.map_or(0.0, |child| child.held_tokens);
        let may_hold = cap * self.engines * self.engine_tokens;
        held_tokens > 0.0 && held_tokens + f64::from(tokens) > may_hold
    }

    /// Time of one engine that memory held for a time comes to.
    pub(crate) fn engine_ms(&self, held_token_ms: f64) -> f64 {
        held_token_ms / self.engine_tokens
    }

    /// An account's cap; none where it has none.
    pub(crate) fn cap_of(&self, account: AccountId) -> Option<f64> {
        self.caps.get(&account).copied()
    }

    /// The accounts that are known here.
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

    fn each(&mut self, share: &Share, change: impl Fn(&mut Child)) {
        let (partners, owners, accounts) = self.levels(share);
        change(partners.child(share.partner, share.partner_weight));
        change(owners.child(share.owner, share.owner_weight));
        change(accounts.child(share.account, share.account_weight));
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
