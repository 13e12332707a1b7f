//! This box's own key in the store, and the keys of the others: how boxes find each other without being
//! named anywhere.

use crate::membership::exchange::announce_self;
use crate::membership::gossip::{broadcast_digest, upsert_member};
use crate::membership::key_lease::{HeldLease, KeyTerms};
use crate::membership::members::INCARNATION_UNKNOWN;
use crate::state::Relay;
use crate::watch::backoff::Backoff;
use crate::watch::election::CONFIRM_EACH;
use peers::FleetCard;
use platform::Lease;
use prelude::BoxId;
use std::rc::Rc;
use std::time::Duration;
use store::{KeyValue, StoreError, Transaction, Versioned, Write};
use tokio::time::{sleep, timeout};

/// What begins the keys of boxes.
const BOX_PREFIX: &str = "boxes/";
/// How often it is looked whether the keys of all boxes are to be read: a tenth of a call's price each time.
const LOOK_EACH: Duration = Duration::from_secs(5);
/// A box that peers know writes its key at a moment within this time: all boxes may start at once.
const FIRST_KEY_WITHIN: Duration = Duration::from_millis(2_000);
/// When a box that has just started looks again, and once more when all that started with it have written their keys.
const SECOND_LOOK: Duration = Duration::from_millis(1_500);
const THIRD_LOOK: Duration = Duration::from_millis(3_000);
/// How long a box that knows nobody waits for the keys of all boxes, before it writes its own.
const FIRST_LOOK_LIMIT: Duration = Duration::from_millis(300);
/// The shortest pause before a call that failed is made again, where nothing is followed by that call.
const AGAIN_EACH_MIN: Duration = Duration::from_millis(1_600);

/// Keeps this box's key for as long as it lives, and takes it away when it stops.
pub(crate) async fn keep_registration(relay: Rc<Relay>) {
    let mut held = None;
    let mut backoff = Backoff::patient();
    let mut pause = first_pause(&relay).await;
    loop {
        tokio::select! {
            () = sleep(pause) => {}
            // What it begins to follow is to be confirmed soon.
            () = relay.begins_to_follow.notified() => {}
            () = relay.stopping.cancelled() => {
                if let Some(HeldLease { lease, .. }) = held {
                    let ended = relay.store.revoke_lease(lease).await;
                    if let Err(error) = ended {
                        slog::info!(relay.log, "own key not taken away"; "error" => %error);
                    }
                }
                return;
            }
        }
        let kept = keep_once(&relay, &mut held).await;
        relay.store_fails.set(kept.is_err());
        pause = match kept {
            Ok(()) => {
                backoff.reset();
                match confirm_followed(&relay) {
                    true => CONFIRM_EACH,
                    false => terms_of(held).renew_each(),
                }
            }
            Err(error) => {
                slog::info!(relay.log, "own key not kept"; "error" => %error);
                metrics::counter!("shuntpier_store_failures", "of" => "presence").increment(1);
                if backoff.is_fresh() {
                    // Watches that hang on a dead channel are opened anew.
                    relay.store_doubted.notify_waiters();
                }
                let next = backoff.next();
                match relay.following.get().any() {
                    true => next,
                    false => next.max(AGAIN_EACH_MIN),
                }
            }
        };
    }
}

/// How long a box that has just started leaves its key: not at all where no peer knows it.
async fn first_pause(relay: &Relay) -> Duration {
    relay.wait_for_seeds().await;
    if !relay.members.borrow().others().is_empty() {
        return SECOND_LOOK + FIRST_KEY_WITHIN.mul_f64(rand::random());
    }
    let mut read = relay.boxes_read.subscribe();
    // Where the store does not answer, the key cannot be written either.
    let _ = timeout(FIRST_LOOK_LIMIT, read.wait_for(|read| *read)).await;
    Duration::ZERO
}

/// Says to all boxes, on one that follows the store, that nothing has changed: the store has just answered, and
/// an open watch on it would have told. False where this box follows nothing.
fn confirm_followed(relay: &Rc<Relay>) -> bool {
    let followed = relay.following.get();
    for view in followed.views() {
        relay.confirm(view);
    }
    if followed.any() {
        broadcast_digest(relay);
    }
    followed.any()
}

async fn keep_once(relay: &Relay, held: &mut Option<HeldLease>) -> Result<(), StoreError> {
    let wanted = KeyTerms::for_factor(relay.members.borrow().interval_factor());
    // A box that has just started finds the key of its former life: two writes less.
    let former = || relay.former_lease.take().map(HeldLease::of_former_life);
    let lasting = held.filter(|held| !held.terms.is_short_of(wanted));
    let mut kept = lasting.or_else(former);
    if let Some(lease) = kept {
        // It is tried again where the store does not answer.
        *held = kept;
        kept = renewed(relay, lease).await?;
    }
    *held = match kept {
        Some(_) => kept,
        None => Some(write_key(relay, wanted).await?),
    };
    Ok(())
}

fn terms_of(held: Option<HeldLease>) -> KeyTerms {
    held.map_or(KeyTerms::SHORTEST, |held| held.terms)
}

/// Renews a lease; none where it is over.
async fn renewed(relay: &Relay, held: HeldLease) -> Result<Option<HeldLease>, StoreError> {
    let lives = relay.store.renew(held.lease).await?;
    Ok(lives.then_some(held))
}

/// Writes this box's key under a lease of its own.
async fn write_key(relay: &Relay, terms: KeyTerms) -> Result<HeldLease, StoreError> {
    let granted = relay.store.create_lease(terms.lease_s()).await?;
    let value = serde_json::to_vec(&lasting_card(relay))
        .map_err(|error| StoreError::NotDone(error.to_string()))?;
    let transaction = Transaction {
        compare: Vec::new(),
        writes: vec![Write::Put {
            key: format!("{BOX_PREFIX}{}", relay.identity.name),
            value,
            lease: granted.id,
        }],
    };
    relay.store.transact(&transaction).await?;
    slog::info!(relay.log, "own key written"; "lease" => granted.id, "era" => granted.era,
        "lease_s" => terms.lease_s());
    Ok(HeldLease {
        lease: granted,
        terms,
    })
}

/// What the key says, which may outlast this life of the box.
fn lasting_card(relay: &Relay) -> FleetCard {
    FleetCard {
        life: INCARNATION_UNKNOWN,
        leaving: false,
        ..relay.card()
    }
}

/// Reads the keys of all boxes: at once where no seed named others, and then now and then, as they were some
/// seconds ago. No box watches them: each new box makes itself known to all that it finds.
pub(crate) async fn discover_boxes(relay: Rc<Relay>) {
    let mut backoff = Backoff::patient();
    relay.wait_for_seeds().await;
    let mut begun = !relay.members.borrow().others().is_empty();
    if begun {
        announce_self(&relay).await;
        sleep(SECOND_LOOK).await;
    }
    // Boxes that start together find each other at the second look and the third.
    let mut pauses = [SECOND_LOOK, THIRD_LOOK].into_iter();
    loop {
        let listed = relay.store.list_stale(BOX_PREFIX).await;
        metrics::counter!("shuntpier_store_calls", "of" => "boxes").increment(1);
        match listed {
            Ok((items, _)) => {
                backoff.reset();
                take_keys(&relay, &items);
                relay.boxes_read.send_replace(true);
                if !std::mem::replace(&mut begun, true) {
                    announce_self(&relay).await;
                }
                match pauses.next() {
                    Some(pause) => sleep(pause).await,
                    None => until_list_due(&relay).await,
                }
            }
            Err(error) => {
                slog::info!(relay.log, "boxes not read"; "error" => %error);
                let pause = backoff.next();
                sleep(if begun {
                    pause.max(AGAIN_EACH_MIN)
                } else {
                    pause
                })
                .await;
            }
        }
    }
}

/// Waits until the keys of all boxes are to be read again.
async fn until_list_due(relay: &Relay) {
    let read_ms = relay.now_ms();
    // Boxes that read at one time do not do so for ever.
    let wait = LOOK_EACH.mul_f64(rand::random());
    sleep(wait).await;
    while !relay.members.borrow().is_list_due(relay.now_ms() - read_ms) {
        sleep(LOOK_EACH).await;
    }
}

fn take_keys(relay: &Relay, items: &[Versioned]) {
    note_former_lease(relay, items);
    let cards: Vec<FleetCard> = items.iter().filter_map(|item| card(relay, item)).collect();
    let ids: Vec<BoxId> = cards.iter().map(|card| card.id).collect();
    relay.members.borrow_mut().set_keyed(&ids);
    for card in &cards {
        upsert_member(relay, card, true);
    }
}

/// Notes the lease of the key that a former life of this box has left, where it still says the truth.
fn note_former_lease(relay: &Relay, items: &[Versioned]) {
    let is_own = |item: &&Versioned| {
        let name = item.key.strip_prefix(BOX_PREFIX);
        name == Some(relay.identity.name.as_str())
    };
    let own = items.iter().find(is_own).filter(|item| item.lease != 0);
    let says_this = |item: &&Versioned| card(relay, item) == Some(lasting_card(relay));
    if let Some(item) = own.filter(says_this) {
        relay.former_lease.set(Some(Lease {
            id: item.lease,
            era: item.era,
        }));
    }
}

/// The key of a box in the policies, made from its name.
pub(crate) fn box_id(name: &str) -> BoxId {
    BoxId(xxhash_rust::xxh3::xxh3_64(name.as_bytes()) as u32)
}

fn card(relay: &Relay, item: &Versioned) -> Option<FleetCard> {
    match serde_json::from_slice(&item.value) {
        Ok(card) => Some(card),
        Err(error) => {
            slog::warn!(relay.log, "key of a box not used"; "key" => &item.key, "error" => %error);
            None
        }
    }
}
