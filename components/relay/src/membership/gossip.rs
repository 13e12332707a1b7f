//! What boxes tell each other, as it is made and taken in: the operators' declarations, the targets, which data centres
//! are evacuated, and which boxes there are. How it gets around is in [`crate::membership::broadcast`] and [`crate::membership::exchange`].

use crate::membership::broadcast::{broadcast_gossip, forward_gossip};
use crate::membership::compression::decompress;
use crate::membership::exchange::fetch_from;
use crate::membership::members::MemberUpdate;
use crate::membership::missing::MissingData;
use crate::rate_limit::announced::UNDER_WAY_MS;
use crate::state::{Declared, Relay};
use crate::watch::election::View;
use crate::watch::era::EraSource;
use crate::watch::targets::Change;
use peers::{
    AcquireRequest, EndsTold, EngineFault, FetchRequest, FleetCard, FleetDigest, FleetGossip,
    FleetHandler, OpenStreams, PermitReply, RateTokenReply, RateTokenRequest, RelocateReply,
    RelocateRequest, SharedTable, TargetChanges, TargetHint, TargetPatch, TargetSummary,
    UpdateReply, UpdateRequest,
};
use prelude::{BoxId, PermitId, PoolId, TargetId};
use std::net::SocketAddr;
use std::rc::Rc;

/// Boxes that one answer names, those with wide links first: the others are learnt from the store and by their own word.
/// Where all boxes start, each gets some twenty such answers.
const BOXES_NAMED_MAX: usize = 48;
/// A box that knows fewer than this share of what another knows asks it for more.
const BOXES_KNOWN_SHARE: f64 = 0.9;

/// Takes the card of a box in.
pub(crate) fn upsert_member(relay: &Relay, card: &FleetCard, keyed: bool) {
    let now_ms = relay.now_ms();
    let was_cut_off = !keyed && relay.is_cut_off(now_ms);
    let met = relay
        .members
        .borrow_mut()
        .upsert(card.clone(), keyed, now_ms);
    if card.id == relay.id {
        return;
    }
    if met == MemberUpdate::New {
        relay.peers.forget(card.id);
        slog::info!(relay.log, "box met"; "name" => &*card.name, "box" => card.id.0,
            "life" => card.life, "address" => %card.address, "keyed" => keyed);
    }
    relay.peers.set_address(card.id, card.address);
    relay.note_heard(met, was_cut_off);
}

/// What every box is told in short.
pub(crate) fn gossip_message(relay: &Relay) -> FleetGossip {
    FleetGossip {
        digest: relay.digest(),
        follows_store: relay.following.get().any(),
        asks_engines: relay.asking.get(),
        table: None,
        target_patch: None,
        target_changes: None,
        leaving: relay.targets.borrow().leaving(),
        rates: relay.known_rates(),
        pass_on: Vec::new(),
        boxes: Vec::new(),
    }
}

/// What a box lacks that asks for it.
fn lacking(relay: &Relay, request: &FetchRequest) -> FleetGossip {
    let mut told = gossip_message(relay);
    let other = &request.digest;
    let newer = relay
        .declared()
        .filter(|held| other.table_version < held.table.version);
    told.table = newer.map(|held| shared(&held));
    let targets = relay.targets.borrow();
    let asked = request.targets.as_ref();
    let asked = asked.filter(|summary| may_tell_list(relay, summary));
    if let Some(summary) = asked
        && targets.is_known()
        && targets.current_to >= other.targets_current_to
    {
        told.target_patch = targets.patch_for(summary, relay.now_ms());
        let whole = told.target_patch.as_ref().filter(|_| needs_all(summary));
        note_list_told(relay, other.from.id, whole);
    }
    if lacks_boxes(other.boxes, told.digest.boxes) {
        told.boxes = relay.members.borrow().cards(BOXES_NAMED_MAX);
    }
    told
}

/// Whether the list may be told to a box: it needs little of it, or the lists told before have left. A box that is told none
/// hears of it again from the next one that it meets.
fn may_tell_list(relay: &Relay, summary: &TargetSummary) -> bool {
    !needs_all(summary) || relay.lists_told.get().is_free(relay.now_ms())
}

fn needs_all(summary: &TargetSummary) -> bool {
    summary.buckets.is_empty()
}

/// Notes that a whole list is on its way to a box that had none.
fn note_list_told(relay: &Relay, to: BoxId, whole: Option<&TargetPatch>) {
    if let Some(whole) = whole {
        let mut budget = relay.lists_told.get();
        let link_mbps = relay.file().limits.link_mbps;
        budget.record(whole.listed.wire_bytes(), link_mbps, relay.now_ms());
        relay.lists_told.set(budget);
        slog::info!(relay.log, "list of targets told"; "to" => to.0,
            "targets" => whole.listed.len());
    }
}

fn lacks_boxes(knows: u32, other_knows: u32) -> bool {
    f64::from(knows) < f64::from(other_knows) * BOXES_KNOWN_SHARE
}

fn shared(held: &Declared) -> SharedTable {
    SharedTable {
        version: held.table.version,
        packed: held.packed.clone(),
    }
}

/// Takes what another box tells.
pub(crate) fn handle_gossip(relay: &Rc<Relay>, news: FleetGossip) {
    let digest = news.digest.clone();
    take_gossip(relay, news);
    fetch_what_lacks(relay, &digest);
}

/// Takes what another box tells all boxes.
fn on_telling(relay: &Rc<Relay>, news: FleetGossip) {
    let digest = news.digest.clone();
    take_gossip(relay, news);
    let knows_list = relay.knows(View::Targets);
    let boxes = relay.members.borrow().peak_box_count();
    let lacks = lacks(relay, &digest).after_broadcast(knows_list, boxes, rand::random());
    ask_for(relay, digest.from.id, lacks);
}

/// Takes what another box says, and asks for nothing.
fn take_gossip(relay: &Rc<Relay>, news: FleetGossip) {
    upsert_member(relay, &news.digest.from, false);
    let now_ms = relay.now_ms();
    relay
        .members
        .borrow_mut()
        .record_reported_count(news.digest.boxes, now_ms);
    take_evacuations(relay, &news.digest);
    for card in &news.boxes {
        let known = relay.members.borrow().card(card.id).is_some();
        if !known {
            upsert_member(relay, card, false);
        }
    }
    if let Some(table) = news.table {
        match decompress(&table.packed) {
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
    let fetched = take_patch(relay, &news.digest, news.target_patch);
    relay.took_changes(&fetched, "fetch");
    let mut changes = Vec::new();
    if let Some(told) = news.target_changes {
        changes.extend(take_changes(relay, &news.digest, told));
    }
    let left = relay.targets.borrow_mut().told_leaving(&news.leaving);
    changes.extend(left);
    relay.took_changes(&changes, "peer");
    relay.observe_peer_rates(&news.rates);
    take_confirmations(relay, &news.digest);
}

fn take_patch(relay: &Relay, digest: &FleetDigest, patch: Option<TargetPatch>) -> Vec<Change> {
    let current_to = digest.targets_current_to;
    let now_ms = relay.now_ms();
    let mut changes = Vec::new();
    let mut targets = relay.targets.borrow_mut();
    let newer = current_to > targets.current_to || !targets.is_known();
    if let Some(patch) = patch.filter(|_| newer) {
        changes = targets.patch(patch, current_to, now_ms);
        targets.changed_at = targets.changed_at.max(digest.targets_changed_at);
    } else if targets.is_known() && targets.changed_at >= digest.targets_changed_at {
        // Nothing has changed up to there.
        targets.current_to = targets.current_to.max(current_to);
    }
    changes
}

/// Takes changes in, where all that came before them is known.
fn take_changes(relay: &Relay, digest: &FleetDigest, told: TargetChanges) -> Vec<Change> {
    let (changed_at, current_to) = (digest.targets_changed_at, digest.targets_current_to);
    let now_ms = relay.now_ms();
    let mut targets = relay.targets.borrow_mut();
    targets.take_told(told, changed_at, current_to, now_ms)
}

fn take_evacuations(relay: &Rc<Relay>, digest: &FleetDigest) {
    let told = &digest.evacuations;
    let era = digest.targets_current_to.max(told.version).era();
    relay.see_era(era, EraSource::Peer);
    let may_be_copied = relay.is_settling();
    relay.change_evacuations("peer", |known| match may_be_copied {
        true => known.join(told),
        false => known.adopt(told),
    });
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

/// Whether to ask for changes of targets that another box has. One that knows no list asks at once.
fn lacks_targets(relay: &Relay, held: &FleetDigest, digest: &FleetDigest) -> bool {
    let (own, told) = (held.targets_changed_at, digest.targets_changed_at);
    if !relay.targets.borrow().is_known() {
        return own < told;
    }
    let mut lacking = relay.lacking.get();
    let is_due = lacking.is_fetch_due(own, told, relay.now_ms());
    relay.lacking.set(lacking);
    is_due
}

/// What this box lacks of what another one says that it knows.
fn lacks(relay: &Relay, digest: &FleetDigest) -> MissingData {
    let held = relay.digest();
    let is_behind = held.targets_current_to < digest.targets_current_to;
    MissingData {
        table: held.table_version < digest.table_version,
        targets: is_behind && lacks_targets(relay, &held, digest),
        boxes: lacks_boxes(held.boxes, digest.boxes),
    }
}

/// Asks a box that knows more for what this one lacks.
fn fetch_what_lacks(relay: &Rc<Relay>, digest: &FleetDigest) {
    ask_for(relay, digest.from.id, lacks(relay, digest));
}

fn ask_for(relay: &Rc<Relay>, id: BoxId, lacks: MissingData) {
    if !lacks.any() || relay.fetching.send_replace(true) {
        return;
    }
    let relay = relay.clone();
    tokio::task::spawn_local(async move {
        fetch_from(&relay, id, lacks).await;
        relay.fetching.send_replace(false);
    });
}

/// Tells all boxes what this box has just learnt of targets from the store.
pub(crate) fn broadcast_target_changes(relay: &Rc<Relay>, changes: TargetChanges) {
    let mut news = gossip_message(relay);
    news.target_changes = Some(changes);
    broadcast_gossip(relay, &news);
}

/// Tells all boxes the declarations that this box has just read in the store.
pub(crate) fn broadcast_declarations(relay: &Rc<Relay>) {
    let mut news = gossip_message(relay);
    news.table = relay.declared().map(|held| shared(&held));
    broadcast_gossip(relay, &news);
}

/// Tells all boxes what this one stands for now: how current its view is, and which targets are known to leave.
pub(crate) fn broadcast_digest(relay: &Rc<Relay>) {
    broadcast_gossip(relay, &gossip_message(relay));
}

/// A box, as its peers call it.
#[derive(Clone)]
pub(crate) struct Handler(pub Rc<Relay>);

impl FleetHandler for Handler {
    fn link_refused(&self, from: Option<SocketAddr>) {
        metrics::counter!("shuntpier_links_refused").increment(1);
        slog::warn!(self.0.log, "link refused: its box holds none of the keys"; "from" => ?from);
    }

    async fn exchange(&self, digest: FleetDigest) -> FleetGossip {
        upsert_member(&self.0, &digest.from, false);
        take_evacuations(&self.0, &digest);
        take_confirmations(&self.0, &digest);
        fetch_what_lacks(&self.0, &digest);
        gossip_message(&self.0)
    }

    async fn fetch(&self, request: FetchRequest) -> FleetGossip {
        upsert_member(&self.0, &request.digest.from, false);
        lacking(&self.0, &request)
    }

    async fn tell(&self, mut news: FleetGossip) {
        forward_gossip(&self.0, &mut news);
        if news.follows_store {
            let now_ms = self.0.now_ms();
            self.0.members.borrow_mut().record_store_follower(now_ms);
        }
        on_telling(&self.0, news);
    }

    async fn hint(&self, hint: TargetHint) {
        self.0.handle_hint(hint);
    }

    async fn acquire(&self, request: AcquireRequest, wait_ms: u32) -> PermitReply {
        // A dispatcher that has just started would refuse for want of engines that it does not know yet.
        self.0.wait_until_synced().await;
        let now_ms = self.0.now_ms();
        self.0.acquire_here(request, now_ms, wait_ms).await
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

    async fn engine_failed(&self, pool: PoolId, target: TargetId, fault: EngineFault) {
        self.0.engine_failed_here(pool, target, fault);
    }

    async fn update(&self, request: UpdateRequest) -> UpdateReply {
        self.0.update_here(&request)
    }

    async fn adopt(&self, from: BoxId, pool: PoolId, open: OpenStreams) {
        if self.0.adopt_here(from, pool, &open) {
            self.0.dispatches_again(pool);
        }
    }

    async fn stand_back(&self, from: BoxId) -> bool {
        self.0.grant_load_shedding(from)
    }

    async fn ends(&self, told: EndsTold) -> EndsTold {
        self.0.on_ends(told)
    }

    async fn rate_token(&self, request: RateTokenRequest) -> RateTokenReply {
        self.0.observe_peer_rate(&request.rate, UNDER_WAY_MS);
        self.0.grant_rate_token(&request).await
    }
}
