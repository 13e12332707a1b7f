//! Polls engines directly for a notice that they leave while the store cannot be read. Otherwise no box polls: the load
//! on engines is known without it, and each poll has a cost.

use crate::dispatch::poll_round::{POLLED_MAX, PollRound};
use crate::forwarding::control::send_control_request;
use crate::forwarding::outcome::TargetOutcome;
use crate::state::Relay;
use crate::watch::election::{View, another_box_polls, is_elected, rank};
use crate::watch::targets::{Target, TargetSlot, TargetState};
use platform::{parse_report, report_request};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::sleep;

/// Interval of polls. The notice that an engine gives before it ends may be as short as 1.5 s.
const POLL_INTERVAL: Duration = Duration::from_millis(300);
/// Interval of probes to an engine on probation.
const PROBE_INTERVAL: Duration = Duration::from_millis(150);
/// Age after which an unconfirmed view of targets is stale, so that engines are polled.
const STALE_VIEW_MS: u64 = 1_200;
/// The same if this box's own calls to the store fail. The box that follows targets confirms every 0.4 s that nothing has
/// changed.
const STALE_VIEW_STORE_FAILING_MS: u64 = 700;

/// Which engines a box polls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum PollScope {
    None,
    /// Only engines with open requests of this box.
    InUse,
    All,
}

/// Polls engines while the view of targets is stale: all of them if this box is elected to follow the store, and those with
/// its own open requests unless another box is known to poll all.
pub(crate) async fn run_engine_polls(relay: Rc<Relay>) {
    let mut scope = PollScope::None;
    let mut round = PollRound::default();
    loop {
        sleep(POLL_INTERVAL).await;
        let current = poll_scope(&relay);
        let previous = std::mem::replace(&mut scope, current);
        if previous != scope {
            slog::info!(relay.log, "polling of engines changed"; "scope" => ?scope,
                "age_ms" => view_age_ms(&relay), "now_ms" => relay.now_ms());
        }
        relay.polls_all_engines.set(scope == PollScope::All);
        if scope != PollScope::None {
            for (slot, address) in engines_to_poll(&relay, scope == PollScope::All, &mut round) {
                tokio::task::spawn_local(poll_engine(relay.clone(), slot, address));
            }
        }
    }
}

fn poll_scope(relay: &Relay) -> PollScope {
    match is_target_view_stale(relay) {
        false => PollScope::None,
        // The first in rank polls in any case, so that two boxes never wait for each other.
        true if rank(relay) == Some(0) => PollScope::All,
        true if another_box_polls(relay) && fits_in_one_round(relay) => PollScope::None,
        true if is_elected(relay) && !another_box_polls(relay) => PollScope::All,
        true => PollScope::InUse,
    }
}

/// Returns true if one box can poll all engines in each round.
fn fits_in_one_round(relay: &Relay) -> bool {
    let Some(declared) = relay.declared() else {
        return true;
    };
    let targets = relay.targets.borrow();
    let services = declared
        .table
        .services
        .iter()
        .filter(|s| s.engine.is_some());
    let engines = services.map(|service| targets.count_of_service(&service.name));
    engines.sum::<usize>() <= POLLED_MAX
}

/// Probes the engines that are on probation here until the process ends.
pub(crate) async fn run_probes(relay: Rc<Relay>) {
    loop {
        sleep(PROBE_INTERVAL).await;
        let now_ms = relay.now_ms();
        let due = {
            let mut targets = relay.targets.borrow_mut();
            let due = targets.due_probes(now_ms).into_iter();
            let address = |slot| Some((slot, targets.get(slot)?.entry.address));
            due.filter_map(address).collect::<Vec<_>>()
        };
        for (slot, address) in due {
            tokio::task::spawn_local(poll_engine(relay.clone(), slot, address));
        }
    }
}

/// How long ago the list of targets was confirmed, in ms. One that was read at the start and never confirmed is as old as the
/// process.
fn view_age_ms(relay: &Relay) -> u64 {
    let now_ms = relay.now_ms();
    let confirmed = relay.confirmed(View::Targets);
    confirmed.map_or(now_ms, |confirmed| {
        confirmed.age_ms(now_ms).map_or(u64::MAX, u64::from)
    })
}

/// Returns true if a target may leave without this box being notified.
fn is_target_view_stale(relay: &Relay) -> bool {
    if !relay.knows(View::Targets) {
        return false;
    }
    let age_ms = view_age_ms(relay);
    let store_fails = relay.store_failing.get() && age_ms > STALE_VIEW_STORE_FAILING_MS;
    relay.targets_suspected.get() || store_fails || age_ms > STALE_VIEW_MS
}

fn engines_to_poll(
    relay: &Relay,
    all: bool,
    round: &mut PollRound,
) -> Vec<(TargetSlot, SocketAddr)> {
    let Some(declared) = relay.declared() else {
        return Vec::new();
    };
    let targets = relay.targets.borrow();
    let engine_services = declared
        .table
        .services
        .iter()
        .filter(|s| s.engine.is_some());
    let names: Vec<&str> = engine_services.map(|service| &*service.name).collect();
    let is_ready = |target: &Target| {
        target.state == TargetState::Ready && names.contains(&&*target.entry.service)
    };
    let in_use = targets.in_use().into_iter();
    let in_use: Vec<TargetSlot> = in_use
        .filter(|slot| targets.get(*slot).is_some_and(is_ready))
        .collect();
    let polled = match all {
        false => round.next(&in_use, &in_use),
        true => {
            let listed = names.iter().flat_map(|name| targets.of_service(name));
            let ready = listed.filter(|(_, target)| {
                is_ready(target) && (target.open > 0 || !targets.is_evacuated(target))
            });
            let mut ready: Vec<TargetSlot> = ready.map(|(slot, _)| slot).collect();
            ready.sort();
            round.next(&ready, &in_use)
        }
    };
    let address = |slot| Some((slot, targets.get(slot)?.entry.address));
    polled.into_iter().filter_map(address).collect()
}

async fn poll_engine(relay: Rc<Relay>, slot: TargetSlot, address: SocketAddr) {
    metrics::counter!("shuntpier_engine_reports").increment(1);
    let answer = send_control_request(&relay, address, &report_request(address)).await;
    let report = answer
        .ok()
        .and_then(|(status, body)| parse_report(status, &body));
    let now_ms = relay.now_ms();
    if report.is_some()
        && let Some(target) = relay.targets.borrow_mut().get_mut(slot)
    {
        target.probation.record_probe_answer(now_ms);
    }
    if let Some(report) = report.filter(|report| report.is_leaving) {
        slog::info!(relay.log, "engine reports that it leaves"; "engine" => relay.name_of(slot),
            "gone_in_ms" => report.leaves_in_ms, "running" => report.running);
        relay.record_outcome(slot, TargetOutcome::Leaving);
    }
}
