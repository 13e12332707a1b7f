//! A watch: the writes to some keys, in order, as they take effect.

use crate::keyvalue::{StoreError, WatchStream};
use crate::wire::WatchLine;
use bytes::{Bytes, BytesMut};
use futures::StreamExt;
use futures::stream::BoxStream;
use prelude::Version;

/// Longest line that is read: a value of the service's largest size in base64, and some room.
const LINE_BYTES_MAX: usize = 4 * 1024 * 1024;

/// One write.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WatchEvent {
    /// The key.
    pub key: String,
    /// The value; none where the key was removed.
    pub value: Option<Vec<u8>>,
    /// The service's era; 0 where it tells none.
    pub era: u32,
    /// Revision of the write.
    pub revision: u64,
}

impl WatchEvent {
    /// When it was written.
    pub fn version(&self) -> Version {
        Version::new(self.era, self.revision)
    }
}

/// An open watch.
pub struct Watch {
    body: BoxStream<'static, Result<Bytes, reqwest::Error>>,
    read: BytesMut,
}

impl Watch {
    pub(crate) fn new(response: reqwest::Response) -> Self {
        Self {
            body: response.bytes_stream().boxed(),
            read: BytesMut::new(),
        }
    }

    fn take_line(&mut self) -> Option<BytesMut> {
        let end = self.read.iter().position(|byte| *byte == b'\n')?;
        Some(self.read.split_to(end + 1))
    }
}

impl WatchStream for Watch {
    async fn next(&mut self) -> Result<Vec<WatchEvent>, StoreError> {
        loop {
            if let Some(line) = self.take_line() {
                return parse_line(&line);
            }
            if self.read.len() > LINE_BYTES_MAX {
                return Err(StoreError::NotDone("a watch event is too large".into()));
            }
            match self.body.next().await {
                Some(Ok(bytes)) => self.read.extend_from_slice(&bytes),
                Some(Err(error)) => return Err(StoreError::NotDone(error.to_string())),
                None => return Err(StoreError::NotDone("the watch ended".into())),
            }
        }
    }
}

fn parse_line(line: &[u8]) -> Result<Vec<WatchEvent>, StoreError> {
    let line: WatchLine =
        serde_json::from_slice(line).map_err(|error| StoreError::NotDone(error.to_string()))?;
    if line.result.canceled {
        return Err(StoreError::NotDone(
            "the service cancelled the watch".into(),
        ));
    }
    let events = line.result.events.into_iter().map(|event| WatchEvent {
        key: String::from_utf8_lossy(&event.kv.key.0).into_owned(),
        value: (event.kind.as_deref() != Some("DELETE")).then_some(event.kv.value.0),
        era: 0,
        revision: event.kv.mod_revision.0,
    });
    Ok(events.collect())
}
