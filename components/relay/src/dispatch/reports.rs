//! While the store cannot be read, engines are asked themselves whether they leave. In quiet times nobody
//! asks: all load on engines is known without it, and each question is paid for.

use crate::dispatch::asked::{ASKED_MAX, AskRound};
use crate::forwarding::control::send_control_request;
use crate::forwarding::outcome::TargetOutcome;
use crate::state::Relay;
use crate::watch::election::{View, another_asks, is_elected, rank};
use crate::watch::targets::{Belief, Target, TargetSlot};
use platform::{parse_report, report_request};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::sleep;

/// How often engines are asked. Notice of an engine's end may be as short as 1.5 s.
const ASK_EACH: Duration = Duration::from_millis(300);
/// How often an engine on trial is asked.
const TRY_EACH: Duration = Duration::from_millis(150);
/// A view of targets that was not confirmed for this long is no base for leaving engines alone.
const UNCONFIRMED_MS: u64 = 1_200;
/// The same where this box's own calls to the store fail: the box that follows targets says every 0.4 s that
/// nothing changed.
const UNCONFIRMED_FAILING_MS: u64 = 700;

/// Which engines a box asks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Asks {
    None,
    /// Those that run something of its own: no other box is heard that asks all.
    LocalReply,
    All,
}

/// Asks engines while the view of targets is not confirmed: all of them where it is this box's turn to follow
/// the store, and those that run something of its own where no box is heard that asks all.
pub(crate) async fn run_reports(relay: Rc<Relay>) {
    let mut asks = Asks::None;
    let mut round = AskRound::default();
    loop {
        sleep(ASK_EACH).await;
        let now = whom_to_ask(&relay);
        let before = std::mem::replace(&mut asks, now);
        if before != asks {
            slog::info!(relay.log, "engines asked themselves"; "asked" => ?asks,
                "confirmed_ms" => relay.targets.borrow().confirmed_ms,
                "now_ms" => relay.now_ms());
        }
        relay.asking.set(asks == Asks::All);
        if asks != Asks::None {
            for (slot, address) in engines(&relay, asks == Asks::All, &mut round) {
                tokio::task::spawn_local(ask(relay.clone(), slot, address));
            }
        }
    }
}

fn whom_to_ask(relay: &Relay) -> Asks {
    match doubt(relay) {
        false => Asks::None,
        // The first in rank asks whatever others do, so that two never wait for each other.
        true if rank(relay) == Some(0) => Asks::All,
        true if another_asks(relay) && asks_all_at_once(relay) => Asks::None,
        true if is_elected(relay) && !another_asks(relay) => Asks::All,
        true => Asks::LocalReply,
    }
}

/// Whether one box asks all engines at each look.
fn asks_all_at_once(relay: &Relay) -> bool {
    let Some(held) = relay.declared() else {
        return true;
    };
    let targets = relay.targets.borrow();
    let services = held.table.services.iter().filter(|s| s.engine.is_some());
    let engines = services.map(|service| targets.count_of_service(&service.name));
    engines.sum::<usize>() <= ASKED_MAX
}

/// Asks the engines that are on trial here, for as long as the box lives.
pub(crate) async fn run_trials(relay: Rc<Relay>) {
    loop {
        sleep(TRY_EACH).await;
        let now_ms = relay.now_ms();
        let open = {
            let mut targets = relay.targets.borrow_mut();
            let open = targets.open_trials(now_ms).into_iter();
            let address = |slot| Some((slot, targets.get(slot)?.entry.address));
            open.filter_map(address).collect::<Vec<_>>()
        };
        for (slot, address) in open {
            tokio::task::spawn_local(ask(relay.clone(), slot, address));
        }
    }
}

/// Whether a target may leave without this box hearing of it.
fn doubt(relay: &Relay) -> bool {
    if !relay.knows(View::Targets) {
        return false;
    }
    // A list that was read at the start and that nobody has confirmed since is as old as the box.
    let confirmed_ms = relay.confirmed_ms(View::Targets).unwrap_or_default();
    let age_ms = relay.now_ms().saturating_sub(confirmed_ms);
    let store_fails = relay.store_fails.get() && age_ms > UNCONFIRMED_FAILING_MS;
    relay.targets_doubted.get() || store_fails || age_ms > UNCONFIRMED_MS
}

fn engines(relay: &Relay, all: bool, round: &mut AskRound) -> Vec<(TargetSlot, SocketAddr)> {
    let Some(held) = relay.declared() else {
        return Vec::new();
    };
    let targets = relay.targets.borrow();
    let engine_services = held.table.services.iter().filter(|s| s.engine.is_some());
    let names: Vec<&str> = engine_services.map(|service| &*service.name).collect();
    let is_ready =
        |target: &Target| target.belief == Belief::Ready && names.contains(&&*target.entry.service);
    let in_use = targets.in_use().into_iter();
    let in_use: Vec<TargetSlot> = in_use
        .filter(|slot| targets.get(*slot).is_some_and(is_ready))
        .collect();
    let asked = match all {
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
    asked.into_iter().filter_map(address).collect()
}

async fn ask(relay: Rc<Relay>, slot: TargetSlot, address: SocketAddr) {
    metrics::counter!("shuntpier_engine_reports").increment(1);
    let answer = send_control_request(&relay, address, &report_request(address)).await;
    let report = answer.and_then(|(status, body)| parse_report(status, &body));
    let now_ms = relay.now_ms();
    if report.is_some()
        && let Some(target) = relay.targets.borrow_mut().get_mut(slot)
    {
        target.trial.record_probe_answer(now_ms);
    }
    if let Some(report) = report.filter(|report| report.is_leaving) {
        slog::info!(relay.log, "engine says that it leaves"; "engine" => relay.name_of(slot),
            "gone_in_ms" => report.leaves_in_ms, "running" => report.running);
        relay.record_outcome(slot, TargetOutcome::Leaving);
    }
}
