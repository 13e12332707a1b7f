//! Registration in the store: keeps this box's key, and reads the keys of the others, so that boxes discover each other without
//! being listed anywhere.

use crate::membership::exchange::announce_self;
use crate::membership::gossip::{broadcast_digest, upsert_member};
use crate::membership::key_lease::{HeldLease, KeyTerms};
use crate::membership::members::INCARNATION_UNKNOWN;
use crate::membership::slack::SlackClaim;
use crate::state::Relay;
use crate::watch::backoff::Backoff;
use crate::watch::election::CONFIRM_INTERVAL;
use peers::FleetCard;
use platform::Lease;
use prelude::BoxId;
use std::rc::Rc;
use std::time::Duration;
use store::{Compare, KeyValue, StoreError, Transaction, TransactionResult, Versioned, Write};
use tokio::time::{sleep, timeout};

/// Key prefix of box keys in the store.
const BOX_PREFIX: &str = "boxes/";
/// How often it is checked whether the box keys are due to be read; each check costs about a tenth of a store call.
const DUE_CHECK_INTERVAL: Duration = Duration::from_secs(5);
/// Jitter of the first key write of a box that peers know already, since all boxes may start at once.
const FIRST_KEY_JITTER: Duration = Duration::from_millis(2_000);
/// Pauses of a starting box before its second and third read of the box keys; by the third, all boxes that started with it have
/// written their keys.
const SECOND_READ_DELAY: Duration = Duration::from_millis(1_500);
const THIRD_READ_DELAY: Duration = Duration::from_millis(3_000);
/// How long a box that knows no peer waits for the box keys before it writes its own.
const FIRST_READ_TIMEOUT: Duration = Duration::from_millis(300);
/// Shortest pause before a failed store call is retried on a box that follows no view in the store.
const RETRY_PAUSE_MIN: Duration = Duration::from_millis(1_600);

/// Keeps this box's key in the store while the process runs, and revokes its lease on a graceful stop.
pub(crate) async fn keep_registration(relay: Rc<Relay>) {
    let mut held = None;
    let mut backoff = Backoff::with_long_pauses();
    let mut pause = first_pause(&relay).await;
    loop {
        tokio::select! {
            () = sleep(pause) => {}
            // A newly followed view should be confirmed soon.
            () = relay.follow_started.notified() => {}
            () = relay.stopping.cancelled() => {
                // The next incarnation is to find the key if this one has sent retries.
                if let Some(HeldLease { lease, .. }) = held.filter(|_| !relay.has_recent_retries()) {
                    let revoked = relay.store.revoke_lease(lease).await;
                    if let Err(error) = revoked {
                        slog::info!(relay.log, "own key not removed"; "error" => %error);
                    }
                }
                return;
            }
        }
        let sent_ms = relay.now_ms();
        let kept = renew_or_write_key(&relay, &mut held).await;
        relay.store_failing.set(kept.is_err());
        pause = match kept {
            Ok(()) => {
                backoff.reset();
                match confirm_followed_views(&relay, sent_ms) {
                    true => CONFIRM_INTERVAL,
                    false => terms_of(held).renew_interval(),
                }
            }
            Err(error) => {
                slog::info!(relay.log, "renewing own key failed"; "error" => %error);
                metrics::counter!("shuntpier_store_failures", "of" => "presence").increment(1);
                if backoff.is_reset() {
                    // Makes watches that hang on a dead connection reconnect.
                    relay.store_suspected.notify_waiters();
                }
                let next = backoff.next_pause();
                match relay.following.get().any() {
                    true => next,
                    false => next.max(RETRY_PAUSE_MIN),
                }
            }
        };
    }
}

/// Delay before a starting box writes its key. If no peer knows it, it only waits for the first read of the box keys.
async fn first_pause(relay: &Relay) -> Duration {
    relay.wait_for_seeds().await;
    if !relay.members.borrow().others().is_empty() {
        return SECOND_READ_DELAY + FIRST_KEY_JITTER.mul_f64(rand::random());
    }
    let mut read = relay.boxes_read.subscribe();
    // If the store does not answer, the key cannot be written either.
    let _ = timeout(FIRST_READ_TIMEOUT, read.wait_for(|read| *read)).await;
    Duration::ZERO
}

/// On a box that follows views in the store, broadcasts that they are current: the store has answered a call that was sent at
/// `sent_ms`, and an open watch would have delivered any change. False if this box follows no view.
fn confirm_followed_views(relay: &Rc<Relay>, sent_ms: u64) -> bool {
    let followed = relay.following.get();
    for view in followed.views() {
        relay.confirm_from_store(view, sent_ms);
    }
    if followed.any() {
        broadcast_digest(relay);
    }
    followed.any()
}

async fn renew_or_write_key(relay: &Relay, held: &mut Option<HeldLease>) -> Result<(), StoreError> {
    let wanted = KeyTerms::for_factor(relay.members.borrow().interval_factor());
    // A starting box reuses the key of its previous incarnation, which saves two writes.
    let previous = || {
        relay
            .previous_lease
            .take()
            .map(HeldLease::from_previous_incarnation)
    };
    let started_ms = relay.now_ms();
    let is_registered = held.is_some();
    let reusable = held.filter(|held| !held.terms.is_too_short_for(wanted));
    let mut kept = reusable.or_else(previous);
    if let Some(lease) = kept {
        // Keeps the lease for a retry if the store does not answer.
        *held = kept;
        kept = renew(relay, lease).await?;
    }
    *held = match kept {
        Some(lease) => {
            record_renewal(relay, lease, is_registered, started_ms);
            kept
        }
        None => Some(write_key(relay, wanted).await?),
    };
    Ok(())
}

fn record_renewal(relay: &Relay, held: HeldLease, is_registered: bool, at_ms: u64) {
    let lease_ms = held.terms.lease_s() * 1_000;
    let mut claim = relay.slack_claim.get();
    match is_registered {
        true => claim.record_renewed(at_ms, lease_ms),
        false => claim = SlackClaim::registered(at_ms, lease_ms, false),
    }
    relay.slack_claim.set(claim);
}

fn terms_of(held: Option<HeldLease>) -> KeyTerms {
    held.map_or(KeyTerms::SHORTEST, |held| held.terms)
}

/// Renews a lease; none if it has expired.
async fn renew(relay: &Relay, held: HeldLease) -> Result<Option<HeldLease>, StoreError> {
    let is_alive = relay.store.renew(held.lease).await?;
    Ok(is_alive.then_some(held))
}

/// Writes this box's key under a new lease.
async fn write_key(relay: &Relay, terms: KeyTerms) -> Result<HeldLease, StoreError> {
    let started_ms = relay.now_ms();
    let granted = relay.store.create_lease(terms.lease_s()).await?;
    let value = serde_json::to_vec(&registered_card(relay))
        .map_err(|error| StoreError::NotDone(error.to_string()))?;
    let key = format!("{BOX_PREFIX}{}", relay.identity.name);
    let mut transaction = Transaction {
        compare: Vec::new(),
        writes: vec![Write::Put {
            key: key.clone(),
            value,
            lease: granted.id,
        }],
    };
    let mut is_first = relay.members.borrow().others().is_empty();
    if is_first {
        transaction.compare.push(Compare { key, revision: 0 });
    }
    if let TransactionResult::Conflict { .. } = relay.store.transact(&transaction).await? {
        is_first = false;
        transaction.compare.clear();
        relay.store.transact(&transaction).await?;
    }
    is_first = is_first && is_only_key(relay).await;
    let lease_ms = terms.lease_s() * 1_000;
    relay
        .slack_claim
        .set(SlackClaim::registered(started_ms, lease_ms, is_first));
    slog::info!(relay.log, "own key written"; "lease" => granted.id, "era" => granted.era,
        "lease_s" => terms.lease_s(), "is_first" => is_first);
    Ok(HeldLease {
        lease: granted,
        terms,
    })
}

/// Whether there is no key of another box. It is read after this box's own was written: of two boxes that start at the same time,
/// at least one sees the other.
async fn is_only_key(relay: &Relay) -> bool {
    let listed = relay.store.list(BOX_PREFIX).await;
    listed.is_ok_and(|(items, _)| items.len() <= 1)
}

/// The card in this box's key. The key may outlive this incarnation, so the card leaves out what is specific to it.
fn registered_card(relay: &Relay) -> FleetCard {
    FleetCard {
        life: INCARNATION_UNKNOWN,
        leaving: false,
        ..relay.card()
    }
}

/// Discovers boxes by reading all box keys periodically, the first time at once if the seeds reported no boxes. Reads may be some
/// seconds stale. No box watches the keys: each new box announces itself to those that it finds.
pub(crate) async fn discover_boxes(relay: Rc<Relay>) {
    let mut backoff = Backoff::with_long_pauses();
    relay.wait_for_seeds().await;
    let mut is_announced = !relay.members.borrow().others().is_empty();
    if is_announced {
        announce_self(&relay).await;
        sleep(SECOND_READ_DELAY).await;
    }
    // Boxes that start together find each other at the second or third read.
    let mut pauses = [SECOND_READ_DELAY, THIRD_READ_DELAY].into_iter();
    loop {
        let listed = relay.store.list_stale(BOX_PREFIX).await;
        metrics::counter!("shuntpier_store_calls", "of" => "boxes").increment(1);
        match listed {
            Ok((items, _)) => {
                backoff.reset();
                apply_keys(&relay, &items);
                relay.boxes_read.send_replace(true);
                if !std::mem::replace(&mut is_announced, true) {
                    announce_self(&relay).await;
                }
                match pauses.next() {
                    Some(pause) => sleep(pause).await,
                    None => wait_until_list_due(&relay).await,
                }
            }
            Err(error) => {
                slog::info!(relay.log, "reading box keys failed"; "error" => %error);
                let pause = backoff.next_pause();
                sleep(if is_announced {
                    pause.max(RETRY_PAUSE_MIN)
                } else {
                    pause
                })
                .await;
            }
        }
    }
}

/// Waits until the box keys are due to be read again.
async fn wait_until_list_due(relay: &Relay) {
    let read_ms = relay.now_ms();
    // Jitter, so that boxes which read at the same time drift apart.
    let jitter = DUE_CHECK_INTERVAL.mul_f64(rand::random());
    sleep(jitter).await;
    while !relay.members.borrow().is_list_due(relay.now_ms() - read_ms) {
        sleep(DUE_CHECK_INTERVAL).await;
    }
}

fn apply_keys(relay: &Relay, items: &[Versioned]) {
    record_previous_lease(relay, items);
    let cards: Vec<FleetCard> = items.iter().filter_map(|item| card(relay, item)).collect();
    let ids: Vec<BoxId> = cards.iter().map(|card| card.id).collect();
    relay.members.borrow_mut().set_keyed(&ids);
    for card in &cards {
        upsert_member(relay, card, true);
    }
}

/// Stores the lease of the key that a previous incarnation of this box left, if the card in it is still correct.
fn record_previous_lease(relay: &Relay, items: &[Versioned]) {
    let is_own = |item: &&Versioned| {
        let name = item.key.strip_prefix(BOX_PREFIX);
        name == Some(relay.identity.name.as_str())
    };
    let own = items.iter().find(is_own).filter(|item| item.lease != 0);
    let is_current = |item: &&Versioned| card(relay, item) == Some(registered_card(relay));
    if let Some(item) = own.filter(is_current) {
        relay.previous_lease.set(Some(Lease {
            id: item.lease,
            era: item.era,
        }));
    }
}

/// The id of a box, a hash of its name.
pub(crate) fn box_id(name: &str) -> BoxId {
    BoxId(xxhash_rust::xxh3::xxh3_64(name.as_bytes()) as u32)
}

fn card(relay: &Relay, item: &Versioned) -> Option<FleetCard> {
    match serde_json::from_slice(&item.value) {
        Ok(card) => Some(card),
        Err(error) => {
            slog::warn!(relay.log, "box key rejected"; "key" => &item.key, "error" => %error);
            None
        }
    }
}
