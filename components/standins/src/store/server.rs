//! The store as a process, with the faults that the platform's service has.

use super::api;
use super::data::Data;
use super::messages::{Base64, Number};
use crate::host::{Host, HostError, listen};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use tokio::sync::Notify;

/// Faults that can be switched on while the store runs, and counts of its calls.
#[derive(Default)]
pub struct StoreFaults {
    /// Answers nothing but errors.
    pub down: AtomicBool,
    /// Time added to each answer.
    pub slow_ms: AtomicU64,
    /// Writes take effect, but every how manieth answer is lost; 0 for none.
    pub lose_every: AtomicU64,
    /// Raised to end all watches.
    pub watch_epoch: AtomicU64,
    /// Writes taken a second at the most; 0 for no limit.
    pub writes_per_s: AtomicU64,
    /// Calls that write, so far.
    pub writes: AtomicU64,
    /// Calls that read, so far.
    pub reads: AtomicU64,
    /// Watches begun, so far.
    pub watches: AtomicU64,
    /// Answers lost, so far.
    pub lost: AtomicU64,
}

/// What the API works on.
#[derive(Default)]
pub(super) struct State {
    data: Mutex<Data>,
    pub faults: Arc<StoreFaults>,
    pub changed: Notify,
    pub window: Mutex<(u64, u64)>,
}

impl State {
    pub fn lock(&self) -> MutexGuard<'_, Data> {
        self.data.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A running stand-in of the key-value service.
pub struct StandinStore {
    state: Arc<State>,
    address: SocketAddr,
    _host: Host,
}

impl StandinStore {
    /// Starts an empty store.
    ///
    /// # Errors
    /// [`HostError`], also where the address is taken.
    pub fn start(address: SocketAddr) -> Result<Self, HostError> {
        let state = Arc::new(State::default());
        let shared = state.clone();
        let (host, made) = Host::start("standin-store", move || async move {
            let listener = listen(address)?;
            let address = listener.local_addr()?;
            tokio::spawn(api::serve(shared, listener));
            Ok::<_, std::io::Error>(address)
        })?;
        Ok(Self {
            state,
            address: made?,
            _host: host,
        })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Its base URL.
    pub fn url(&self) -> String {
        format!("http://{}", self.address)
    }

    /// Its faults and counts.
    pub fn faults(&self) -> &StoreFaults {
        &self.state.faults
    }

    /// Ends every watch.
    pub fn drop_watches(&self) {
        self.state
            .faults
            .watch_epoch
            .fetch_add(1, Ordering::Relaxed);
        self.state.changed.notify_waiters();
    }

    /// Writes a value without a call, to prepare a test.
    pub fn seed(&self, key: &str, value: &[u8]) {
        let mut data = self.state.lock();
        data.revision += 1;
        data.put(&Base64(key.as_bytes().to_vec()), &Base64(value.to_vec()));
        drop(data);
        self.state.changed.notify_waiters();
    }

    /// Every write that took effect, as (revision, key, value), in order.
    pub fn history(&self) -> Vec<(u64, String, Vec<u8>)> {
        let data = self.state.lock();
        let writes = data.history.iter().map(|(revision, event)| {
            let key = String::from_utf8_lossy(&event.kv.key.0).into_owned();
            (*revision, key, event.kv.value.0.clone())
        });
        writes.collect()
    }

    /// The newest revision.
    pub fn revision(&self) -> u64 {
        Number(self.state.lock().revision).0
    }
}
