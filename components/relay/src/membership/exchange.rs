//! Anti-entropy: each box periodically exchanges digests with one other box, and fetches what it is missing from a box that has
//! more. This repairs lost broadcasts, and lets a starting box learn what its seeds know.

use crate::membership::clocks::NotBefore;
use crate::membership::gossip::handle_answer;
use crate::membership::missing::MissingData;
use crate::state::Relay;
use crate::watch::election::{View, watcher_role};
use peers::FetchRequest;
use prelude::BoxId;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::sleep;

/// Pause between two exchanges of a box.
const EXCHANGE_INTERVAL: Duration = Duration::from_millis(500);
/// The same while the box has no target list and cannot serve requests.
const SYNC_INTERVAL: Duration = Duration::from_millis(150);
/// One of every this many exchanges is with any box, the others with boxes of the same data centre: traffic between data centres
/// is billed, and two boxes in each data centre receive every broadcast.
const GLOBAL_EXCHANGE_PERIOD: usize = 4;
/// Boxes that a new box announces itself to: the first in rank for the watcher role, which share all they know, and some that
/// may succeed them.
const MAX_ANNOUNCE_RECIPIENTS: usize = 8;
/// Timeout of an exchange.
const EXCHANGE_TIMEOUT: Duration = Duration::from_millis(400);
/// Timeout of a fetch, whose response is larger: 100 KB take 0.1 s on a narrow link that is shared.
const FETCH_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Exchanges digests with one box after another until the process ends.
pub(crate) async fn run_exchanges(relay: Rc<Relay>) {
    query_seeds(&relay).await;
    let mut round = usize::from(relay.incarnation as u16);
    loop {
        let pause = match relay.knows(View::Targets) {
            true => EXCHANGE_INTERVAL,
            false => SYNC_INTERVAL,
        };
        sleep(pause).await;
        remove_silent(&relay);
        round = round.wrapping_add(1);
        match choose_peer(&relay, round) {
            Some(id) => {
                exchange_with(&relay, id).await;
            }
            None => query_seeds(&relay).await,
        }
    }
}

fn remove_silent(relay: &Relay) {
    let gone = relay.members.borrow_mut().expire_silent(relay.now_ms());
    for id in gone {
        slog::info!(relay.log, "silent box removed"; "box" => id.0);
        relay.peers.forget(id);
        relay.peer_clocks.borrow_mut().forget(id);
    }
    relay.peers.drop_idle();
}

/// The box for this round's exchange; none if no other box is known.
fn choose_peer(relay: &Relay, round: usize) -> Option<BoxId> {
    let members = relay.members.borrow();
    let near = members.others_in(&relay.identity.data_centre);
    let boxes = match round.is_multiple_of(GLOBAL_EXCHANGE_PERIOD) || near.is_empty() {
        true => members.others(),
        false => near,
    };
    let index = round.checked_rem(boxes.len())?;
    boxes.get(index).copied()
}

/// Announces this box to the boxes that rank first for the watcher role, by an exchange with each.
pub(crate) async fn announce_self(relay: &Rc<Relay>) {
    let now_ms = relay.now_ms();
    let others = relay.members.borrow().ranked(watcher_role(), true, now_ms);
    let recipients = others.iter().take(MAX_ANNOUNCE_RECIPIENTS);
    let exchanges = recipients.map(|id| exchange_with(relay, *id));
    futures::future::join_all(exchanges).await;
}

/// Exchanges digests with another box, and fetches what this one is missing.
pub(crate) async fn exchange_with(relay: &Rc<Relay>, id: BoxId) {
    let sent_ms = relay.now_ms();
    let mut digest = relay.digest();
    let made_at = NotBefore::at(digest.clock_ms);
    digest.made_at = relay.peer_clocks.borrow().on_clock_of(id, made_at, sent_ms);
    let call = relay
        .peers
        .call(id, EXCHANGE_TIMEOUT, |client, context| async move {
            client.exchange(context, digest).await
        });
    if let Some(gossip) = relay.record_peer_result(id, call.await, "exchange") {
        handle_answer(relay, gossip, sent_ms);
    }
}

/// Fetches the missing data from a box.
pub(crate) async fn fetch_from(relay: &Rc<Relay>, id: BoxId, missing: MissingData) {
    slog::debug!(relay.log, "fetching missing data"; "of" => id.0, "missing" => ?missing);
    let sent_ms = relay.now_ms();
    let summary = || relay.targets.borrow().summary();
    let request = FetchRequest {
        digest: relay.digest(),
        targets: missing.targets.then(summary),
    };
    metrics::counter!("shuntpier_fetches").increment(1);
    let call = relay
        .peers
        .call(id, FETCH_TIMEOUT, |client, context| async move {
            client.fetch(context, request).await
        });
    if let Some(gossip) = relay.record_peer_result(id, call.await, "fetch") {
        handle_answer(relay, gossip, sent_ms);
    }
}

/// Exchanges digests with the seeds of the settings, some of which may be gone.
async fn query_seeds(relay: &Rc<Relay>) {
    let seeds = relay.settings().seeds.clone();
    let own = relay.identity.peers_address;
    let others = seeds.into_iter().filter(|seed| *seed != own).enumerate();
    let queries = others.map(|(index, seed)| query_seed(relay, index, seed));
    futures::future::join_all(queries).await;
    relay.seeds_queried.send_replace(true);
}

async fn query_seed(relay: &Rc<Relay>, index: usize, seed: SocketAddr) {
    // Seeds have addresses and no names: they get placeholder ids that no box has.
    let id = BoxId(u32::MAX - index as u32);
    relay.peers.set_address(id, seed);
    let sent_ms = relay.now_ms();
    let digest = relay.digest();
    let call = relay
        .peers
        .call(id, EXCHANGE_TIMEOUT, |client, context| async move {
            client.exchange(context, digest).await
        });
    match call.await {
        Ok(gossip) => {
            handle_answer(relay, gossip, sent_ms);
            let mut fetching = relay.fetching.subscribe();
            // A fetch from the seed may be in progress, and waiting for the seeds includes it.
            let _ = fetching.wait_for(|fetching| !fetching).await;
        }
        Err(error) => {
            slog::info!(relay.log, "seed did not answer"; "address" => %seed, "error" => %error);
        }
    }
    relay.peers.forget(id);
}
