//! This box's own key in the store, and the keys of the others: how boxes find each other without being
//! named anywhere.

use crate::backoff::Backoff;
use crate::news::{greet, meet, tell_current};
use crate::state::Relay;
use crate::turn::CONFIRM_EACH;
use peers::FleetCard;
use prelude::BoxId;
use std::rc::Rc;
use std::time::Duration;
use store::{KeyValue, StoreError, Transaction, Versioned, Write};
use tokio::time::sleep;

/// What begins the keys of boxes.
const BOX_PREFIX: &str = "boxes/";
/// Time after which the key of a box that says nothing goes.
const LEASE_S: u64 = 20;
/// How often the keys of all boxes are read: a tenth of a call's price each time.
const READ_EACH: Duration = Duration::from_secs(16);
/// When a box that has just started looks again.
const SECOND_LOOK: Duration = Duration::from_millis(1_500);
/// How often the lease is renewed.
const RENEW_EACH: Duration = Duration::from_millis(6_000);

/// Keeps this box's key for as long as it lives, and takes it away when it stops.
pub(crate) async fn keep_key(relay: Rc<Relay>) {
    let mut lease = None;
    let mut backoff = Backoff::patient();
    loop {
        let kept = keep_once(&relay, &mut lease).await;
        relay.store_fails.set(kept.is_err());
        let pause = match kept {
            Ok(()) => {
                backoff.reset();
                match confirm_followed(&relay) {
                    true => CONFIRM_EACH,
                    false => RENEW_EACH,
                }
            }
            Err(error) => {
                slog::info!(relay.log, "own key not kept"; "error" => %error);
                metrics::counter!("shuntpier_store_failures", "of" => "presence").increment(1);
                if backoff.is_fresh() {
                    // Watches that hang on a dead channel are opened anew.
                    relay.store_doubted.notify_waiters();
                }
                backoff.next()
            }
        };
        tokio::select! {
            () = sleep(pause) => {}
            // What it begins to follow is to be confirmed soon.
            () = relay.begins_to_follow.notified() => {}
            () = relay.stopping.cancelled() => {
                if let Some(lease) = lease {
                    let ended = relay.store.end_lease(lease).await;
                    if let Err(error) = ended {
                        slog::info!(relay.log, "own key not taken away"; "error" => %error);
                    }
                }
                return;
            }
        }
    }
}

/// Says to all boxes, on one that follows the store, that nothing has changed: the store has just answered, and
/// an open watch on it would have told. False where this box follows nothing.
fn confirm_followed(relay: &Rc<Relay>) -> bool {
    let followed = relay.following.get();
    for view in followed.views() {
        relay.confirm(view);
    }
    if followed.any() {
        tell_current(relay);
    }
    followed.any()
}

async fn keep_once(relay: &Relay, lease: &mut Option<u64>) -> Result<(), StoreError> {
    if let Some(held) = *lease {
        if relay.store.renew_lease(held).await? {
            return Ok(());
        }
        *lease = None;
    }
    let granted = relay.store.grant_lease(LEASE_S).await?;
    let value = serde_json::to_vec(&relay.card())
        .map_err(|error| StoreError::NotDone(error.to_string()))?;
    let transaction = Transaction {
        compare: Vec::new(),
        writes: vec![Write::Put {
            key: format!("{BOX_PREFIX}{}", relay.file.identity.name),
            value,
            lease: granted,
        }],
    };
    relay.store.transact(&transaction).await?;
    *lease = Some(granted);
    slog::info!(relay.log, "own key written"; "lease" => granted);
    Ok(())
}

/// Reads the keys of all boxes: at once where no seed named others, and then now and then, as they were some
/// seconds ago. No box watches them: each new box makes itself known to all that it finds.
pub(crate) async fn read_boxes(relay: Rc<Relay>) {
    let mut backoff = Backoff::patient();
    relay.seeds_asked().await;
    let mut begun = !relay.members.borrow().others().is_empty();
    if begun {
        greet(&relay).await;
        sleep(SECOND_LOOK).await;
    }
    // Boxes that start together find each other at the second look.
    let mut pause = SECOND_LOOK;
    loop {
        let listed = match begun {
            false => relay.store.list(BOX_PREFIX).await,
            true => relay.store.list_stale(BOX_PREFIX).await,
        };
        metrics::counter!("shuntpier_store_calls", "of" => "boxes").increment(1);
        match listed {
            Ok((items, _)) => {
                backoff.reset();
                take_keys(&relay, &items);
                if !std::mem::replace(&mut begun, true) {
                    greet(&relay).await;
                }
                sleep(pause).await;
                pause = READ_EACH;
            }
            Err(error) => {
                slog::info!(relay.log, "boxes not read"; "error" => %error);
                backoff.pause().await;
            }
        }
    }
}

fn take_keys(relay: &Relay, items: &[Versioned]) {
    let cards: Vec<FleetCard> = items.iter().filter_map(|item| card(relay, item)).collect();
    let ids: Vec<BoxId> = cards.iter().map(|card| card.id).collect();
    relay.members.borrow_mut().keys_are(&ids);
    for card in &cards {
        meet(relay, card, true);
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
