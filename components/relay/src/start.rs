//! Start and planned stop of a box.

use crate::buffered::BufferBudget;
use crate::dispatch::engine_polls::{run_engine_polls, run_probes};
use crate::forwarding::reachability::{Paths, run_reachability_probes};
use crate::ingress::accept;
use crate::ingress::overload::run_overload_monitor;
use crate::ingress::readiness;
use crate::membership::exchange::{announce_self, run_exchanges};
use crate::membership::gossip::Handler;
use crate::membership::members::{INCARNATION_UNKNOWN, Members};
use crate::membership::registration::{box_id, discover_boxes, keep_registration};
use crate::quarantine::record::read_records;
use crate::rate_limit::state::RateLimits;
use crate::reconfigure::run_settings;
use crate::state::{Relay, memory_bounds};
use crate::watch::election::View;
use crate::watch::era::run_eras;
use crate::watch::evacuation::run_evacuation;
use crate::watch::target_snapshot::run_snapshots;
use crate::watch::watcher::{follow, run_missing_expiry, run_poll_announcements};
use http1::Listener;
use operators::FleetView;
use peers::{FleetClients, KeyRing, Traffic};
use platform::FleetStore;
use prelude::{Clock, DataCentreId, Suspect};
use reload::Live;
use settings::{FleetFile, FleetIdentity};
use slog::Logger;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use thiserror::Error;
use tokio::net::TcpListener;
use tokio::sync::{Notify, watch};
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep, timeout_at};
use tokio_util::sync::CancellationToken;

/// How often idle channels and expired grants are removed and gauges are set.
const SWEEP_INTERVAL: Duration = Duration::from_millis(1_000);
/// How long a stopping box still accepts channels: until the platform has polled its readiness twice and the requests sent
/// before have arrived.
const DRAIN_ACCEPT_TIME: Duration = Duration::from_millis(2_700);
/// Time that is left unused before the process is killed.
const STOP_MARGIN: Duration = Duration::from_millis(400);
/// How often a stopping box looks whether its settings shorten the grace period.
const GRACE_RECHECK_INTERVAL: Duration = Duration::from_millis(200);
/// How long a box with no open requests refuses requests still in transit before it closes.
const FINAL_REFUSAL_TIME: Duration = Duration::from_millis(80);

/// Why a box did not start.
#[derive(Debug, Error)]
pub enum StartError {
    /// An address is in use or does not belong to this host.
    #[error("cannot listen on {address} for {what}: {cause}")]
    Listen {
        /// Who connects to the address.
        what: &'static str,
        /// The address.
        address: SocketAddr,
        /// The system's error.
        cause: io::Error,
    },
}

fn listen(what: &'static str, address: SocketAddr) -> Result<Listener, StartError> {
    Listener::bind(address).map_err(|cause| StartError::Listen {
        what,
        address,
        cause,
    })
}

/// The grace period of a planned stop, by the settings in force.
fn stop_grace(relay: &Relay) -> Duration {
    Duration::from_secs_f64(relay.settings().promises.stop_grace_s)
}

impl Relay {
    /// Sets when the box ends that began to stop at `started_ms`.
    fn limit_stop(&self, started_ms: u64, grace: Duration) {
        let time_ms = grace.saturating_sub(STOP_MARGIN).as_millis() as u64;
        self.stop_until_ms.set(Some(started_ms + time_ms));
    }
}

/// A running box.
#[derive(Clone)]
pub struct Running(Rc<Relay>);

/// Starts a box on the current `LocalSet`.
///
/// # Errors
/// [`StartError`].
pub async fn start(settings: Arc<Live<FleetFile>>, log: Logger) -> Result<Running, StartError> {
    let file = settings.load();
    let mut identity = file.identity.clone();
    let callers = listen("callers", identity.callers_address)?;
    let readiness = listen("readiness", identity.readiness_address)?;
    let peers_address = identity.peers_address;
    let peers = TcpListener::bind(peers_address)
        .await
        .map_err(|cause| StartError::Listen {
            what: "peers",
            address: peers_address,
            cause,
        })?;
    // Port 0 requests any free port: peers are given the address that was bound.
    identity.callers_address = callers.address().unwrap_or(identity.callers_address);
    identity.readiness_address = readiness.address().unwrap_or(identity.readiness_address);
    identity.peers_address = peers.local_addr().unwrap_or(identity.peers_address);
    let peers_address = identity.peers_address;
    let traffic = Arc::new(Traffic::default());
    let keys = KeyRing::new(&file.peer_keys);
    let id = box_id(&identity.name);
    let relay = Rc::new(Relay {
        log: log.new(slog::o!("box" => identity.name.clone())),
        clock: Clock::new(),
        id,
        incarnation: rand::random_range(INCARNATION_UNKNOWN + 1..=u32::MAX),
        data_centre: DataCentreId::from_name(&identity.data_centre),
        store: FleetStore::new(file.store.address),
        peers: FleetClients::new(keys.clone(), traffic.clone()),
        declared: RefCell::default(),
        declared_confirmed: Cell::new(None),
        evacuation: RefCell::default(),
        targets: RefCell::default(),
        refused_entries: RefCell::default(),
        target_changes: watch::Sender::new(0),
        channels: RefCell::default(),
        paths: Paths::default(),
        relay_peers: RefCell::default(),
        memory: BufferBudget::new(memory_bounds(&file.limits)),
        balance: RefCell::default(),
        calls_ended: Notify::new(),
        rate_limits: RateLimits::default(),
        quarantine: RefCell::default(),
        quarantine_changes: watch::Sender::new(0),
        last_trials: RefCell::default(),
        recorded_suspects: RefCell::default(),
        broken_runs: RefCell::default(),
        retry_budgets: RefCell::default(),
        slack_claim: Cell::default(),
        members: RefCell::new(Members::new(id, file.limits.link_mbps as u32)),
        peer_clocks: RefCell::default(),
        dispatchers: RefCell::new(HashMap::new()),
        open_generations: RefCell::default(),
        account_labels: RefCell::default(),
        completion: RefCell::default(),
        peer_suspected: Notify::new(),
        generations_changed: Notify::new(),
        store_failing: Cell::new(false),
        targets_suspected: Cell::new(false),
        following: Cell::default(),
        store_failed_ms: Cell::new(None),
        store_recovered_ms: Cell::new(None),
        follow_started: Notify::new(),
        polls_all_engines: Cell::new(false),
        other_poller_seen_ms: Cell::new(0),
        seeds_queried: watch::Sender::new(false),
        observed_era: Cell::new(None),
        previous_lease: Cell::new(None),
        boxes_read: watch::Sender::new(false),
        missing_changes: Cell::default(),
        list_budget: Cell::default(),
        fetching: watch::Sender::new(false),
        store_suspected: Notify::new(),
        in_progress: Cell::new(0),
        requests_ended: Notify::new(),
        load_shedding: RefCell::default(),
        sheds_load_until_ms: Cell::new(0),
        stopping: CancellationToken::new(),
        stop_until_ms: Cell::new(None),
        stop_started_ms: Cell::new(None),
        refusing: CancellationToken::new(),
        closed: CancellationToken::new(),
        identity,
        keys: keys.clone(),
        settings: settings.clone(),
    });
    drop(file);
    let handler = Handler(relay.clone());
    let closed = relay.closed.clone();
    spawn_local(peers::serve_fleet(peers, keys, handler, traffic, closed));
    spawn_local(readiness::serve(relay.clone(), readiness));
    spawn_local(accept::serve(relay.clone(), callers));
    spawn_local(follow(relay.clone(), View::Declarations));
    spawn_local(follow(relay.clone(), View::Targets));
    spawn_local(run_eras(relay.clone()));
    spawn_local(run_poll_announcements(relay.clone()));
    spawn_local(run_missing_expiry(relay.clone()));
    spawn_local(run_snapshots(relay.clone()));
    spawn_local(discover_boxes(relay.clone()));
    spawn_local(keep_registration(relay.clone()));
    spawn_local(read_records(relay.clone()));
    spawn_local(run_exchanges(relay.clone()));
    spawn_local(relay.clone().run_progress_reports());
    let dispatching = relay.clone();
    spawn_local(async move { dispatching.run_dispatchers().await });
    spawn_local(run_engine_polls(relay.clone()));
    spawn_local(run_probes(relay.clone()));
    spawn_local(run_reachability_probes(relay.clone()));
    spawn_local(run_settings(relay.clone()));
    spawn_local(run_evacuation(relay.clone()));
    spawn_local(run_sweeps(relay.clone()));
    spawn_local(run_overload_monitor(relay.clone()));
    slog::info!(relay.log, "box started"; "callers" => %relay.identity.callers_address,
        "peers" => %peers_address, "store" => %relay.settings().store.address,
        "life" => relay.incarnation);
    Ok(Running(relay))
}

async fn run_sweeps(relay: Rc<Relay>) {
    loop {
        sleep(SWEEP_INTERVAL).await;
        let now_ms = relay.now_ms();
        relay.channels.borrow_mut().close_expired(now_ms);
        relay.remove_stale_grants();
        metrics::gauge!("shuntpier_generations_open")
            .set(relay.open_generations.borrow().count() as f64);
        let (buffered_bytes, max_bytes) = relay.memory.usage();
        metrics::gauge!("shuntpier_held_bytes").set(buffered_bytes as f64);
        metrics::gauge!("shuntpier_held_bytes_most").set(max_bytes as f64);
        metrics::gauge!("shuntpier_rate_limited_targets")
            .set(relay.targets.borrow().rate_limited_count() as f64);
        metrics::gauge!("shuntpier_requests_open").set(relay.in_progress.get() as f64);
    }
}

impl Running {
    /// Returns the identity of the box, with the addresses that it listens on.
    pub fn identity(&self) -> &FleetIdentity {
        &self.0.identity
    }

    /// Returns the state of the box for operators.
    pub fn view(&self) -> FleetView {
        self.0.view()
    }

    /// Lets all boxes forward requests with a withheld suspect again. Returns false if it is unknown.
    pub fn clear_suspect(&self, suspect: Suspect) -> bool {
        self.0.clear_suspect(suspect)
    }

    /// Stops gracefully: accepts no new channels, answers requests in progress, and returns when none is left or when the
    /// process is about to be killed.
    pub async fn stop(&self) {
        let relay = &self.0;
        let grace = stop_grace(relay);
        let started = Instant::now();
        let started_ms = relay.now_ms();
        relay.stop_started_ms.set(Some(started_ms));
        relay.limit_stop(started_ms, grace);
        slog::info!(relay.log, "stopping"; "in_progress" => relay.in_progress.get());
        relay.stopping.cancel();
        // Notifies the other boxes at once, so that roles of this box move to them.
        let notifier = relay.clone();
        spawn_local(async move { announce_self(&notifier).await });
        sleep(DRAIN_ACCEPT_TIME.min(grace / 2)).await;
        while relay.in_progress.get() > 0 {
            // The platform ends the process by the settings of SIGTERM or by later ones: the earlier end holds.
            let grace = grace.min(stop_grace(relay));
            relay.limit_stop(started_ms, grace);
            let until = started + grace.saturating_sub(STOP_MARGIN);
            if Instant::now() >= until {
                break;
            }
            let recheck = until.min(Instant::now() + GRACE_RECHECK_INTERVAL);
            let _ = timeout_at(recheck, relay.requests_ended.notified()).await;
        }
        // From here on, arriving requests are refused as not run and are not forwarded.
        relay.stop_until_ms.set(Some(relay.now_ms()));
        relay.refusing.cancel();
        sleep(FINAL_REFUSAL_TIME).await;
        slog::info!(relay.log, "stopped"; "in_progress" => relay.in_progress.get());
        relay.closed.cancel();
        tokio::task::yield_now().await;
    }
}
