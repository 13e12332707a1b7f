//! Which services this box can reach, and which targets refuse its connections, from its own connection attempts. After a first failure, and while a service is lost,
//! a few of its targets are probed by connecting, so that neither the verdict nor its end waits for requests.

use crate::state::Relay;
use crate::watch::targets::{TargetSlot, TargetState};
use http1::Channel;
use peers::HintWord;
use policy::{FAILED_TARGETS_MIN, Reachability, ReachabilityChange, RefusedConnections};
use rand::seq::IteratorRandom;
use std::cell::RefCell;
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep, timeout};

/// Interval of probes while a service is suspected or lost.
const PROBE_INTERVAL: Duration = Duration::from_millis(200);
/// Timeout of a probe: a few round trips between data centres.
const PROBE_TIMEOUT: Duration = Duration::from_millis(400);
/// A probe succeeds if its connection stays open for this long: a middlebox may accept connections and reset them.
const PROBE_HOLD: Duration = Duration::from_millis(50);

/// How often a request that failed checks whether the probes have ended.
const VERDICT_POLL: Duration = Duration::from_millis(10);

/// Reachability of the services, by name.
#[derive(Default)]
pub(crate) struct Paths {
    services: RefCell<HashMap<Box<str>, Reachability>>,
    refused: RefCell<RefusedConnections<TargetSlot>>,
    /// Notified when a service becomes suspected, or a target refuses a connection.
    suspected: Notify,
    /// Notified when a service is lost or restored.
    changed: Notify,
}

impl Paths {
    fn is_suspected(&self, service: &str, now_ms: u64) -> bool {
        let services = self.services.borrow();
        services
            .get(service)
            .is_some_and(|path| path.is_suspected(now_ms))
    }

    fn suspected(&self, now_ms: u64) -> Vec<Box<str>> {
        let services = self.services.borrow();
        let suspected = services
            .iter()
            .filter(|(_, path)| path.is_suspected(now_ms));
        suspected.map(|(service, _)| service.clone()).collect()
    }
}

/// Whether an error of a connection attempt is evidence against the path, not against this box's own resources.
fn is_path_error(error: &io::Error) -> bool {
    use io::ErrorKind::{
        BrokenPipe, ConnectionAborted, ConnectionRefused, ConnectionReset, HostUnreachable,
        NetworkUnreachable, TimedOut,
    };
    matches!(
        error.kind(),
        BrokenPipe
            | ConnectionAborted
            | ConnectionRefused
            | ConnectionReset
            | HostUnreachable
            | NetworkUnreachable
            | TimedOut
    )
}

impl Relay {
    /// Opens a connection to a target.
    pub(crate) async fn connect_target(
        &self,
        address: SocketAddr,
        limit: Duration,
    ) -> io::Result<Channel> {
        Channel::connect_from(self.identity.source_address, address, limit).await
    }

    /// Whether this box can open no connection to any target of a service.
    pub(crate) fn is_service_lost(&self, service: &str) -> bool {
        let services = self.paths.services.borrow();
        services.get(service).is_some_and(Reachability::is_lost)
    }

    /// Waits until requests for a service are relayed to other boxes.
    pub(crate) async fn wait_until_relayed(&self, service: &str) {
        loop {
            let changed = self.paths.changed.notified();
            if self.relays(service) {
                return;
            }
            changed.await;
        }
    }

    /// Whether this box reaches other targets of a service, as soon as the probes under way have shown it.
    pub(crate) async fn is_path_sound_after_probes(&self, service: &str) -> bool {
        let deadline = Instant::now() + PROBE_TIMEOUT + PROBE_HOLD;
        while self.paths.is_suspected(service, self.now_ms()) {
            if self.is_service_lost(service) || Instant::now() >= deadline {
                return false;
            }
            sleep(VERDICT_POLL).await;
        }
        true
    }

    /// Whether requests for a service are relayed, as soon as the probes under way have shown it.
    pub(crate) async fn relays_after_probes(&self, service: &str) -> bool {
        let deadline = Instant::now() + PROBE_TIMEOUT + PROBE_HOLD;
        while !self.relays(service) {
            if !self.paths.is_suspected(service, self.now_ms()) || Instant::now() >= deadline {
                return false;
            }
            sleep(VERDICT_POLL).await;
        }
        true
    }

    /// The service of a target; empty if this box no longer tracks it.
    pub(crate) fn service_of(&self, slot: TargetSlot) -> Box<str> {
        let targets = self.targets.borrow();
        let target = targets.get(slot);
        target.map_or_else(Box::default, |target| target.entry.service.clone())
    }

    /// The lost services, and for how long (ms).
    pub(crate) fn lost_services(&self) -> Vec<(Box<str>, u64)> {
        let now_ms = self.now_ms();
        let services = self.paths.services.borrow();
        let lost = |(service, path): (&Box<str>, &Reachability)| {
            Some((service.clone(), path.lost_for_ms(now_ms)?))
        };
        services.iter().filter_map(lost).collect()
    }

    /// Records the outcome of a connection attempt to a target. A new connection that fails before an answer counts as
    /// a failed attempt.
    pub(crate) fn record_connect(
        self: &Rc<Self>,
        slot: TargetSlot,
        result: Result<(), &io::Error>,
    ) {
        let (service, target, target_count) = {
            let targets = self.targets.borrow();
            let Some(target) = targets.get(slot) else {
                return;
            };
            let service = target.entry.service.clone();
            let target_count = targets.count_of_service(&service);
            (service, target.id, target_count)
        };
        let now_ms = self.now_ms();
        let (change, is_suspected) = {
            let mut services = self.paths.services.borrow_mut();
            let path = services.entry(service.clone()).or_default();
            let change = match result {
                Ok(()) => path.record_success(now_ms),
                Err(error) if is_path_error(error) => {
                    path.record_failure(target, target_count, now_ms)
                }
                Err(_) => None,
            };
            (change, path.is_suspected(now_ms))
        };
        if is_suspected {
            self.paths.suspected.notify_one();
        }
        if let Some(change) = change {
            self.handle_reachability_change(&service, change);
        }
        match result {
            Ok(()) => self.accept_again(&[slot]),
            Err(error) if error.kind() == io::ErrorKind::ConnectionRefused => {
                self.record_refused(slot, &service);
            }
            Err(_) => {}
        }
    }

    /// Records a refused connection. The target gets no work from this box until it accepts a connection. Other boxes only
    /// check it themselves, as the path of this box may be what fails.
    fn record_refused(self: &Rc<Self>, slot: TargetSlot, service: &str) {
        if self.is_service_lost(service) {
            return;
        }
        let now_ms = self.now_ms();
        let is_new = self.paths.refused.borrow_mut().record_refusal(slot, now_ms);
        if !is_new {
            return;
        }
        self.paths.suspected.notify_one();
        slog::info!(self.log, "target refuses connections"; "target" => self.name_of(slot));
        metrics::counter!("shuntpier_targets_refusing").increment(1);
        self.set_refusing(slot, true);
        self.broadcast_hint(slot, HintWord::Refused);
    }

    /// Lets targets get work from this box again.
    fn accept_again(self: &Rc<Self>, slots: &[TargetSlot]) {
        for slot in slots {
            let was_refusing = self.paths.refused.borrow_mut().remove(*slot);
            if was_refusing {
                slog::info!(self.log, "target accepts connections again"; "target" => self.name_of(*slot));
                self.set_refusing(*slot, false);
            }
        }
    }

    fn set_refusing(self: &Rc<Self>, slot: TargetSlot, is_refusing: bool) {
        let id = {
            let mut targets = self.targets.borrow_mut();
            let Some(target) = targets.get_mut(slot) else {
                return;
            };
            target.is_refusing = is_refusing;
            target.id
        };
        self.sync_engines(&[id]);
        self.target_changes.send_modify(|count| *count += 1);
    }

    /// The targets of a service that refuse connections.
    fn refusing_targets(&self, service: &str) -> Vec<TargetSlot> {
        let targets = self.targets.borrow();
        let is_of_service = |slot: &TargetSlot| {
            let target = targets.get(*slot);
            target.is_some_and(|target| &*target.entry.service == service)
        };
        let mut refusing = self.paths.refused.borrow().all();
        refusing.retain(is_of_service);
        refusing
    }

    /// Connects to a target that another box reports as refusing connections.
    pub(crate) fn check_reported_refusal(self: &Rc<Self>, slot: TargetSlot) {
        let address = self
            .targets
            .borrow()
            .get(slot)
            .map(|target| target.entry.address);
        if let Some(address) = address {
            spawn_local(probe(self.clone(), slot, address));
        }
    }

    /// Probes the targets that refuse connections.
    fn probe_refusing_targets(self: &Rc<Self>) {
        let due = self.paths.refused.borrow().due(self.now_ms());
        for slot in due {
            let address = self
                .targets
                .borrow()
                .get(slot)
                .map(|target| target.entry.address);
            match address {
                Some(address) => drop(spawn_local(probe(self.clone(), slot, address))),
                None => drop(self.paths.refused.borrow_mut().remove(slot)),
            }
        }
    }

    /// Records that a target of a service answered.
    pub(crate) fn record_target_answer(&self, slot: TargetSlot) {
        let service = {
            let targets = self.targets.borrow();
            targets.get(slot).map(|target| target.entry.service.clone())
        };
        if let Some(service) = service {
            let now_ms = self.now_ms();
            let mut services = self.paths.services.borrow_mut();
            services.entry(service).or_default().record_answer(now_ms);
        }
    }

    /// Probes a service if none of its targets was in contact after `since_ms`, when a request was sent that is still
    /// unanswered.
    pub(crate) fn probe_if_silent(self: &Rc<Self>, service: &str, since_ms: u64) {
        let is_probed = {
            let services = self.paths.services.borrow();
            services.get(service).is_some_and(|path| {
                path.has_contact_since(since_ms) || path.is_suspected(self.now_ms())
            })
        };
        if !is_probed {
            self.probe_service(service);
        }
    }

    fn handle_reachability_change(self: &Rc<Self>, service: &str, change: ReachabilityChange) {
        match change {
            ReachabilityChange::Lost {
                failed_targets,
                evidence_age_ms,
            } => {
                slog::warn!(self.log, "service unreachable from this box"; "service" => service,
                    "failed_targets" => failed_targets, "evidence_age_ms" => evidence_age_ms);
                metrics::counter!("shuntpier_services_lost").increment(1);
                // The refusals are this box's own.
                self.accept_again(&self.refusing_targets(service));
                // The other services may be lost too.
                self.probe_all_services();
            }
            ReachabilityChange::Restored { lost_ms } => {
                slog::warn!(self.log, "service reachable again"; "service" => service,
                    "lost_ms" => lost_ms);
            }
        }
        metrics::gauge!("shuntpier_unreachable_services").set(self.lost_services().len() as f64);
        self.paths.changed.notify_waiters();
    }

    fn probe_all_services(self: &Rc<Self>) {
        let Some(declared) = self.declared() else {
            return;
        };
        for service in &declared.table.services {
            self.probe_service(&service.name);
        }
    }

    /// Connects to a few random targets of a service.
    fn probe_service(self: &Rc<Self>, service: &str) {
        let probed: Vec<(TargetSlot, SocketAddr)> = {
            let targets = self.targets.borrow();
            let ready = targets
                .of_service(service)
                .filter(|(_, target)| target.state == TargetState::Ready);
            let addresses = ready.map(|(slot, target)| (slot, target.entry.address));
            addresses.choose_multiple(&mut rand::rng(), FAILED_TARGETS_MIN)
        };
        if probed.is_empty() {
            // Without targets there is nothing to lose.
            self.paths.services.borrow_mut().remove(service);
            self.paths.changed.notify_waiters();
        }
        for (slot, address) in probed {
            spawn_local(probe(self.clone(), slot, address));
        }
    }
}

async fn probe(relay: Rc<Relay>, slot: TargetSlot, address: SocketAddr) {
    metrics::counter!("shuntpier_reachability_probes").increment(1);
    let result = match relay.connect_target(address, PROBE_TIMEOUT).await {
        Ok(mut channel) => match timeout(PROBE_HOLD, channel.gone()).await {
            Ok(()) => Err(io::ErrorKind::ConnectionReset.into()),
            Err(_) => Ok(()),
        },
        Err(error) => Err(error),
    };
    relay.record_connect(slot, result.as_ref().map(|()| ()));
}

/// Probes the services that are suspected or lost until the process ends.
pub(crate) async fn run_reachability_probes(relay: Rc<Relay>) {
    loop {
        let suspected = relay.paths.suspected(relay.now_ms());
        if suspected.is_empty() && relay.paths.refused.borrow().is_empty() {
            relay.paths.suspected.notified().await;
            continue;
        }
        relay.probe_refusing_targets();
        for service in &suspected {
            relay.probe_service(service);
        }
        sleep(PROBE_INTERVAL).await;
    }
}
