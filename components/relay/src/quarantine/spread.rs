//! What boxes tell each other of requests under which targets end: each end at once to all, and to a box that starts what
//! is withheld.

use crate::membership::broadcast::broadcast_groups;
use crate::state::Relay;
use peers::EndsTold;
use prelude::{Acquittal, BoxId, RequestKey, TargetEnd};
use rand::Rng;
use rand::seq::IndexedRandom;
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::sleep;

/// Longest time for a call, as for other calls.
const CALL_LIMIT: Duration = Duration::from_millis(400);
/// Boxes that a new box asks.
const ASKED_MAX: usize = 3;
/// How often a new box asks until one answers, and for how long: it hears of each later end in any case.
const ASK_EACH: Duration = Duration::from_millis(100);
const ASKS_FOR_MS: u64 = 10_000;

impl Relay {
    /// Tells all boxes of ends.
    pub(super) fn tell_ends(self: &Rc<Self>, ends: &[TargetEnd]) {
        if ends.is_empty() {
            return;
        }
        self.tell_all_of_ends(&EndsTold {
            ends: ends.to_vec(),
            ..EndsTold::default()
        });
    }

    /// Tells all boxes that ends are not put down to a request, and takes its record away.
    pub(super) fn tell_acquittal(self: &Rc<Self>, acquittal: Acquittal) {
        self.tell_all_of_ends(&EndsTold {
            acquittals: vec![acquittal],
            ..EndsTold::default()
        });
        self.remove_record(acquittal.request);
    }

    fn tell_all_of_ends(self: &Rc<Self>, told: &EndsTold) {
        let others = self.members.borrow().broadcast_order(self.now_ms());
        for group in broadcast_groups(&others) {
            tokio::task::spawn_local(tell_group(self.clone(), told.clone(), group));
        }
    }

    /// Takes another box's word in, passes it on, and answers with what it may not know.
    pub(crate) fn handle_crash_report(self: &Rc<Self>, mut told: EndsTold) -> EndsTold {
        for id in std::mem::take(&mut told.pass_on) {
            tokio::task::spawn_local(tell_group(self.clone(), told.clone(), vec![id]));
        }
        self.take_told(&told);
        let now_ms = self.now_ms();
        let quarantine = self.quarantine.borrow();
        let ends = match told.asks_all {
            true => quarantine.crashes_of_withheld(now_ms),
            false => {
                let requests: BTreeSet<RequestKey> =
                    told.ends.iter().map(|end| end.request).collect();
                let of = |request: RequestKey| quarantine.crashes_of(request, now_ms);
                requests.into_iter().flat_map(of).collect()
            }
        };
        EndsTold {
            ends,
            ..EndsTold::default()
        }
    }

    fn take_told(&self, told: &EndsTold) {
        self.take_ends(&told.ends, "peer");
        let now_ms = self.now_ms();
        for acquittal in &told.acquittals {
            let is_news = self
                .quarantine
                .borrow_mut()
                .apply_acquittal(acquittal, now_ms);
            if is_news {
                slog::info!(self.log, "request acquitted"; "request" => %acquittal.request,
                    "by" => ?acquittal.by, "source" => "peer");
            }
        }
    }

    /// Asks some boxes what is withheld. False where none answers.
    pub(super) async fn ask_what_is_withheld(&self) -> bool {
        let others = self.members.borrow().others();
        let asked = asked_of(&others, &mut rand::rng()).into_iter().map(|id| {
            let told = EndsTold {
                asks_all: true,
                ..EndsTold::default()
            };
            self.tell_one(id, told)
        });
        let answered = futures::future::join_all(asked).await;
        answered.into_iter().any(|answered| answered)
    }

    /// Tells one box, and takes in what it answers. False where it does not answer.
    async fn tell_one(&self, id: BoxId, told: EndsTold) -> bool {
        let call = self
            .peers
            .call(id, CALL_LIMIT, |client, context| async move {
                client.ends(context, told).await
            });
        let answer = self.record_peer_result(id, call.await, "ends");
        if let Some(answer) = &answer {
            self.take_told(answer);
        }
        answer.is_some()
    }
}

/// The boxes that one asks, drawn from all others: boxes that start at once would else all ask the same ones.
fn asked_of(others: &[BoxId], random: &mut impl Rng) -> Vec<BoxId> {
    others.choose_multiple(random, ASKED_MAX).copied().collect()
}

/// Asks what is withheld, on a box that has just started, as soon as it knows another.
pub(super) async fn ask_at_start(relay: Rc<Relay>) {
    let until_ms = relay.now_ms() + ASKS_FOR_MS;
    relay.wait_for_seeds().await;
    while relay.now_ms() < until_ms && !relay.ask_what_is_withheld().await {
        sleep(ASK_EACH).await;
    }
}

/// Tells the first box of a group, or the next where that one does not answer.
async fn tell_group(relay: Rc<Relay>, mut told: EndsTold, group: Vec<BoxId>) {
    let mut rest = &group[..];
    while let Some((first, others)) = rest.split_first() {
        rest = others;
        told.pass_on = others.to_vec();
        if relay.tell_one(*first, told.clone()).await {
            return;
        }
    }
}

#[cfg(test)]
#[path = "spread_tests.rs"]
mod tests;
