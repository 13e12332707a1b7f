//! Exchange between boxes about requests and prompt parts that crash targets. Crashes and acquittals are broadcast to all boxes
//! at once; a box that starts fetches the withheld requests from its peers. A box that is about to withhold a prompt part asks
//! others whether they were answered.

use crate::membership::broadcast::broadcast_groups;
use crate::rate_limit::announced::TRANSIT_MAX_MS;
use crate::state::Relay;
use peers::EndsTold;
use policy::WithheldCause;
use prelude::{Acquittal, AcquittedBy, BoxId, Suspect, TargetEnd};
use rand::Rng;
use rand::seq::IndexedRandom;
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::sleep;

/// Timeout of a call to a peer, as for other calls between boxes.
const CALL_TIMEOUT: Duration = Duration::from_millis(400);
/// Number of peers that a starting box queries at once.
const QUERIED_PEERS_MAX: usize = 3;
/// Number of peers that a box asks for answers with a suspected prompt part.
const ASKED_PEERS_MAX: usize = 16;
/// When it asks them again, for answers that came since. The verdict takes effect later than that.
const SECOND_QUERY_DELAY: Duration = Duration::from_millis(300);
/// Interval of the queries of a starting box until a peer answers, and for how long it queries. Later crashes are broadcast
/// to it in any case.
const QUERY_INTERVAL: Duration = Duration::from_millis(100);
const QUERY_DURATION_MS: u64 = 10_000;

impl Relay {
    /// Broadcasts crashes to all boxes.
    pub(super) fn broadcast_crashes(self: &Rc<Self>, crashes: &[TargetEnd]) {
        if crashes.is_empty() {
            return;
        }
        self.broadcast_report(&EndsTold {
            ends: crashes.to_vec(),
            ..EndsTold::default()
        });
    }

    /// Broadcasts to all boxes that a request did not cause its crashes, and deletes its record.
    pub(super) fn broadcast_acquittal(self: &Rc<Self>, acquittal: Acquittal) {
        self.broadcast_report(&EndsTold {
            acquittals: vec![acquittal],
            ..EndsTold::default()
        });
        self.remove_record(acquittal.suspect);
    }

    fn broadcast_report(self: &Rc<Self>, report: &EndsTold) {
        let others = self.members.borrow().broadcast_order(self.now_ms());
        for group in broadcast_groups(&others) {
            tokio::task::spawn_local(send_to_group(self.clone(), report.clone(), group));
        }
    }

    /// Applies a report of another box, forwards it to the boxes in `pass_on`, and replies with known crashes: of all withheld
    /// requests if asked for these, else of the reported suspects, and with acquittals of those that this box was answered.
    pub(crate) fn handle_crash_report(self: &Rc<Self>, mut report: EndsTold) -> EndsTold {
        for id in std::mem::take(&mut report.pass_on) {
            tokio::task::spawn_local(send_to_group(self.clone(), report.clone(), vec![id]));
        }
        self.apply_report(&report, u64::from(TRANSIT_MAX_MS));
        let now_ms = self.now_ms();
        let quarantine = self.quarantine.borrow();
        if report.asks_all {
            return EndsTold {
                ends: quarantine.crashes_of_withheld(now_ms),
                ..EndsTold::default()
            };
        }
        let suspects: BTreeSet<Suspect> = report.ends.iter().map(|crash| crash.suspect).collect();
        let crashes_of = |suspect: &Suspect| quarantine.crashes_of(*suspect, now_ms);
        let acquittal_of = |suspect: &Suspect| quarantine.recent_acquittal(*suspect, now_ms);
        EndsTold {
            ends: suspects.iter().flat_map(crashes_of).collect(),
            acquittals: suspects.iter().filter_map(acquittal_of).collect(),
            ..EndsTold::default()
        }
    }

    /// Applies a report that was in transit for `transit_max_ms` at most.
    fn apply_report(self: &Rc<Self>, report: &EndsTold, transit_max_ms: u64) {
        self.apply_crashes(&report.ends, "peer");
        let now_ms = self.now_ms();
        for acquittal in &report.acquittals {
            let acquittal = oldest_possible(*acquittal, transit_max_ms);
            let is_new = self
                .quarantine
                .borrow_mut()
                .apply_acquittal(&acquittal, now_ms);
            if is_new {
                slog::info!(self.log, "request acquitted"; "request" => %acquittal.suspect,
                    "by" => ?acquittal.by, "source" => "peer");
                self.remove_own_record(acquittal.suspect);
                self.quarantine_changed();
            }
        }
    }

    /// Asks other boxes whether they were answered with the prompt parts of a cause.
    pub(super) fn query_answers(self: &Rc<Self>, cause: &WithheldCause) {
        let is_part = |suspect: &Suspect| matches!(suspect, Suspect::Part(_));
        if !cause.suspects.iter().all(is_part) {
            return;
        }
        let others = self.members.borrow().others();
        let asked: Vec<BoxId> = others
            .choose_multiple(&mut rand::rng(), ASKED_PEERS_MAX)
            .copied()
            .collect();
        for delay in [Duration::ZERO, SECOND_QUERY_DELAY] {
            for id in &asked {
                let query = send_query(self.clone(), *id, cause.suspects.clone(), delay);
                tokio::task::spawn_local(query);
            }
        }
    }

    /// Fetches the crashes of withheld requests from a few random peers. Returns false if none answers.
    pub(super) async fn fetch_withheld(self: &Rc<Self>) -> bool {
        let others = self.members.borrow().others();
        let queries = choose_peers(&others, &mut rand::rng())
            .into_iter()
            .map(|id| {
                let report = EndsTold {
                    asks_all: true,
                    ..EndsTold::default()
                };
                self.send_report(id, report)
            });
        let replies = futures::future::join_all(queries).await;
        replies.into_iter().any(|answered| answered)
    }

    /// Sends a report to one box and applies its reply. Returns false without a reply.
    async fn send_report(self: &Rc<Self>, id: BoxId, report: EndsTold) -> bool {
        let sent_ms = self.now_ms();
        let call = self
            .peers
            .call(id, CALL_TIMEOUT, |client, context| async move {
                client.ends(context, report).await
            });
        let answer = self.record_peer_result(id, call.await, "ends");
        if let Some(answer) = &answer {
            self.apply_report(answer, self.now_ms() - sent_ms);
        }
        answer.is_some()
    }
}

/// An acquittal with the greatest age that it may have: its answer may have come before crashes that happened while the report
/// was in transit, and must not clear them.
fn oldest_possible(acquittal: Acquittal, transit_max_ms: u64) -> Acquittal {
    let transit_max_ms = match acquittal.by {
        AcquittedBy::Answer => u32::try_from(transit_max_ms).unwrap_or(u32::MAX),
        AcquittedBy::Operator => 0,
    };
    Acquittal {
        age_ms: acquittal.age_ms.saturating_add(transit_max_ms),
        ..acquittal
    }
}

/// Chooses the peers to query, at random: otherwise boxes that start together would all query the same peers.
fn choose_peers(others: &[BoxId], random: &mut impl Rng) -> Vec<BoxId> {
    others
        .choose_multiple(random, QUERIED_PEERS_MAX)
        .copied()
        .collect()
}

/// Fetches the withheld requests on a box that has just started, once the seeds were queried for peers.
pub(super) async fn fetch_withheld_at_start(relay: Rc<Relay>) {
    let until_ms = relay.now_ms() + QUERY_DURATION_MS;
    relay.wait_for_seeds().await;
    while relay.now_ms() < until_ms && !relay.fetch_withheld().await {
        sleep(QUERY_INTERVAL).await;
    }
}

/// Sends the crashes of some suspects to a box after a delay, and applies what it knows of them.
async fn send_query(relay: Rc<Relay>, id: BoxId, suspects: Vec<Suspect>, delay: Duration) {
    sleep(delay).await;
    let now_ms = relay.now_ms();
    let crashes_of = |suspect: &Suspect| relay.quarantine.borrow().crashes_of(*suspect, now_ms);
    let report = EndsTold {
        ends: suspects.iter().flat_map(crashes_of).collect(),
        ..EndsTold::default()
    };
    relay.send_report(id, report).await;
}

/// Sends a report to the first box of a group that answers, which forwards it to the rest of the group.
async fn send_to_group(relay: Rc<Relay>, mut report: EndsTold, group: Vec<BoxId>) {
    let mut remaining = &group[..];
    while let Some((first, others)) = remaining.split_first() {
        remaining = others;
        report.pass_on = others.to_vec();
        if relay.send_report(*first, report.clone()).await {
            return;
        }
    }
}

#[cfg(test)]
#[path = "broadcast_tests.rs"]
mod tests;
