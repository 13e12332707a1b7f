//! Starts and stops a box.

use crate::dispatch::reports::{run_reports, run_trials};
use crate::held::Holdings;
use crate::ingress::accept;
use crate::ingress::overload::run_overload_monitor;
use crate::ingress::readiness;
use crate::membership::exchange::{greet, run_exchanges};
use crate::membership::gossip::Handler;
use crate::membership::members::{LIFE_UNKNOWN, Members};
use crate::membership::registration::{box_id, keep_registration, read_boxes};
use crate::quarantine::record::read_records;
use crate::rate_limit::state::RateLimits;
use crate::reconfigure::run_settings;
use crate::state::{Relay, held_bounds};
use crate::watch::election::View;
use crate::watch::era::run_eras;
use crate::watch::evacuation::run_evacuation;
use crate::watch::target_snapshot::run_snapshots;
use crate::watch::watcher::{follow, run_asking, run_missing};
use http1::Listener;
use operators::FleetView;
use peers::{FleetClients, KeyRing, Traffic};
use platform::FleetStore;
use prelude::{Clock, DataCentreId, RequestKey};
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

/// How often what rests is looked over.
const SWEEP_EACH: Duration = Duration::from_millis(1_000);
/// How long a stopping box still takes channels: until the platform has asked twice whether it is ready,
/// and what it sent before has come.
const LAST_CHANNELS: Duration = Duration::from_millis(2_700);
/// Left of the time until the process is killed.
const STOP_MARGIN: Duration = Duration::from_millis(400);
/// How long a box with nothing left refuses what is on its way, before it closes.
const LAST_REFUSALS: Duration = Duration::from_millis(80);

/// Why a box did not start.
#[derive(Debug, Error)]
pub enum StartError {
    /// An address is taken or not ours.
    #[error("cannot listen on {address} for {what}: {cause}")]
    Listen {
        /// For whom.
        what: &'static str,
        /// Where.
        address: SocketAddr,
        /// Why.
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

/// A box that runs.
#[derive(Clone)]
pub struct Running(Rc<Relay>);

/// Starts a box in the local set that it is called in.
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
    // Port 0 asks for any free one: what is told to peers is the address that was got.
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
        life: rand::random_range(LIFE_UNKNOWN + 1..=u32::MAX),
        data_centre: DataCentreId::from_name(&identity.data_centre),
        store: FleetStore::new(file.store.address),
        peers: FleetClients::new(keys.clone(), traffic.clone()),
        declared: RefCell::default(),
        declared_confirmed_ms: Cell::new(None),
        evacuation: RefCell::default(),
        targets: RefCell::default(),
        refused_entries: RefCell::default(),
        target_changes: watch::Sender::new(0),
        channels: RefCell::default(),
        held: Holdings::new(held_bounds(&file.limits)),
        balance: RefCell::default(),
        calls_ended: Notify::new(),
        rate_limits: RateLimits::default(),
        quarantine: RefCell::default(),
        broken_runs: RefCell::default(),
        resends: RefCell::default(),
        members: RefCell::new(Members::new(id, file.limits.link_mbps as u32)),
        dispatchers: RefCell::new(HashMap::new()),
        open_generations: RefCell::default(),
        account_labels: RefCell::default(),
        completion: RefCell::default(),
        peer_doubted: Notify::new(),
        generations_changed: Notify::new(),
        store_fails: Cell::new(false),
        targets_doubted: Cell::new(false),
        following: Cell::default(),
        store_back_ms: Cell::new(None),
        begins_to_follow: Notify::new(),
        asking: Cell::new(false),
        heard_asker_ms: Cell::new(0),
        seeds_asked: watch::Sender::new(false),
        era_seen: Cell::new(None),
        former_lease: Cell::new(None),
        boxes_read: watch::Sender::new(false),
        lacking: Cell::default(),
        lists_told: Cell::default(),
        fetching: watch::Sender::new(false),
        store_doubted: Notify::new(),
        in_progress: Cell::new(0),
        requests_ended: Notify::new(),
        stand_backs: RefCell::default(),
        stands_back_until_ms: Cell::new(0),
        stopping: CancellationToken::new(),
        stop_until_ms: Cell::new(None),
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
    spawn_local(run_asking(relay.clone()));
    spawn_local(run_missing(relay.clone()));
    spawn_local(run_snapshots(relay.clone()));
    spawn_local(read_boxes(relay.clone()));
    spawn_local(keep_registration(relay.clone()));
    spawn_local(read_records(relay.clone()));
    spawn_local(run_exchanges(relay.clone()));
    spawn_local(relay.clone().run_telling());
    let looked = relay.clone();
    spawn_local(async move { looked.run_dispatchers().await });
    spawn_local(run_reports(relay.clone()));
    spawn_local(run_trials(relay.clone()));
    spawn_local(run_settings(relay.clone()));
    spawn_local(run_evacuation(relay.clone()));
    spawn_local(run_sweeps(relay.clone()));
    spawn_local(run_overload_monitor(relay.clone()));
    slog::info!(relay.log, "box started"; "callers" => %relay.identity.callers_address,
        "peers" => %peers_address, "store" => %relay.file().store.address, "life" => relay.life);
    Ok(Running(relay))
}

async fn run_sweeps(relay: Rc<Relay>) {
    loop {
        sleep(SWEEP_EACH).await;
        let now_ms = relay.now_ms();
        relay.channels.borrow_mut().close_expired(now_ms);
        relay.sweep_grants();
        metrics::gauge!("shuntpier_generations_open")
            .set(relay.open_generations.borrow().count() as f64);
        let (held_bytes, most_bytes) = relay.held.fill();
        metrics::gauge!("shuntpier_held_bytes").set(held_bytes as f64);
        metrics::gauge!("shuntpier_held_bytes_most").set(most_bytes as f64);
        metrics::gauge!("shuntpier_rate_limited_targets")
            .set(relay.targets.borrow().rate_limited_count() as f64);
        metrics::gauge!("shuntpier_requests_open").set(relay.in_progress.get() as f64);
    }
}

impl Running {
    /// Who the box is, with the addresses that it listens on.
    pub fn identity(&self) -> &FleetIdentity {
        &self.0.identity
    }

    /// The box as operators see it.
    pub fn view(&self) -> FleetView {
        self.0.view()
    }

    /// Has all boxes send a withheld request on again. False where nothing is known of it.
    pub fn clear_request(&self, request: RequestKey) -> bool {
        self.0.clear_request(request)
    }

    /// Stops by plan: takes no new channels, answers what is in progress, and returns when nothing is, or
    /// when the time until the process is killed is nearly over.
    pub async fn stop(&self) {
        let relay = &self.0;
        let grace = Duration::from_secs_f64(relay.file().promises.stop_grace_s);
        let time = grace.saturating_sub(STOP_MARGIN);
        let until = Instant::now() + time;
        let until_ms = relay.now_ms() + time.as_millis() as u64;
        relay.stop_until_ms.set(Some(until_ms));
        slog::info!(relay.log, "stopping"; "in_progress" => relay.in_progress.get());
        relay.stopping.cancel();
        // The others hear at once that this box holds no role any more.
        let told = relay.clone();
        spawn_local(async move { greet(&told).await });
        sleep(LAST_CHANNELS.min(grace / 2)).await;
        while relay.in_progress.get() > 0 {
            let ended = relay.requests_ended.notified();
            if timeout_at(until, ended).await.is_err() {
                break;
            }
        }
        // From here on nothing is taken: what comes while the process ends is told so, and not sent on.
        relay.stop_until_ms.set(Some(relay.now_ms()));
        sleep(LAST_REFUSALS).await;
        slog::info!(relay.log, "stopped"; "in_progress" => relay.in_progress.get());
        relay.closed.cancel();
        tokio::task::yield_now().await;
    }
}
