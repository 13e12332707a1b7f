//! Which services this box can reach, from its own connection attempts. After a first failure, and while a service is lost,
//! a few of its targets are probed by connecting, so that neither the verdict nor its end waits for requests.

use crate::state::Relay;
use crate::watch::targets::{Target, TargetSlot, TargetState};
use http1::Channel;
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

/// A path on which a target was in contact within this time is sound.
const CONTACT_VALID_MS: u64 = 500;
/// How long a request that failed waits for the verdict: a round of probes, and one that confirms it.
const VERDICT_TIMEOUT: Duration = Duration::from_millis(700);
/// How often a request that failed checks whether the probes have ended.
const VERDICT_POLL: Duration = Duration::from_millis(10);

/// Reachability of the services, by name.
#[derive(Default)]
pub(crate) struct Paths {
    services: RefCell<HashMap<Box<str>, Reachability>>,
    /// The targets that refuse connections; see [`crate::forwarding::refused`].
    pub(super) refused: RefCell<RefusedConnections<TargetSlot>>,
    /// Notified when a service becomes suspected, or a target refuses a connection.
    pub(super) suspected: Notify,
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

    /// Whether a target of a service is in contact after a failure at `failed_ms`, as soon as the probes under way show it.
    pub(crate) async fn is_path_sound_after(&self, service: &str, failed_ms: u64) -> bool {
        let deadline = Instant::now() + VERDICT_TIMEOUT;
        while Instant::now() < deadline && !self.is_service_lost(service) {
            let is_in_contact = {
                let services = self.paths.services.borrow();
                let path = services.get(service);
                path.is_some_and(|path| path.has_contact_since(failed_ms))
            };
            if is_in_contact && !self.paths.is_suspected(service, self.now_ms()) {
                return true;
            }
            sleep(VERDICT_POLL).await;
        }
        false
    }

    /// Calls `report`, which notifies other boxes of a failure of a target, if this box's own path is sound: at once if a
    /// target of the service was in contact just now, else once the probes have shown it. A box that has lost its targets
    /// reports none of them.
    pub(crate) fn report_if_path_is_sound(
        self: &Rc<Self>,
        slot: TargetSlot,
        report: impl FnOnce(&Rc<Self>) + 'static,
    ) {
        let service = self.service_of(slot);
        let now_ms = self.now_ms();
        let contact_since_ms = now_ms.saturating_sub(CONTACT_VALID_MS);
        let is_sound = {
            let services = self.paths.services.borrow();
            services.get(&service).is_some_and(|path| {
                path.has_contact_since(contact_since_ms) && !path.is_suspected(now_ms)
            })
        };
        if is_sound {
            return report(self);
        }
        self.probe_if_silent(&service, contact_since_ms);
        let relay = self.clone();
        spawn_local(async move {
            if relay.is_path_sound_after(&service, now_ms).await {
                report(&relay);
            }
        });
    }

    /// Whether requests for a service are relayed, as soon as the probes under way have shown it.
    pub(crate) async fn relays_after_probes(&self, service: &str) -> bool {
        let deadline = Instant::now() + VERDICT_TIMEOUT;
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
        let lost = services.iter().filter_map(|(service, path)| {
            let lost_ms = path.lost_for_ms(now_ms)?;
            Some((service.clone(), lost_ms))
        });
        lost.collect()
    }

    /// Records the outcome of a connection attempt to a target. A new connection that fails before an answer counts as
    /// a failed attempt. Returns whether the target refuses connections and did not before.
    pub(crate) fn record_connect(
        self: &Rc<Self>,
        slot: TargetSlot,
        result: Result<(), &io::Error>,
    ) -> bool {
        let (service, target, target_count) = {
            let targets = self.targets.borrow();
            let Some(target) = targets.get(slot) else {
                return false;
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
            Ok(()) => {
                self.accept_again(&[slot]);
                false
            }
            Err(error) => {
                error.kind() == io::ErrorKind::ConnectionRefused
                    && self.record_refused(slot, &service)
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

    /// Connects to a few random targets of a service, to those first that did not fail before.
    fn probe_service(self: &Rc<Self>, service: &str) {
        let probed: Vec<(TargetSlot, SocketAddr)> = {
            let targets = self.targets.borrow();
            let services = self.paths.services.borrow();
            let path = services.get(service);
            let ready = targets
                .of_service(service)
                .filter(|(_, target)| target.state == TargetState::Ready);
            let (failed, untried): (Vec<_>, Vec<_>) =
                ready.partition(|(_, target)| path.is_some_and(|path| path.has_failed(target.id)));
            let address = |(slot, target): (TargetSlot, &Target)| (slot, target.entry.address);
            let rng = &mut rand::rng();
            let mut probed = untried
                .into_iter()
                .map(address)
                .choose_multiple(rng, FAILED_TARGETS_MIN);
            let rest = FAILED_TARGETS_MIN - probed.len();
            probed.extend(failed.into_iter().map(address).choose_multiple(rng, rest));
            probed
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

/// Connects to a target and records the outcome.
pub(super) async fn probe(relay: Rc<Relay>, slot: TargetSlot, address: SocketAddr) {
    metrics::counter!("shuntpier_reachability_probes").increment(1);
    let result = match relay.connect_target(address, PROBE_TIMEOUT).await {
        Ok(mut channel) => match timeout(PROBE_HOLD, channel.gone()).await {
            Ok(()) => Err(io::ErrorKind::ConnectionReset.into()),
            Err(_) => Ok(()),
        },
        Err(error) => Err(error),
    };
    relay.record_connect(slot, result.as_ref().copied());
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
