//! Starts an entry box.

use crate::claimant::Claimant;
use crate::claims::{ClaimQueue, run_writer};
use crate::inforce::InForce;
use crate::members::Members;
use crate::orders::run_orders;
use crate::poller::{refresh_desks, run_local_views};
use crate::shared::{Node, Shared, TakenOver, lock};
use crate::spread::{run_digests, spread_own_card};
use crate::targets::TargetTable;
use crate::watcher::{read_box_list, run_box_list, run_settings};
use arc_swap::ArcSwap;
use callers::{
    ChatAnswer, ChatRequest, Front, ResumeSeal, ServeLimits, ServiceAnswer, ServiceCall,
};
use engines::EngineClient;
use peers::{BoxCard, KeyRing, PeerClients, SettingsValue, Topology, Traffic};
use prelude::{AccountId, BoxId, BoxIncarnation, Clock, DataCentreId, RegionId, unix_ms};
use reload::Live;
use services::ServiceClient;
use settings::{BoxFile, Resolved};
use slog::Logger;
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use store::{BoxListClient, Etcd};
use thiserror::Error;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

/// Where a box listens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Addresses {
    /// For callers.
    pub callers: SocketAddr,
    /// For peers.
    pub peers: SocketAddr,
    /// For operators.
    pub operators: SocketAddr,
}

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
    /// The HTTP library cannot start.
    #[error("the HTTP client cannot start: {0}")]
    Http(#[from] reqwest::Error),
}

async fn listen(what: &'static str, address: SocketAddr) -> Result<TcpListener, StartError> {
    TcpListener::bind(address)
        .await
        .map_err(|cause| StartError::Listen {
            what,
            address,
            cause,
        })
}

fn address_of(listener: &TcpListener, asked: SocketAddr) -> SocketAddr {
    listener.local_addr().unwrap_or(asked)
}

/// Interval at which the box list is read where the settings do not say.
const BOX_LIST_INTERVAL_MS: u64 = 1_000;
/// How notices are spread.
const TOPOLOGY: Topology = Topology::FanOut;

/// Starts a box and returns it with the addresses that it listens on.
///
/// # Errors
/// [`StartError`].
pub async fn start(file: BoxFile, log: Logger) -> Result<(Node, Addresses), StartError> {
    start_live(Arc::new(Live::new(file)), log).await
}

/// The same, with settings that may change while the box runs.
///
/// # Errors
/// [`StartError`].
pub async fn start_live(
    settings: Arc<Live<BoxFile>>,
    log: Logger,
) -> Result<(Node, Addresses), StartError> {
    let file = settings.load().value.clone();
    let keys = KeyRing::new(&file.keys.peer);
    let identity = &file.identity;
    let callers = listen("callers", identity.callers_address).await?;
    let peers = listen("peers", identity.peers_address).await?;
    let operators = listen("operators", identity.operators_address).await?;
    let addresses = Addresses {
        callers: address_of(&callers, identity.callers_address),
        peers: address_of(&peers, identity.peers_address),
        operators: address_of(&operators, identity.operators_address),
    };
    let card = BoxCard {
        id: BoxId(identity.id),
        life: BoxIncarnation(unix_ms()),
        address: addresses.peers,
        data_centre: DataCentreId::from_name(&identity.data_centre),
        leaving: false,
    };
    let urls = &file.platform.key_value_urls;
    let store = (!urls.is_empty()).then(|| Etcd::new(urls)).transpose()?;
    let list = file
        .platform
        .box_list_url
        .as_deref()
        .map(BoxListClient::new)
        .transpose()?;
    let traffic = Arc::new(Traffic::default());
    let (claim_queue, claim_jobs) = ClaimQueue::new();
    let log = log.new(slog::o!("box" => identity.id));
    let shared = Arc::new(Shared {
        card,
        region: RegionId::from_name(&identity.region),
        settings_file: settings.clone(),
        log,
        clock: Clock::new(),
        resolved: ArcSwap::from_pointee(Resolved::default()),
        in_force: Mutex::new(InForce::default()),
        told_revisions: Mutex::default(),
        changes: watch::Sender::new(0),
        members: Mutex::new(Members::new(card)),
        quarantine: Mutex::default(),
        targets: Mutex::new(TargetTable::default()),
        peers: PeerClients::new(keys.clone(), traffic.clone()),
        traffic: traffic.clone(),
        topology: TOPOLOGY,
        engines: EngineClient::new(file.limits.engine_silence_ms)?,
        services: ServiceClient::new()?,
        store: store.clone(),
        claim_queue,
        claimant: Claimant::default(),
        desks: Mutex::new(HashMap::new()),
        pools: Mutex::new(HashMap::new()),
        open_by_account: Mutex::new(HashMap::new()),
        open_streams: AtomicU64::new(0),
        taken_over: TakenOver::default(),
        burn: Mutex::default(),
        seal: ResumeSeal::new(&file.keys.resume),
        leaving: AtomicBool::new(false),
        stop: CancellationToken::new(),
        closed: CancellationToken::new(),
        callers_served: CancellationToken::new(),
        work: TaskTracker::new(),
        permits: AtomicU64::new(1),
    });
    offer_file_branches(&shared, &file);
    let node = Node(shared.clone());
    if let Some(list) = list {
        read_box_list(&shared, &list).await;
        let interval_ms = file
            .platform
            .box_list_interval_ms
            .unwrap_or(BOX_LIST_INTERVAL_MS);
        let interval = Duration::from_millis(interval_ms);
        tokio::spawn(run_box_list(shared.clone(), list, interval));
    }
    tokio::spawn(peers::serve(
        peers,
        keys.clone(),
        node.clone(),
        traffic,
        shared.closed.clone(),
    ));
    if let Some(store) = store {
        tokio::spawn(run_settings(shared.clone(), store.clone()));
        tokio::spawn(run_orders(shared.clone(), store.clone()));
        tokio::spawn(run_writer(shared.clone(), store, claim_jobs));
    }
    tokio::spawn(take_keys(settings, keys));
    tokio::spawn(run_digests(shared.clone()));
    tokio::spawn(run_local_views(shared.clone()));
    tokio::spawn(refresh_desks(shared.clone()));
    spread_own_card(&shared);
    let limits = ServeLimits {
        body_bytes: file.limits.body_bytes,
        header_time_ms: file.limits.header_time_ms,
    };
    let (stop, closed) = (shared.stop.clone(), shared.closed.clone());
    let serving = callers::serve(node.clone(), callers, limits, stop, closed);
    let served = shared.callers_served.clone();
    tokio::spawn(async move {
        serving.await;
        served.cancel();
    });
    let ended = shared.closed.clone().cancelled_owned();
    tokio::spawn(operators::serve(node.clone(), operators, ended));
    slog::info!(shared.log, "box started";
        "callers" => %addresses.callers, "peers" => %addresses.peers,
        "operators" => %addresses.operators);
    Ok((node, addresses))
}

/// Takes changes of the keys between boxes over. All other live fields are loaded where they are used.
async fn take_keys(settings: Arc<Live<BoxFile>>, keys: KeyRing) {
    let mut generations = settings.subscribe();
    while generations.changed().await.is_ok() {
        keys.set(&settings.load().keys.peer);
    }
}

/// Branches that stand in the box's own file are in force at revision 0, below any of the service's.
fn offer_file_branches(shared: &Shared, file: &BoxFile) {
    for branch in &file.branches {
        let text = serde_json::to_string(branch).unwrap_or_default();
        let value = SettingsValue {
            partner: branch.partner.clone(),
            revision: 0,
            text,
        };
        shared.offer(&value);
    }
}

impl Front for Node {
    fn authenticate(&self, key: &str) -> Option<AccountId> {
        self.0
            .resolved
            .load()
            .account_of_key(key)
            .map(|account| account.id)
    }

    fn models(&self) -> Vec<String> {
        let settings = self.0.resolved.load();
        let mut names: Vec<String> = settings
            .models
            .values()
            .map(|model| model.name.clone())
            .collect();
        names.sort();
        names
    }

    fn ready(&self) -> bool {
        !self.0.is_leaving() && !lock(&self.0.in_force).revisions().is_empty()
    }

    async fn chat(&self, account: AccountId, request: ChatRequest) -> ChatAnswer {
        let _in_progress = self.0.work.token();
        self.start_chat(account, request).await
    }

    async fn resume(&self, account: AccountId, last_event_id: &str) -> ChatAnswer {
        let _in_progress = self.0.work.token();
        self.resume_chat(account, last_event_id).await
    }

    async fn call(&self, account: AccountId, call: ServiceCall) -> ServiceAnswer {
        let _in_progress = self.0.work.token();
        self.call_service(account, call).await
    }
}
