//! What boxes tell each other: the declarations, the targets, and which boxes there are. News goes to all
//! at once; what was missed is found by an exchange with one box at a time.

use crate::members::Met;
use crate::packed::unpack;
use crate::state::{Declared, Relay};
use crate::targets::Change;
use crate::turn::{View, follower_role};
use peers::{
    AcquireRequest, AdoptedStream, FleetCard, FleetDigest, FleetHandler, FleetNews, PermitReply,
    RelocateReply, RelocateRequest, SharedTable, TargetChanges, UpdateReply, UpdateRequest,
};
use prelude::{BoxId, PermitId, PoolId, TargetId};
use routing::TargetEntry;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::sleep;

/// How often a box exchanges what it knows with one other.
const EXCHANGE_EACH: Duration = Duration::from_millis(500);
/// Up to so many boxes are told one by one; more are told by groups, so that what one box sends grows with the
/// root of their number.
const TOLD_DIRECTLY_MAX: usize = 24;
const GROUPS: usize = 12;
/// Boxes that a new box greets.
const GREETED_MAX: usize = 24;
/// Longest time for a call.
const CALL_LIMIT: Duration = Duration::from_millis(400);

/// Takes the card of a box in.
pub(crate) fn meet(relay: &Relay, card: &FleetCard, keyed: bool) {
    let now_ms = relay.now_ms();
    let met = relay.members.borrow_mut().met(card.clone(), keyed, now_ms);
    if card.id == relay.id {
        return;
    }
    if met == Met::New {
        relay.peers.forget(card.id);
        slog::info!(relay.log, "box met"; "name" => &*card.name, "box" => card.id.0,
            "life" => card.life, "address" => %card.address, "keyed" => keyed);
    }
    relay.peers.set_address(card.id, card.address);
}

/// What this box tells one that knows what `other` says.
fn news_for(relay: &Relay, other: &FleetDigest) -> FleetNews {
    let mut told = news(relay);
    let declared = relay.declared();
    let newer = declared.filter(|held| other.table_version < held.table.version);
    told.table = newer.map(|held| shared(&held));
    let knows_less = other.targets_changed_at < told.digest.targets_changed_at
        && other.targets_current_to < told.digest.targets_current_to;
    told.targets = knows_less.then(|| relay.targets.borrow().entries());
    if other.boxes < told.digest.boxes {
        told.boxes = relay.members.borrow().cards();
    }
    told
}

fn shared(held: &Declared) -> SharedTable {
    SharedTable {
        version: held.table.version,
        packed: held.packed.clone(),
    }
}

/// Takes what another box tells.
fn take_news(relay: &Rc<Relay>, news: FleetNews) {
    meet(relay, &news.digest.from, false);
    take_evacuations(relay, &news.digest);
    for card in &news.boxes {
        let known = relay.members.borrow().card(card.id).is_some();
        if !known {
            meet(relay, card, false);
        }
    }
    if let Some(table) = news.table {
        match unpack(&table.packed) {
            Ok(text) => {
                relay.declare(&text, "peer");
            }
            Err(error) => slog::warn!(relay.log, "declarations of a peer not used";
                "version" => table.version, "error" => %error),
        }
    }
    if news.asks_engines {
        relay.heard_asker_ms.set(relay.now_ms());
    }
    let mut changes = take_targets(relay, &news.digest, news.targets);
    if let Some(told) = news.target_changes {
        changes.extend(take_changes(relay, &news.digest, told));
    }
    let left = relay.targets.borrow_mut().told_leaving(&news.leaving);
    changes.extend(left);
    relay.took_changes(&changes, "peer");
    take_confirmations(relay, &news.digest);
    fetch_what_lacks(relay, &news.digest);
}

fn take_targets(
    relay: &Relay,
    digest: &FleetDigest,
    entries: Option<Vec<TargetEntry>>,
) -> Vec<Change> {
    let current_to = digest.targets_current_to;
    let now_ms = relay.now_ms();
    let mut changes = Vec::new();
    let mut targets = relay.targets.borrow_mut();
    let newer = current_to > targets.current_to || targets.confirmed_ms.is_none();
    if let Some(entries) = entries.filter(|_| newer) {
        changes = targets.replace(entries, current_to, None, now_ms);
        targets.changed_at = targets.changed_at.max(digest.targets_changed_at);
    } else if targets.changed_at >= digest.targets_changed_at {
        // Nothing has changed up to there.
        targets.current_to = targets.current_to.max(current_to);
    }
    changes
}

/// Takes changes in, where all that came before them is known.
fn take_changes(relay: &Relay, digest: &FleetDigest, told: TargetChanges) -> Vec<Change> {
    let now_ms = relay.now_ms();
    let mut targets = relay.targets.borrow_mut();
    if targets.confirmed_ms.is_none() || targets.changed_at < told.after_revision {
        return Vec::new();
    }
    let mut changes = Vec::new();
    for entry in told.listed {
        changes.extend(targets.listed(entry, now_ms));
    }
    for (instance, revision) in told.unlisted {
        changes.extend(targets.unlisted(&instance, revision));
    }
    targets.changed_at = targets.changed_at.max(digest.targets_changed_at);
    targets.current_to = targets.current_to.max(digest.targets_current_to);
    changes
}

fn take_evacuations(relay: &Relay, digest: &FleetDigest) {
    relay.change_evacuations("peer", |known| known.adopt(&digest.evacuations));
}

/// Believes another box that what both know is the newest.
fn take_confirmations(relay: &Relay, digest: &FleetDigest) {
    let now_ms = relay.now_ms();
    let held = relay.declared().map_or(0, |held| held.table.version);
    let knows_less = {
        let evacuation = relay.evacuation.borrow();
        evacuation.known().is_newer_than(&digest.evacuations)
    };
    let same = held == digest.table_version && !knows_less;
    if let Some(age_ms) = digest.table_age_ms.filter(|_| same) {
        relay.confirm_at(View::Declarations, now_ms.saturating_sub(age_ms.into()));
    }
    let knows_all = relay.targets.borrow().changed_at >= digest.targets_changed_at;
    if let Some(age_ms) = digest.targets_age_ms.filter(|_| knows_all) {
        relay.confirm_at(View::Targets, now_ms.saturating_sub(age_ms.into()));
    }
}

/// Asks a box that knows more for what this one lacks.
fn fetch_what_lacks(relay: &Rc<Relay>, digest: &FleetDigest) {
    let held = relay.digest();
    let lacks_table = held.table_version < digest.table_version;
    let lacks_targets = held.targets_changed_at < digest.targets_changed_at
        && held.targets_current_to < digest.targets_current_to;
    if !(lacks_table || lacks_targets) || relay.fetching.replace(true) {
        return;
    }
    let (relay, id) = (relay.clone(), digest.from.id);
    tokio::task::spawn_local(async move {
        exchange_with(&relay, id).await;
        relay.fetching.set(false);
    });
}

/// Tells all boxes what this box has just learnt of targets from the store.
pub(crate) fn spread_targets(relay: &Rc<Relay>, changes: TargetChanges) {
    let mut news = news(relay);
    news.target_changes = Some(changes);
    tell_all(relay, news);
}

/// Tells all boxes the declarations that this box has just read in the store.
pub(crate) fn spread_table(relay: &Rc<Relay>) {
    let mut news = news(relay);
    news.table = relay.declared().map(|held| shared(&held));
    tell_all(relay, news);
}

/// Tells all boxes what this one stands for now: how current its view is, and which targets are known to leave.
pub(crate) fn tell_current(relay: &Rc<Relay>) {
    tell_all(relay, news(relay));
}

/// What all boxes are told.
fn news(relay: &Relay) -> FleetNews {
    FleetNews {
        digest: relay.digest(),
        follows_store: relay.following.get().any(),
        asks_engines: relay.asking.get(),
        table: None,
        targets: None,
        target_changes: None,
        leaving: relay.targets.borrow().leaving(),
        pass_on: Vec::new(),
        boxes: Vec::new(),
    }
}

fn tell_all(relay: &Rc<Relay>, news: FleetNews) {
    let others = relay.members.borrow().others();
    for group in groups(&others) {
        tokio::task::spawn_local(tell_group(relay.clone(), news.clone(), group));
    }
}

/// The boxes that are told, each first one passing on to the others of its group.
fn groups(others: &[BoxId]) -> Vec<Vec<BoxId>> {
    let count = match others.len() <= TOLD_DIRECTLY_MAX {
        true => others.len(),
        false => GROUPS,
    };
    let size = others.len().div_ceil(count.max(1)).max(1);
    others.chunks(size).map(<[BoxId]>::to_vec).collect()
}

/// Tells the first box of a group, or the next where that one does not answer.
async fn tell_group(relay: Rc<Relay>, mut news: FleetNews, group: Vec<BoxId>) {
    let mut rest = &group[..];
    while let Some((first, others)) = rest.split_first() {
        rest = others;
        news.pass_on = others.to_vec();
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

/// Exchanges what this box knows with one other after another, for as long as it lives.
pub(crate) async fn run_exchanges(relay: Rc<Relay>) {
    meet_seeds(&relay).await;
    let mut turn = usize::from(relay.life as u16);
    loop {
        sleep(EXCHANGE_EACH).await;
        let gone = relay.members.borrow_mut().forget_silent(relay.now_ms());
        for id in gone {
            slog::info!(relay.log, "box forgotten"; "box" => id.0);
            relay.peers.forget(id);
        }
        let others = relay.members.borrow().others();
        if others.is_empty() {
            meet_seeds(&relay).await;
            continue;
        }
        turn = turn.wrapping_add(1);
        exchange_with(&relay, others[turn % others.len()]).await;
    }
}

/// Makes this box known to others: to those that may follow targets, who tell all they know, and to some more.
pub(crate) async fn greet(relay: &Rc<Relay>) {
    let now_ms = relay.now_ms();
    let others = relay.members.borrow().ranked(follower_role(), true, now_ms);
    let others: Vec<BoxId> = others.into_iter().take(GREETED_MAX).collect();
    let greetings = others.into_iter().map(|id| exchange_with(relay, id));
    futures::future::join_all(greetings).await;
}

async fn exchange_with(relay: &Rc<Relay>, id: BoxId) -> bool {
    let digest = relay.digest();
    let call = relay
        .peers
        .call(id, CALL_LIMIT, |client, context| async move {
            client.exchange(context, digest).await
        });
    match relay.heard_from(id, call.await, "exchange") {
        Some(news) => {
            take_news(relay, news);
            true
        }
        None => false,
    }
}

/// Asks the boxes that the settings name, which may be gone.
async fn meet_seeds(relay: &Rc<Relay>) {
    let seeds = relay.file.seeds.iter().enumerate();
    let others = seeds.filter(|(_, seed)| **seed != relay.file.identity.peers_address);
    let asked = others.map(|(at, seed)| meet_seed(relay, at, *seed));
    futures::future::join_all(asked).await;
    relay.seeds_asked.send_replace(true);
}

async fn meet_seed(relay: &Rc<Relay>, at: usize, seed: SocketAddr) {
    // Seeds have addresses and no names: they are asked under numbers that no box has.
    let id = BoxId(u32::MAX - at as u32);
    relay.peers.set_address(id, seed);
    let digest = relay.digest();
    let call = relay
        .peers
        .call(id, CALL_LIMIT, |client, context| async move {
            client.exchange(context, digest).await
        });
    match call.await {
        Ok(news) => take_news(relay, news),
        Err(error) => {
            slog::info!(relay.log, "seed did not answer"; "address" => %seed, "error" => %error);
        }
    }
    relay.peers.forget(id);
}

/// A box, as its peers call it.
#[derive(Clone)]
pub(crate) struct Handler(pub Rc<Relay>);

impl FleetHandler for Handler {
    async fn exchange(&self, digest: FleetDigest) -> FleetNews {
        meet(&self.0, &digest.from, false);
        take_evacuations(&self.0, &digest);
        take_confirmations(&self.0, &digest);
        fetch_what_lacks(&self.0, &digest);
        news_for(&self.0, &digest)
    }

    async fn tell(&self, mut news: FleetNews) {
        let pass_on = std::mem::take(&mut news.pass_on);
        for id in pass_on {
            let relay = self.0.clone();
            tokio::task::spawn_local(tell_group(relay, news.clone(), vec![id]));
        }
        if news.follows_store {
            let now_ms = self.0.now_ms();
            self.0.members.borrow_mut().heard_follower(now_ms);
        }
        take_news(&self.0, news);
    }

    async fn acquire(&self, request: AcquireRequest, wait_ms: u32) -> PermitReply {
        // A dispatcher that has just started would refuse for want of engines that it does not know yet.
        self.0.wait_until_informed().await;
        self.0.acquire_here(request, wait_ms).await
    }

    async fn withdraw(&self, pool: PoolId, permit: PermitId) {
        self.0.withdraw_here(pool, permit);
    }

    async fn relocate(&self, request: RelocateRequest) -> RelocateReply {
        self.0.relocate_here(&request).await
    }

    async fn relocated(&self, pool: PoolId, permit: PermitId, from: TargetId) {
        self.0.relocated_here(pool, permit, from);
    }

    async fn engine_failed(&self, pool: PoolId, target: TargetId) {
        self.0.engine_failed_here(pool, target);
    }

    async fn update(&self, request: UpdateRequest) -> UpdateReply {
        self.0.update_here(&request)
    }

    async fn adopt(&self, from: BoxId, pool: PoolId, streams: Vec<AdoptedStream>) {
        self.0.adopt_here(from, pool, &streams);
    }
}

#[cfg(test)]
#[path = "news_tests.rs"]
mod tests;
