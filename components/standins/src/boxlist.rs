//! A stand-in box list: Prometheus' HTTP service-discovery JSON, shown with a lag.

use crate::host::{Host, HostError, listen};
use prelude::unix_ms;
use serde::Serialize;
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use warp::Filter;

/// One box in the list, as service discovery writes it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct BoxEntry {
    /// Addresses, `IP:port`.
    pub targets: Vec<String>,
    /// What is known of it: `box`, `state` (`live` or `leaving`), `data_centre`.
    pub labels: BTreeMap<String, String>,
}

impl BoxEntry {
    /// An entry box that listens for its peers at `address`.
    pub fn entry_box(id: u32, address: SocketAddr, data_centre: &str, state: &str) -> Self {
        let labels = [
            ("box", id.to_string()),
            ("data_centre", data_centre.to_owned()),
            ("state", state.to_owned()),
        ];
        let labels = labels
            .into_iter()
            .map(|(key, value)| (key.to_owned(), value));
        Self {
            targets: vec![address.to_string()],
            labels: labels.collect(),
        }
    }

    /// A target, by its name in the settings.
    pub fn target(name: &str, address: SocketAddr, state: &str) -> Self {
        let labels = [("target", name), ("state", state)];
        let labels = labels.map(|(key, value)| (key.to_owned(), value.to_owned()));
        Self {
            targets: vec![address.to_string()],
            labels: labels.into_iter().collect(),
        }
    }
}

type Versions = Arc<Mutex<VecDeque<(u64, Vec<BoxEntry>)>>>;

/// A running stand-in box list.
pub struct BoxList {
    versions: Versions,
    address: SocketAddr,
    _host: Host,
}

const VERSIONS_KEPT: usize = 256;

impl BoxList {
    /// Starts an empty list that is shown `lag_ms` late.
    ///
    /// # Errors
    /// [`HostError`], also where the address is taken.
    pub fn start(address: SocketAddr, lag_ms: u64) -> Result<Self, HostError> {
        let versions = Versions::default();
        let shown = versions.clone();
        let (host, made) = Host::start("standin-boxes", move || async move {
            let listener = listen(address)?;
            let address = listener.local_addr()?;
            let list = warp::any().map(move || {
                let before_ms = unix_ms().saturating_sub(lag_ms);
                warp::reply::json(&version_at(&shown, before_ms))
            });
            tokio::spawn(warp::serve(list).incoming(listener).run());
            Ok::<_, std::io::Error>(address)
        })?;
        Ok(Self {
            versions,
            address: made?,
            _host: host,
        })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Replaces the whole list.
    pub fn set(&self, entries: Vec<BoxEntry>) {
        let mut versions = self.versions.lock().unwrap_or_else(PoisonError::into_inner);
        // The first list is shown at once, so that a start needs no wait.
        let at_ms = if versions.is_empty() { 0 } else { unix_ms() };
        versions.push_back((at_ms, entries));
        if versions.len() > VERSIONS_KEPT {
            versions.pop_front();
        }
    }

    /// Changes the newest list.
    pub fn update(&self, change: impl FnOnce(&mut Vec<BoxEntry>)) {
        let mut entries = version_at(&self.versions, u64::MAX);
        change(&mut entries);
        self.set(entries);
    }
}

fn version_at(versions: &Versions, before_ms: u64) -> Vec<BoxEntry> {
    let versions = versions.lock().unwrap_or_else(PoisonError::into_inner);
    let shown = versions.iter().rev().find(|version| version.0 <= before_ms);
    shown.map(|version| version.1.clone()).unwrap_or_default()
}
