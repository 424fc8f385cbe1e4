//! Cuts a stream of server-sent events into whole events, byte for byte.

use bytes::{Buf, BytesMut};
use thiserror::Error;

/// The largest event, in bytes; a stream with a larger one is broken off.
const MAX_EVENT_BYTES: usize = 256 * 1024;

/// One event exactly as the upstream sent it, the blank line at its end included.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StreamEvent {
    /// The value of its `id` field, if it is a number.
    pub id: Option<u32>,
    /// The whole text.
    pub text: String,
}

/// Why bytes are no stream of events.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
pub enum EventError {
    /// An event is not UTF-8.
    #[error("an event is not UTF-8")]
    NotUtf8,
    /// An event does not end.
    #[error("an event is larger than {MAX_EVENT_BYTES} bytes")]
    TooLarge,
}

/// Collects bytes until an event is whole.
#[derive(Debug, Default)]
pub struct EventDecoder {
    buffer: BytesMut,
    /// Up to where the buffer has been searched for the end of an event.
    searched: usize,
}

impl EventDecoder {
    /// Takes bytes in.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Returns the next whole event, or nothing until more bytes come.
    ///
    /// # Errors
    ///
    /// Returns why the bytes are no stream of events.
    pub fn next_event(&mut self) -> Result<Option<StreamEvent>, EventError> {
        let Some(end) = self.find_end() else {
            return if self.buffer.len() > MAX_EVENT_BYTES {
                Err(EventError::TooLarge)
            } else {
                Ok(None)
            };
        };
        let event = self.buffer.split_to(end);
        self.searched = 0;
        let text = String::from_utf8(event.to_vec()).map_err(|_| EventError::NotUtf8)?;
        let id = text.lines().find_map(|line| line.strip_prefix("id:"));
        Ok(Some(StreamEvent { id: id.and_then(|id| id.trim().parse().ok()), text }))
    }

    /// Returns whether the bytes so far end with an event.
    pub fn is_empty(&self) -> bool {
        !self.buffer.has_remaining()
    }

    /// Returns the length of the first event: up to and with its blank line.
    fn find_end(&mut self) -> Option<usize> {
        let from = self.searched.saturating_sub(3);
        for at in from..self.buffer.len() {
            let rest = &self.buffer[at..];
            if rest.starts_with(b"\n\n") {
                return Some(at + 2);
            }
            if rest.starts_with(b"\r\n\r\n") {
                return Some(at + 4);
            }
        }
        self.searched = self.buffer.len();
        None
    }
}
