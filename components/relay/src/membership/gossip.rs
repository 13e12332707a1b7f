//! Builds and applies gossip between boxes: the operators' declarations, the target list, evacuated data centres and known
//! boxes. The transport is in [`crate::membership::broadcast`] and [`crate::membership::exchange`].

use crate::membership::broadcast::{broadcast_gossip, forward_gossip};
use crate::membership::clocks::{NotBefore, PeerClocks};
use crate::membership::compression::decompress;
use crate::membership::exchange::fetch_from;
use crate::membership::members::MemberUpdate;
use crate::membership::missing::MissingData;
use crate::state::{Declared, Relay};
use crate::watch::election::View;
use crate::watch::era::EraSource;
use crate::watch::targets::Change;
use peers::{
    AcquireRequest, ClockReading, EndsTold, EngineFault, FetchRequest, FleetCard, FleetDigest,
    FleetGossip, FleetHandler, LentRetries, OpenStreams, PermitReply, RateTokenReply,
    RateTokenRequest, RelocateReply, RelocateRequest, RetryLoanRequest, SharedTable, TargetChanges,
    TargetHint, TargetPatch, TargetSummary, UpdateReply, UpdateRequest,
};
use prelude::{BoxId, PermitId, PoolId, TargetId};
use std::net::SocketAddr;
use std::rc::Rc;

/// Boxes listed in one fetch response, half of them those with the widest links. The others are learnt from the store and from
/// their own announcements; when the whole fleet starts, a box receives about twenty such responses.
const MAX_LISTED_BOXES: usize = 48;
/// A box that knows less than this share of the boxes that a peer knows fetches more from it.
const MIN_KNOWN_BOXES_SHARE: f64 = 0.9;

/// Adds or updates a box by its card. `keyed` says whether the card comes from the box's key in the store.
pub(crate) fn upsert_member(relay: &Relay, card: &FleetCard, keyed: bool) {
    let now_ms = relay.now_ms();
    let was_cut_off = !keyed && relay.has_lost_all_peers(now_ms);
    let update = relay
        .members
        .borrow_mut()
        .upsert(card.clone(), keyed, now_ms);
    if card.id == relay.id {
        return;
    }
    if update == MemberUpdate::New {
        relay.peers.forget(card.id);
        slog::info!(relay.log, "box met"; "name" => &*card.name, "box" => card.id.0,
            "life" => card.life, "address" => %card.address, "keyed" => keyed);
    }
    relay.peers.set_address(card.id, card.address);
    relay.handle_peer_contact(update, was_cut_off);
}

/// A gossip message with this box's digest, the targets known to be leaving and the known rate limits.
pub(crate) fn gossip_message(relay: &Relay) -> FleetGossip {
    FleetGossip {
        digest: relay.digest(),
        follows_store: relay.following.get().any(),
        asks_engines: relay.polls_all_engines.get(),
        table: None,
        target_patch: None,
        target_changes: None,
        leaving: relay.targets.borrow().leaving(),
        rates: relay.known_rates(),
        pass_on: Vec::new(),
        boxes: Vec::new(),
    }
}

/// The response to a fetch: whatever the sender of the request is missing.
fn fetch_response(relay: &Relay, request: &FetchRequest) -> FleetGossip {
    let mut response = gossip_message(relay);
    let other = &request.digest;
    let newer = relay
        .declared()
        .filter(|declared| other.table_version < declared.table.version);
    response.table = newer.map(|declared| shared_table(&declared));
    let targets = relay.targets.borrow();
    let summary = request.targets.as_ref();
    let summary = summary.filter(|summary| may_send_targets(relay, summary));
    if let Some(summary) = summary
        && targets.is_known()
        && targets.current_to >= other.targets_current_to
    {
        // An empty patch says that the lists are equal.
        let patch = targets.patch_for(summary, relay.now_ms());
        response.target_patch = Some(patch.unwrap_or_default());
        let whole_list = response
            .target_patch
            .as_ref()
            .filter(|_| needs_whole_list(summary));
        record_list_sent(relay, other.from.id, whole_list);
    }
    if is_missing_boxes(other.boxes, response.digest.boxes) {
        response.boxes = relay.members.borrow().cards(MAX_LISTED_BOXES);
    }
    response
}

/// Whether to answer with target data: if the box needs only changes, or the link budget allows another whole list. A box that
/// gets none fetches it from the next peer that it exchanges digests with.
fn may_send_targets(relay: &Relay, summary: &TargetSummary) -> bool {
    !needs_whole_list(summary) || relay.list_budget.get().is_free(relay.now_ms())
}

fn needs_whole_list(summary: &TargetSummary) -> bool {
    summary.buckets.is_empty()
}

/// Charges the link budget for a whole list sent to a box that had none.
fn record_list_sent(relay: &Relay, to: BoxId, whole_list: Option<&TargetPatch>) {
    if let Some(list) = whole_list {
        let mut budget = relay.list_budget.get();
        let link_mbps = relay.settings().limits.link_mbps;
        budget.record(list.listed.wire_bytes(), link_mbps, relay.now_ms());
        relay.list_budget.set(budget);
        slog::info!(relay.log, "list of targets told"; "to" => to.0,
            "targets" => list.listed.len());
    }
}

fn is_missing_boxes(known: u32, known_to_peer: u32) -> bool {
    f64::from(known) < f64::from(known_to_peer) * MIN_KNOWN_BOXES_SHARE
}

fn shared_table(declared: &Declared) -> SharedTable {
    SharedTable {
        version: declared.table.version,
        packed: declared.packed.clone(),
    }
}

/// Applies a peer's answer to a call that was sent at `sent_ms`, and fetches what this box is still missing.
pub(crate) fn handle_answer(relay: &Rc<Relay>, gossip: FleetGossip, sent_ms: u64) {
    let digest = gossip.digest.clone();
    let reading = ClockReading {
        incarnation: digest.from.life,
        at_ms: digest.clock_ms.cast_signed(),
    };
    let now_ms = relay.now_ms();
    relay
        .peer_clocks
        .borrow_mut()
        .record(digest.from.id, reading, now_ms);
    apply_gossip(relay, gossip, Some(NotBefore::answer_to(sent_ms)));
    fetch_missing(relay, &digest);
}

/// When a digest was made that was not asked for; none if its sender could not express that on the clock of this box.
fn made_at(relay: &Relay, digest: &FleetDigest) -> Option<NotBefore> {
    PeerClocks::received(digest.made_at?, relay.incarnation)
}

/// Applies a broadcast, and fetches what may be fetched at once from its sender.
fn handle_broadcast(relay: &Rc<Relay>, gossip: FleetGossip) {
    let digest = gossip.digest.clone();
    apply_gossip(relay, gossip, made_at(relay, &digest));
    let knows_list = relay.knows(View::Targets);
    let boxes = relay.members.borrow().peak_box_count();
    let missing = missing_data(relay, &digest).after_broadcast(knows_list, boxes, rand::random());
    fetch(relay, digest.from.id, missing);
}

/// Applies gossip without fetching anything. `made_at` is when its digest was made.
fn apply_gossip(relay: &Rc<Relay>, gossip: FleetGossip, made_at: Option<NotBefore>) {
    upsert_member(relay, &gossip.digest.from, false);
    let now_ms = relay.now_ms();
    relay
        .members
        .borrow_mut()
        .record_reported_count(gossip.digest.boxes, now_ms);
    apply_evacuations(relay, &gossip.digest);
    for card in &gossip.boxes {
        let known = relay.members.borrow().card(card.id).is_some();
        if !known {
            upsert_member(relay, card, false);
        }
    }
    if let Some(table) = gossip.table {
        match decompress(&table.packed) {
            Ok(text) => {
                relay.apply_declarations(&text, "peer");
            }
            Err(error) => slog::warn!(relay.log, "peer declarations rejected";
                "version" => table.version, "error" => %error),
        }
    }
    if gossip.asks_engines {
        relay.other_poller_seen_ms.set(relay.now_ms());
    }
    let patched = apply_patch(relay, &gossip.digest, gossip.target_patch);
    relay.handle_target_changes(&patched, "fetch");
    let mut changes = Vec::new();
    if let Some(received) = gossip.target_changes {
        changes.extend(apply_changes(relay, &gossip.digest, received));
    }
    let leaving = relay.targets.borrow_mut().apply_leaving(&gossip.leaving);
    changes.extend(leaving);
    relay.handle_target_changes(&changes, "peer");
    relay.observe_peer_rates(&gossip.rates, made_at);
    apply_confirmations(relay, &gossip.digest, made_at);
}

fn apply_patch(relay: &Relay, digest: &FleetDigest, patch: Option<TargetPatch>) -> Vec<Change> {
    let current_to = digest.targets_current_to;
    let now_ms = relay.now_ms();
    let mut changes = Vec::new();
    let mut targets = relay.targets.borrow_mut();
    let newer = current_to > targets.current_to || !targets.is_known();
    if let Some(patch) = patch.filter(|_| newer) {
        changes = targets.apply_patch(patch, current_to, now_ms);
        targets.changed_at = targets.changed_at.max(digest.targets_changed_at);
    } else if targets.is_known() && targets.changed_at >= digest.targets_changed_at {
        // No target has changed up to that version.
        targets.current_to = targets.current_to.max(current_to);
    }
    changes
}

/// Applies target changes if all earlier changes are known.
fn apply_changes(relay: &Relay, digest: &FleetDigest, received: TargetChanges) -> Vec<Change> {
    let (changed_at, current_to) = (digest.targets_changed_at, digest.targets_current_to);
    let now_ms = relay.now_ms();
    let mut targets = relay.targets.borrow_mut();
    targets.apply_changes(received, changed_at, current_to, now_ms)
}

fn apply_evacuations(relay: &Rc<Relay>, digest: &FleetDigest) {
    let reported = &digest.evacuations;
    let era = digest.targets_current_to.max(reported.version).era();
    relay.observe_era(era, EraSource::Peer);
    if reported.is_kept_in(era) {
        relay.observe_kept_evacuations(era, digest.settles_in_ms);
    }
    let may_be_copied = relay.is_settling();
    relay.update_evacuations("peer", |known| match may_be_copied {
        true => known.join(reported),
        false => known.adopt(reported),
    });
}

/// Adopts a peer's confirmation that a view is current, if this box has at least the peer's version of it. An age that counts
/// from an unknown time says nothing.
fn apply_confirmations(relay: &Relay, digest: &FleetDigest, made_at: Option<NotBefore>) {
    let Some(made_at) = made_at else {
        if digest.table_age_ms.or(digest.targets_age_ms).is_some() {
            metrics::counter!("shuntpier_confirmations_undated").increment(1);
        }
        return;
    };
    let peer = Some(digest.from.id);
    let table_version = relay
        .declared()
        .map_or(0, |declared| declared.table.version);
    let peer_has_older_evacuations = {
        let evacuation = relay.evacuation.borrow();
        evacuation.known().is_newer_than(&digest.evacuations)
    };
    let same = table_version == digest.table_version && !peer_has_older_evacuations;
    if let Some(age_ms) = digest.table_age_ms.filter(|_| same) {
        relay.confirm(View::Declarations, made_at.earlier_by(age_ms), peer);
    }
    let has_all_changes = relay.targets.borrow().changed_at >= digest.targets_changed_at;
    if let Some(age_ms) = digest.targets_age_ms.filter(|_| has_all_changes) {
        relay.confirm(View::Targets, made_at.earlier_by(age_ms), peer);
    }
}

/// Whether to fetch target changes from a peer that has newer ones. A box without a target list fetches at once.
fn needs_target_fetch(relay: &Relay, own_digest: &FleetDigest, digest: &FleetDigest) -> bool {
    let (own, reported) = (own_digest.targets_changed_at, digest.targets_changed_at);
    if !relay.targets.borrow().is_known() {
        return own < reported;
    }
    let mut missing = relay.missing_changes.get();
    let is_due = missing.is_fetch_due(own, reported, relay.now_ms());
    relay.missing_changes.set(missing);
    is_due
}

/// What this box is missing of the data in a peer's digest.
fn missing_data(relay: &Relay, digest: &FleetDigest) -> MissingData {
    let own_digest = relay.digest();
    let is_behind = own_digest.targets_current_to < digest.targets_current_to;
    MissingData {
        table: own_digest.table_version < digest.table_version,
        targets: is_behind && needs_target_fetch(relay, &own_digest, digest),
        boxes: is_missing_boxes(own_digest.boxes, digest.boxes),
    }
}

/// Starts a fetch if a peer's digest shows that this box is missing data.
fn fetch_missing(relay: &Rc<Relay>, digest: &FleetDigest) {
    fetch(relay, digest.from.id, missing_data(relay, digest));
}

fn fetch(relay: &Rc<Relay>, id: BoxId, missing: MissingData) {
    if !missing.any() || relay.fetching.send_replace(true) {
        return;
    }
    let relay = relay.clone();
    tokio::task::spawn_local(async move {
        fetch_from(&relay, id, missing).await;
        relay.fetching.send_replace(false);
    });
}

/// Broadcasts target changes that this box has just read from the store.
pub(crate) fn broadcast_target_changes(relay: &Rc<Relay>, changes: TargetChanges) {
    let mut gossip = gossip_message(relay);
    gossip.target_changes = Some(changes);
    broadcast_gossip(relay, &gossip);
}

/// Broadcasts the declarations that this box has just read from the store.
pub(crate) fn broadcast_declarations(relay: &Rc<Relay>) {
    let mut gossip = gossip_message(relay);
    gossip.table = relay.declared().map(|declared| shared_table(&declared));
    broadcast_gossip(relay, &gossip);
}

/// Broadcasts this box's digest: how current its views are, and which targets are known to be leaving.
pub(crate) fn broadcast_digest(relay: &Rc<Relay>) {
    broadcast_gossip(relay, &gossip_message(relay));
}

/// Serves the calls of peers.
#[derive(Clone)]
pub(crate) struct Handler(pub Rc<Relay>);

impl FleetHandler for Handler {
    fn link_refused(&self, from: Option<SocketAddr>) {
        metrics::counter!("shuntpier_links_refused").increment(1);
        slog::warn!(self.0.log, "link refused: its box holds none of the keys"; "from" => ?from);
    }

    async fn exchange(&self, digest: FleetDigest) -> FleetGossip {
        upsert_member(&self.0, &digest.from, false);
        apply_evacuations(&self.0, &digest);
        apply_confirmations(&self.0, &digest, made_at(&self.0, &digest));
        fetch_missing(&self.0, &digest);
        gossip_message(&self.0)
    }

    async fn fetch(&self, request: FetchRequest) -> FleetGossip {
        upsert_member(&self.0, &request.digest.from, false);
        fetch_response(&self.0, &request)
    }

    async fn tell(&self, mut gossip: FleetGossip) -> ClockReading {
        let made_at = made_at(&self.0, &gossip.digest);
        forward_gossip(&self.0, &mut gossip, made_at);
        if gossip.follows_store {
            let now_ms = self.0.now_ms();
            self.0.members.borrow_mut().record_store_follower(now_ms);
        }
        handle_broadcast(&self.0, gossip);
        self.0.clock_reading()
    }

    async fn hint(&self, hint: TargetHint) {
        self.0.handle_hint(hint);
    }

    async fn acquire(&self, request: AcquireRequest, wait_ms: u32) -> PermitReply {
        // A dispatcher that has just started does not know its engines yet, and would refuse the request.
        self.0.wait_until_synced().await;
        let now_ms = self.0.now_ms();
        self.0.acquire_local(request, now_ms, wait_ms).await
    }

    async fn withdraw(&self, pool: PoolId, permit: PermitId) {
        self.0.withdraw_local(pool, permit);
    }

    async fn relocate(&self, request: RelocateRequest) -> RelocateReply {
        self.0.relocate_local(&request).await
    }

    async fn relocated(&self, pool: PoolId, permit: PermitId, from: TargetId) {
        self.0.release_transfer_local(pool, permit, from);
    }

    async fn engine_failed(&self, pool: PoolId, target: TargetId, fault: EngineFault) {
        self.0.engine_failed_local(pool, target, fault);
    }

    async fn update(&self, request: UpdateRequest) -> UpdateReply {
        self.0.update_local(&request)
    }

    async fn adopt(&self, from: BoxId, pool: PoolId, open: OpenStreams) {
        if self.0.adopt_local(from, pool, &open) {
            self.0.announce_dispatcher(pool);
        }
    }

    async fn stand_back(&self, from: BoxId) -> bool {
        self.0.grant_load_shedding(from)
    }

    async fn ends(&self, report: EndsTold) -> EndsTold {
        self.0.handle_crash_report(report)
    }

    async fn rate_token(&self, request: RateTokenRequest) -> RateTokenReply {
        self.0.observe_peer_rate(&request.rate, None);
        self.0.grant_rate_token(&request).await
    }

    async fn lend_retries(&self, request: RetryLoanRequest) -> Option<LentRetries> {
        self.0.lend_retries(&request)
    }
}
