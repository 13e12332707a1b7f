//! The box list: which boxes and targets the platform shows, live or leaving. It lags.

use prelude::{BoxId, DataCentreId, TargetId};
use reqwest::Client;
use serde::Deserialize;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;
use thiserror::Error;

const CALL_LIMIT: Duration = Duration::from_secs(2);

/// Why the list could not be read.
#[derive(Debug, Error)]
#[error("the box list cannot be read: {0}")]
pub struct BoxListError(#[from] reqwest::Error);

/// What the list says of a box.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListedState {
    /// It runs.
    Live,
    /// It is being taken away.
    Leaving,
}

/// An entry box in the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ListedBox {
    /// Its number.
    pub id: BoxId,
    /// Where its peers reach it.
    pub address: SocketAddr,
    /// The data centre it stands in, where the list says so.
    pub data_centre: DataCentreId,
    /// What the list says.
    pub state: ListedState,
}

/// A target in the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ListedTarget {
    /// Its key.
    pub id: TargetId,
    /// What the list says.
    pub state: ListedState,
}

/// The list at one time.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Listing {
    /// Entry boxes.
    pub boxes: Vec<ListedBox>,
    /// Targets.
    pub targets: Vec<ListedTarget>,
}

#[derive(Deserialize)]
struct Entry {
    targets: Vec<String>,
    #[serde(default)]
    labels: BTreeMap<String, String>,
}

/// Reads the box list. Cheap to clone.
#[derive(Clone, Debug)]
pub struct BoxListClient {
    http: Client,
    url: String,
}

impl BoxListClient {
    /// A client of the list at `url`.
    ///
    /// # Errors
    /// The HTTP library's, where it cannot start.
    pub fn new(url: &str) -> Result<Self, reqwest::Error> {
        let http = Client::builder().timeout(CALL_LIMIT).no_proxy().build()?;
        Ok(Self {
            http,
            url: url.to_owned(),
        })
    }

    /// Reads the list. Entries that make no sense are passed over.
    ///
    /// # Errors
    /// [`BoxListError`].
    pub async fn read(&self) -> Result<Listing, BoxListError> {
        let response = self.http.get(&self.url).send().await?.error_for_status()?;
        let entries: Vec<Entry> = response.json().await?;
        Ok(listing(&entries))
    }
}

fn listing(entries: &[Entry]) -> Listing {
    let mut listing = Listing::default();
    for entry in entries {
        let leaving = entry
            .labels
            .get("state")
            .is_some_and(|state| state == "leaving");
        let state = if leaving {
            ListedState::Leaving
        } else {
            ListedState::Live
        };
        if let Some(name) = entry.labels.get("target") {
            let id = TargetId::from_name(name);
            listing.targets.push(ListedTarget { id, state });
        }
        let id = entry.labels.get("box").and_then(|id| id.parse().ok());
        let address = entry
            .targets
            .first()
            .and_then(|address| address.parse().ok());
        if let (Some(id), Some(address)) = (id, address) {
            let data_centre = entry.labels.get("data_centre");
            listing.boxes.push(ListedBox {
                id: BoxId(id),
                address,
                data_centre: data_centre
                    .map_or_else(DataCentreId::default, |name| DataCentreId::from_name(name)),
                state,
            });
        }
    }
    listing
}

#[cfg(test)]
#[path = "boxes_tests.rs"]
mod tests;
