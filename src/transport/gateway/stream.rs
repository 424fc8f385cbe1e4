//! Splits a stream of server-sent events into events without changing a byte.

use bytes::{Buf, BytesMut};
use thiserror::Error;

/// The largest event, in bytes; a stream with a larger one is aborted.
const MAX_EVENT_BYTES: usize = 256 * 1024;

/// One event as the upstream sent it, including the blank line at its end.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StreamEvent {
    /// The value of its `id` field, if it is a number.
    pub id: Option<u32>,
    /// The complete text of the event.
    pub text: String,
}

/// Why a response is not a valid stream of events.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
pub enum EventError {
    /// An event is not UTF-8.
    #[error("an event is not UTF-8")]
    NotUtf8,
    /// An event is longer than the limit.
    #[error("an event is larger than {MAX_EVENT_BYTES} bytes")]
    TooLarge,
}

/// Buffers received bytes until an event is complete.
#[derive(Debug, Default)]
pub struct EventDecoder {
    buffer: BytesMut,
    /// The length of the buffer's beginning in which no event ends.
    searched: usize,
}

impl EventDecoder {
    /// Appends received bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Returns the next complete event, or `None` if more bytes are needed.
    ///
    /// # Errors
    ///
    /// Returns an error when an event is too large or is not UTF-8.
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

    /// Returns whether the received bytes end with the end of an event.
    pub fn is_empty(&self) -> bool {
        !self.buffer.has_remaining()
    }

    /// Returns the length of the first event, including its blank line.
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
