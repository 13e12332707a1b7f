//! Boxes that only pass notices on, over the real links between peers.

use super::Row;
use crate::stats::Times;
use miette::IntoDiagnostic;
use peers::{
    AcquireRequest, AdoptedStream, ClaimRequest, ClaimResult, Digest, EndedStream, KeyOutcome,
    KeyRing, Notice, OutcomeRecord, PeerClients, PeerHandler, PermitReply, SettingsValue, Topology,
    Traffic, UpdateReply, UpdateRequest, next_hops, serve,
};
use prelude::{BoxId, BoxIncarnation, PermitId, PoolId};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;
use trial::ANY_PORT;

const NOTICES: u64 = 8;
/// Size of a branch, as operators write it.
const NOTICE_BYTES: usize = 2_000;
const CALL_LIMIT: Duration = Duration::from_millis(500);
const NOTICE_WAIT: Duration = Duration::from_millis(600);
const KEY: &str = "spread";

/// A box that passes notices on.
#[derive(Clone)]
struct Relay {
    own: BoxId,
    topology: Topology,
    members: Arc<[BoxId]>,
    clients: PeerClients,
    heard: Arc<Mutex<HashMap<u64, Instant>>>,
}

impl Relay {
    fn take(&self, origin: BoxId, notice: &Notice) {
        let Notice::Settings(value) = notice else {
            return;
        };
        let mut heard = self.heard.lock().unwrap_or_else(PoisonError::into_inner);
        if heard.contains_key(&value.revision) {
            return;
        }
        heard.insert(value.revision, Instant::now());
        drop(heard);
        let hops = next_hops(
            self.topology,
            &self.members,
            origin,
            self.own,
            &mut rand::rng(),
        );
        for to in hops {
            let (clients, notice) = (self.clients.clone(), notice.clone());
            tokio::spawn(async move {
                let call = clients.call(to, CALL_LIMIT, |client, context| async move {
                    client.notice(context, origin, notice).await
                });
                let _ = call.await;
            });
        }
    }
}

/// A relay takes notices only; the other calls are never made.
impl PeerHandler for Relay {
    fn link_refused(&self, _: Option<SocketAddr>) {}

    async fn notice(&self, origin: BoxId, notice: Notice) {
        self.take(origin, &notice);
    }

    async fn acquire(&self, _: AcquireRequest, _: u32, _: Vec<EndedStream>) -> PermitReply {
        PermitReply::Waiting { place: 0 }
    }

    async fn withdraw(&self, _: PoolId, _: PermitId) {}

    async fn update(&self, _: UpdateRequest) -> UpdateReply {
        UpdateReply::default()
    }

    async fn adopt(&self, _: BoxId, _: PoolId, _: Vec<AdoptedStream>) {}

    async fn digest(&self, digest: Digest) -> Digest {
        digest
    }

    async fn claim(&self, _: ClaimRequest) -> ClaimResult {
        ClaimResult::NotRecorded
    }

    async fn outcome(&self, _: BoxIncarnation, _: u128, _: u64, _: u32) -> KeyOutcome {
        KeyOutcome::NotKnown
    }

    async fn record_outcome(&self, _: OutcomeRecord) {}

    async fn taken_over(&self, _: u128) {}
}

/// Measures one way to spread. The dead boxes accept links and answer nothing, as paused ones do.
pub async fn measure(topology: Topology, boxes: u32, dead: u32) -> miette::Result<Row> {
    let members: Arc<[BoxId]> = (0..boxes).map(BoxId).collect();
    let mut listeners = Vec::new();
    for _ in 0..boxes {
        listeners.push(TcpListener::bind(ANY_PORT).await.into_diagnostic()?);
    }
    let addresses: Vec<SocketAddr> = listeners
        .iter()
        .filter_map(|listener| listener.local_addr().ok())
        .collect();
    let traffic = Arc::new(Traffic::default());
    let stop = CancellationToken::new();
    let mut live = Vec::new();
    let mut silent = Vec::new();
    for (listener, own) in listeners.into_iter().zip(members.iter().copied()) {
        // The dead are spread evenly, and the origin is not among them.
        if dead > 0 && own.0 % (boxes / dead) == 1 && silent.len() < dead as usize {
            silent.push(listener);
            continue;
        }
        let clients = PeerClients::new(KeyRing::new(&[KEY.to_owned()]), traffic.clone());
        for (id, address) in members.iter().zip(&addresses) {
            clients.set_address(*id, *address);
        }
        let relay = Relay {
            own,
            topology,
            members: members.clone(),
            clients,
            heard: Arc::default(),
        };
        let uncounted = Arc::new(Traffic::default());
        let keys = KeyRing::new(&[KEY.to_owned()]);
        tokio::spawn(serve(
            listener,
            keys,
            relay.clone(),
            uncounted,
            stop.clone(),
        ));
        live.push(relay);
    }
    let row = spread_all(topology, boxes, dead, &live, &traffic).await;
    stop.cancel();
    drop(silent);
    Ok(row)
}

async fn spread_all(
    topology: Topology,
    boxes: u32,
    dead: u32,
    live: &[Relay],
    traffic: &Traffic,
) -> Row {
    let mut times = Times::default();
    let mut reached = 0;
    // The first notice makes the links; it is not counted.
    spread(live, 0).await;
    let (bytes, calls) = (traffic.total_bytes(), traffic.calls.load(Ordering::Relaxed));
    for revision in 1..=NOTICES {
        let (count, time) = spread(live, revision).await;
        reached += count;
        if count == live.len() {
            times.add_us(time.as_micros() as u64);
        }
    }
    let notices = NOTICES as f64;
    Row {
        topology,
        boxes,
        dead,
        reached_share: reached as f64 / (notices * live.len() as f64),
        all_reached_p50_ms: times.ms(50.0),
        all_reached_p99_ms: times.ms(99.0),
        messages: (traffic.calls.load(Ordering::Relaxed) - calls) as f64 / notices,
        bytes: (traffic.total_bytes() - bytes) as f64 / notices,
    }
}

/// Spreads one notice; says how many heard it, and when the last of them did.
async fn spread(live: &[Relay], revision: u64) -> (usize, Duration) {
    let origin = &live[revision as usize % live.len()];
    let notice = Notice::Settings(SettingsValue {
        partner: "p".into(),
        revision,
        text: "x".repeat(NOTICE_BYTES),
    });
    let began = Instant::now();
    origin.take(origin.own, &notice);
    let heard_at = |relay: &Relay| {
        let heard = relay.heard.lock().unwrap_or_else(PoisonError::into_inner);
        heard.get(&revision).copied()
    };
    loop {
        let heard: Vec<Instant> = live.iter().filter_map(heard_at).collect();
        if heard.len() == live.len() || began.elapsed() > NOTICE_WAIT {
            let last = heard.iter().max().copied().unwrap_or(began);
            return (heard.len(), last - began);
        }
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
}
