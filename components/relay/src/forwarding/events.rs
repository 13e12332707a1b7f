//! The events of a stream, passed on whole: an event that a target breaks off reaches no caller.

use thiserror::Error;

/// The longest event that is passed on.
const EVENT_BYTES_MAX: usize = 256 * 1024;

/// Why a stream cannot be passed on.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum EventError {
    /// An event does not end.
    #[error("an event is longer than {EVENT_BYTES_MAX} bytes")]
    TooLong,
}

/// Cuts bytes into events.
#[derive(Debug, Default)]
pub struct EventSplitter {
    pending: Vec<u8>,
}

/// Whole events, as they came.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Events {
    /// Their bytes.
    pub bytes: Vec<u8>,
    /// The id of the last of them that has one.
    pub last_id: Option<Box<str>>,
    /// How many they are.
    pub count: u32,
}

impl EventSplitter {
    /// Takes bytes in, and gives out the events that are now whole.
    ///
    /// # Errors
    /// [`EventError::TooLong`].
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

    /// Bytes of an event that has begun and is not whole.
    pub fn pending_bytes(&self) -> usize {
        self.pending.len()
    }

    /// Whether an event has begun that is not whole.
    pub fn is_within_event(&self) -> bool {
        !self.pending.is_empty()
    }
}

/// Where the event ends whose empty line begins at `from` or later.
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
