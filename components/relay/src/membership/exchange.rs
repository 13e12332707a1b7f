//! Anti-entropy: each box compares what it knows with one other at a time, and asks whoever knows more for what it
//! lacks. What a broadcast missed is found so, and a box that starts learns so what its seeds know.

use crate::membership::gossip::handle_gossip;
use crate::membership::missing::MissingData;
use crate::state::Relay;
use crate::watch::election::{View, watcher_role};
use peers::FetchRequest;
use prelude::BoxId;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::sleep;

/// How often a box exchanges what it knows with one other.
const EXCHANGE_EACH: Duration = Duration::from_millis(500);
/// The same while it knows no list of targets, and may serve nobody.
const LEARN_EACH: Duration = Duration::from_millis(150);
/// One exchange of so many goes to any box, the others to boxes of the same data centre: bytes between data centres are
/// paid for, and two boxes in each hear of everything by broadcast.
const ANYWHERE_EACH: usize = 4;
/// Boxes that a new box greets: the first in rank, who tell it all they know, and some that may follow them.
const GREETED_MAX: usize = 8;
/// Longest time for a call.
const CALL_LIMIT: Duration = Duration::from_millis(400);
/// The same for what is long: 100 KB take 0.1 s on a narrow link that others use too.
const FETCH_LIMIT: Duration = Duration::from_millis(1_000);

/// Exchanges what this box knows with one other after another, for as long as it lives.
pub(crate) async fn run_exchanges(relay: Rc<Relay>) {
    meet_seeds(&relay).await;
    let mut turn = usize::from(relay.life as u16);
    loop {
        let pause = match relay.knows(View::Targets) {
            true => EXCHANGE_EACH,
            false => LEARN_EACH,
        };
        sleep(pause).await;
        forget_silent(&relay);
        turn = turn.wrapping_add(1);
        match partner(&relay, turn) {
            Some(id) => {
                exchange_with(&relay, id).await;
            }
            None => meet_seeds(&relay).await,
        }
    }
}

fn forget_silent(relay: &Relay) {
    let gone = relay.members.borrow_mut().expire_silent(relay.now_ms());
    for id in gone {
        slog::info!(relay.log, "box forgotten"; "box" => id.0);
        relay.peers.forget(id);
    }
    relay.peers.drop_idle();
}

/// Whose turn it is to be asked; none where no other box is known.
fn partner(relay: &Relay, turn: usize) -> Option<BoxId> {
    let members = relay.members.borrow();
    let near = members.others_in(&relay.identity.data_centre);
    let boxes = match turn.is_multiple_of(ANYWHERE_EACH) || near.is_empty() {
        true => members.others(),
        false => near,
    };
    let at = turn.checked_rem(boxes.len())?;
    boxes.get(at).copied()
}

/// Makes this box known to others: to those that may follow targets, who tell all they know, and to some more.
pub(crate) async fn announce_self(relay: &Rc<Relay>) {
    let now_ms = relay.now_ms();
    let others = relay.members.borrow().ranked(watcher_role(), true, now_ms);
    let greeted = others.iter().take(GREETED_MAX);
    let greetings = greeted.map(|id| exchange_with(relay, *id));
    futures::future::join_all(greetings).await;
}

/// Exchanges what this box knows with another.
pub(crate) async fn exchange_with(relay: &Rc<Relay>, id: BoxId) {
    let digest = relay.digest();
    let call = relay
        .peers
        .call(id, CALL_LIMIT, |client, context| async move {
            client.exchange(context, digest).await
        });
    if let Some(news) = relay.heard_from(id, call.await, "exchange") {
        handle_gossip(relay, news);
    }
}

/// Gets from a box what this one lacks.
pub(crate) async fn fetch_from(relay: &Rc<Relay>, id: BoxId, lacks: MissingData) {
    slog::debug!(relay.log, "asks for what it lacks"; "of" => id.0, "lacks" => ?lacks);
    let summary = || relay.targets.borrow().summary();
    let request = FetchRequest {
        digest: relay.digest(),
        targets: lacks.targets.then(summary),
    };
    metrics::counter!("shuntpier_fetches").increment(1);
    let call = relay
        .peers
        .call(id, FETCH_LIMIT, |client, context| async move {
            client.fetch(context, request).await
        });
    if let Some(news) = relay.heard_from(id, call.await, "fetch") {
        handle_gossip(relay, news);
    }
}

/// Asks the boxes that the settings name, which may be gone.
async fn meet_seeds(relay: &Rc<Relay>) {
    let seeds = relay.file().seeds.clone();
    let own = relay.identity.peers_address;
    let others = seeds.into_iter().filter(|seed| *seed != own).enumerate();
    let asked = others.map(|(at, seed)| meet_seed(relay, at, seed));
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
        Ok(news) => {
            handle_gossip(relay, news);
            let mut fetching = relay.fetching.subscribe();
            // What the seed knows more is on its way; whoever waits for seeds waits for that.
            let _ = fetching.wait_for(|fetching| !fetching).await;
        }
        Err(error) => {
            slog::info!(relay.log, "seed did not answer"; "address" => %seed, "error" => %error);
        }
    }
    relay.peers.forget(id);
}
