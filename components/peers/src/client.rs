//! Links to peers, made when first needed and again after a failure.

use crate::counted::{Counted, Traffic};
use crate::fleet::FleetClient;
use crate::handshake;
use crate::keys::KeyRing;
use crate::server::codec;
use crate::service::PeerClient;
use prelude::BoxId;
use socket2::{SockRef, TcpKeepalive};
use std::collections::HashMap;
use std::future::Future;
use std::net::SocketAddr;
use std::pin::pin;
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};
use tarpc::client::RpcError;
use tarpc::context::{self, Context};
use tarpc::tokio_serde::formats::Bincode;
use thiserror::Error;
use tokio::net::TcpStream;
use tokio_util::codec::{Framed, LengthDelimitedCodec};

/// Why a peer gave no answer.
#[derive(Debug, Error)]
pub enum PeerError {
    /// No address of the box is known.
    #[error("box {0} is not known")]
    NotKnown(BoxId),
    /// No link could be made: the peer was sent nothing.
    #[error("box {id} cannot be reached: {cause}")]
    NotReached {
        /// The box.
        id: BoxId,
        /// Why.
        cause: std::io::Error,
    },
    /// The call was sent and no answer came.
    #[error("box {id} did not answer within {limit_ms} ms (waited {waited_ms} ms): {cause}")]
    NoAnswer {
        /// The box.
        id: BoxId,
        /// How long it had to answer, in ms.
        limit_ms: u64,
        /// How long this box waited, in ms. Much more than the limit if this process was not scheduled.
        waited_ms: u64,
        /// Why.
        cause: RpcError,
    },
}

impl PeerError {
    /// How long the box had to answer, in ms, if the call was sent and it did not answer in time. Any other error shows
    /// that its process or the path to it is gone.
    pub fn timeout_ms(&self) -> Option<u64> {
        match self {
            Self::NoAnswer {
                limit_ms,
                cause: RpcError::DeadlineExceeded,
                ..
            } => Some(*limit_ms),
            _ => None,
        }
    }
}

const CONNECT_LIMIT: Duration = Duration::from_millis(300);

/// Bytes on a link that are not acknowledged for this long end it: behind a cut nothing is said, and the system's
/// own pauses grow to many seconds, which would go on when the cut is long over.
const UNACKNOWLEDGED_LIMIT: Duration = Duration::from_millis(1_500);

/// A link that rests is probed after this time, and at this interval: a link may fall silent for good without a word,
/// and the first call on it would be lost.
const PROBE_EACH: Duration = Duration::from_secs(1);

/// Sets what every link has.
pub(crate) fn tune(link: &TcpStream) -> std::io::Result<()> {
    link.set_nodelay(true)?;
    let socket = SockRef::from(link);
    let probes = TcpKeepalive::new()
        .with_time(PROBE_EACH)
        .with_interval(PROBE_EACH);
    socket.set_tcp_keepalive(&probes)?;
    socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_LIMIT))
}

/// A link whose both sides know each other, cut into messages.
pub type LinkFrames = Framed<Counted<TcpStream>, LengthDelimitedCodec>;

/// A client of one of the services between boxes.
pub trait LinkClient: Clone + Send + 'static {
    /// Starts it on an open link.
    fn start(frames: LinkFrames) -> Self;
}

impl LinkClient for PeerClient {
    fn start(frames: LinkFrames) -> Self {
        let transport = tarpc::serde_transport::new(frames, Bincode::default());
        Self::new(tarpc::client::Config::default(), transport).spawn()
    }
}

impl LinkClient for FleetClient {
    fn start(frames: LinkFrames) -> Self {
        let transport = tarpc::serde_transport::new(frames, Bincode::default());
        Self::new(tarpc::client::Config::default(), transport).spawn()
    }
}

/// Links of the boxes that hold streams for callers who may come back through any box.
pub type PeerClients = Links<PeerClient>;
/// Links of the boxes of a platform's fleet.
pub type FleetClients = Links<FleetClient>;

/// Time to read an answer that is already in the socket.
const READ_TIME: Duration = Duration::from_millis(10);

/// How much longer than its caller a link waits for an answer, so that it does not drop one that arrives while this
/// process is not scheduled. A caller that gives up cancels its call.
const DEADLINE_MARGIN: Duration = Duration::from_secs(10);

/// A link that carried no call for this long is closed. A box calls many others once and few of them often; a link that
/// rests takes some 25 KB at each side.
const IDLE_LIMIT: Duration = Duration::from_secs(8);

/// An open link, and the key that it was made with.
struct Held<C> {
    client: C,
    key: String,
}

struct Slot<C> {
    address: SocketAddr,
    client: tokio::sync::Mutex<Option<Held<C>>>,
    used: Mutex<Instant>,
}

impl<C> Slot<C> {
    fn new(address: SocketAddr) -> Self {
        Self {
            address,
            client: tokio::sync::Mutex::new(None),
            used: Mutex::new(Instant::now()),
        }
    }

    fn note_use(&self) {
        *self.used.lock().unwrap_or_else(PoisonError::into_inner) = Instant::now();
    }

    fn is_idle(&self) -> bool {
        let used = *self.used.lock().unwrap_or_else(PoisonError::into_inner);
        used.elapsed() > IDLE_LIMIT
    }
}

type Slots<C> = Arc<Mutex<HashMap<BoxId, Arc<Slot<C>>>>>;

/// Links to all peers. Cheap to clone.
#[derive(Clone)]
pub struct Links<C> {
    keys: KeyRing,
    slots: Slots<C>,
    traffic: Arc<Traffic>,
}

impl<C: LinkClient> Links<C> {
    /// No links yet; the first of `keys` is used to prove who we are, and the others where that one is refused, as
    /// boxes get new keys one after another.
    pub fn new(keys: KeyRing, traffic: Arc<Traffic>) -> Self {
        Self {
            keys,
            slots: Arc::default(),
            traffic,
        }
    }

    /// Sets where a box listens.
    pub fn set_address(&self, id: BoxId, address: SocketAddr) {
        let mut slots = self.slots.lock().unwrap_or_else(PoisonError::into_inner);
        if slots.get(&id).is_some_and(|slot| slot.address == address) {
            return;
        }
        slots.insert(id, Arc::new(Slot::new(address)));
    }

    /// Closes links that carried no call lately; they are made again when they are needed.
    pub fn drop_idle(&self) {
        let slots = self.slots.lock().unwrap_or_else(PoisonError::into_inner);
        for slot in slots.values().filter(|slot| slot.is_idle()) {
            // A link that is being made is not idle.
            if let Ok(mut client) = slot.client.try_lock() {
                *client = None;
            }
        }
    }

    /// Forgets a box and drops its link.
    pub fn forget(&self, id: BoxId) {
        self.slots
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .remove(&id);
    }

    /// Calls a box, waiting for its answer for `limit` at the most.
    ///
    /// # Errors
    /// [`PeerError`], which says whether the call was sent.
    pub async fn call<T, F, Fut>(&self, id: BoxId, limit: Duration, call: F) -> Result<T, PeerError>
    where
        F: FnOnce(C, Context) -> Fut,
        Fut: Future<Output = Result<T, RpcError>>,
    {
        let slot = {
            let slots = self.slots.lock().unwrap_or_else(PoisonError::into_inner);
            slots.get(&id).cloned().ok_or(PeerError::NotKnown(id))?
        };
        slot.note_use();
        let client = self.client(id, &slot).await?;
        let mut context = context::current();
        let sent_at = Instant::now();
        context.deadline = sent_at + limit + DEADLINE_MARGIN;
        self.traffic.calls.fetch_add(1, Ordering::Relaxed);
        match answer_within(limit, call(client, context)).await {
            Ok(value) => Ok(value),
            Err(cause) => {
                if !matches!(cause, RpcError::DeadlineExceeded) {
                    *slot.client.lock().await = None;
                }
                let waited_ms = sent_at.elapsed().as_millis() as u64;
                Err(PeerError::NoAnswer {
                    id,
                    limit_ms: limit.as_millis() as u64,
                    waited_ms,
                    cause,
                })
            }
        }
    }

    async fn client(&self, id: BoxId, slot: &Slot<C>) -> Result<C, PeerError> {
        let mut held = slot.client.lock().await;
        if let Some(open) = held.as_ref().filter(|open| self.keys.has(&open.key)) {
            return Ok(open.client.clone());
        }
        let open = self
            .connect(slot.address)
            .await
            .map_err(|cause| PeerError::NotReached { id, cause })?;
        let client = open.client.clone();
        *held = Some(open);
        Ok(client)
    }

    async fn connect(&self, address: SocketAddr) -> std::io::Result<Held<C>> {
        let connecting = async {
            let mut refused = Err(std::io::ErrorKind::PermissionDenied.into());
            for key in self.keys.now().iter() {
                let mut link = TcpStream::connect(address).await?;
                tune(&link)?;
                match handshake::connect(&mut link, key).await {
                    Ok(()) => return Ok((link, key.clone())),
                    Err(error) if handshake::is_refusal(&error) => refused = Err(error),
                    Err(error) => return Err(error),
                }
            }
            refused
        };
        let (link, key) = tokio::time::timeout(CONNECT_LIMIT, connecting).await??;
        let framed = Framed::new(Counted::new(link, self.traffic.clone()), codec());
        let client = C::start(framed);
        Ok(Held { client, key })
    }
}

/// Waits for the answer to a call. Time in which this process was not scheduled does not count against the peer: the
/// answer may wait in the socket, or the call may not have been written yet.
async fn answer_within<T>(
    limit: Duration,
    call: impl Future<Output = Result<T, RpcError>>,
) -> Result<T, RpcError> {
    let mut call = pin!(call);
    let called_at = tokio::time::Instant::now();
    if let Ok(answered) = tokio::time::timeout(limit, &mut call).await {
        return answered;
    }
    let overrun = called_at.elapsed().saturating_sub(limit);
    let extension = overrun.clamp(READ_TIME, limit.max(READ_TIME));
    match tokio::time::timeout(extension, call).await {
        Ok(answered) => answered,
        Err(_) => Err(RpcError::DeadlineExceeded),
    }
}

#[cfg(test)]
#[path = "client_tests.rs"]
mod tests;
