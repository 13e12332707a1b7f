//! Splits a server-sent event stream into complete events, so that no caller receives a truncated event.

use thiserror::Error;

/// Maximum size of an event.
const EVENT_BYTES_MAX: usize = 256 * 1024;

/// Why a stream cannot be forwarded.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum EventError {
    /// An event exceeds the maximum size.
    #[error("an event is longer than {EVENT_BYTES_MAX} bytes")]
    TooLong,
}

/// Splits bytes into events.
#[derive(Debug, Default)]
pub struct EventSplitter {
    pending: Vec<u8>,
}

/// Complete events, byte for byte as received.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Events {
    /// The bytes of the events.
    pub bytes: Vec<u8>,
    /// The id of the last event that has one.
    pub last_id: Option<Box<str>>,
    /// Number of events.
    pub count: u32,
}

impl EventSplitter {
    /// Adds received bytes and returns the events that are now complete.
    ///
    /// # Errors
    /// [`EventError::TooLong`] if the incomplete event exceeds the maximum size.
    pub fn push(&mut self, data: &[u8]) -> Result<Events, EventError> {
        let already_searched = self.pending.len().saturating_sub(3);
        self.pending.extend_from_slice(data);
        let mut events = Events::default();
        let mut event_start = 0;
        let mut search_from = already_searched;
        while let Some(end) = event_end(&self.pending, search_from.max(event_start)) {
            let event = &self.pending[event_start..end];
            if let Some(id) = event_id(event) {
                events.last_id = Some(id);
            }
            events.count += 1;
            event_start = end;
            search_from = end;
        }
        events.bytes.extend_from_slice(&self.pending[..event_start]);
        self.pending.drain(..event_start);
        match self.pending.len() > EVENT_BYTES_MAX {
            true => Err(EventError::TooLong),
            false => Ok(events),
        }
    }

    /// Number of buffered bytes of an incomplete event.
    pub fn pending_bytes(&self) -> usize {
        self.pending.len()
    }

    /// Whether an event is incomplete.
    pub fn is_within_event(&self) -> bool {
        !self.pending.is_empty()
    }
}

/// The end of the event whose terminating empty line starts at `from` or later.
fn event_end(bytes: &[u8], from: usize) -> Option<usize> {
    let mut search_from = from;
    while let Some(newline) = bytes
        .get(search_from..)?
        .iter()
        .position(|byte| *byte == b'\n')
    {
        let next = search_from + newline + 1;
        match bytes.get(next) {
            Some(b'\n') => return Some(next + 1),
            Some(b'\r') if bytes.get(next + 1) == Some(&b'\n') => return Some(next + 2),
            _ => search_from = next,
        }
    }
    None
}

fn event_id(event: &[u8]) -> Option<Box<str>> {
    let mut lines = event.rsplit(|byte| *byte == b'\n');
    let id = lines.find_map(|line| line.strip_prefix(b"id:"))?;
    let id = std::str::from_utf8(id).ok()?.trim();
    Some(id.into())
}
