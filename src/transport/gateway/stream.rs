//! Splits a stream of server-sent events into events without changing a byte of them.
//!
//! What stands between events is no event: blank lines and blocks of comments, which keep a connection
//! alive. See <https://html.spec.whatwg.org/multipage/server-sent-events.html>.

use bytes::{Buf, BytesMut};
use thiserror::Error;

/// The largest event with what stands before it, in bytes; a stream with more is aborted.
const MAX_EVENT_BYTES: usize = 256 * 1024;
/// What a stream may begin with.
const BYTE_ORDER_MARK: &[u8] = b"\xef\xbb\xbf";

/// The names of the fields that a stream of events has.
const FIELD_NAMES: [&[u8]; 4] = [b"data", b"event", b"id", b"retry"];

/// One event as the upstream sent it, including the blank line at its end.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StreamEvent {
    /// The value of its last `id` field.
    pub id: u32,
    /// The complete text of the event.
    pub text: String,
}

/// Why a response is not a valid stream of events.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
pub enum EventError {
    /// An event has no `id`, or one that is no number.
    #[error("an event has no number")]
    NoId,
    /// An event is not UTF-8.
    #[error("an event is not UTF-8")]
    NotUtf8,
    /// An event, or what stands before it, is longer than the limit.
    #[error("no event ends within {MAX_EVENT_BYTES} bytes")]
    TooLarge,
}

/// How a line ends.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum LineEnd {
    CarriageReturn,
    CarriageReturnLineFeed,
    LineFeed,
}

impl LineEnd {
    fn len(self) -> usize {
        if self == Self::CarriageReturnLineFeed { 2 } else { 1 }
    }
}

/// The lines of an event that have been received.
#[derive(Debug, Default)]
struct EventLines {
    has_data: bool,
    /// Whether there is a line other than comments.
    has_fields: bool,
    /// Whether there is a line whose name is not one of [`FIELD_NAMES`].
    has_other_text: bool,
    id: Option<u32>,
    /// How the last line ends.
    line_end: Option<LineEnd>,
}

impl EventLines {
    fn add(&mut self, line: &[u8], line_end: LineEnd) {
        self.line_end = Some(line_end);
        let colon = line.iter().position(|byte| *byte == b':');
        let (name, value) = line.split_at(colon.unwrap_or(line.len()));
        self.has_fields |= !name.is_empty();
        self.has_data |= name == b"data";
        self.has_other_text |= !name.is_empty() && !FIELD_NAMES.contains(&name);
        if name == b"id" {
            let value = std::str::from_utf8(value.get(1..).unwrap_or_default()).ok();
            self.id = value.and_then(|value| value.trim().parse().ok());
        }
    }
}

/// Buffers received bytes until an event is complete.
#[derive(Debug, Default)]
pub struct EventDecoder {
    /// The lines of the next event, and what was received after them.
    buffer: BytesMut,
    /// Whether a byte order mark can no longer follow.
    has_begun: bool,
    /// Whether text has been left out that is neither an event nor a comment nor a known field.
    has_other_text: bool,
    lines: EventLines,
    /// Where the first incomplete line begins in the buffer.
    line_start: usize,
    /// The length of the buffer's beginning in which no further line ends.
    searched: usize,
    /// The number of bytes since the last event that belong to none.
    skipped: usize,
    /// Whether a line feed that comes next belongs to the end of the last event.
    skips_line_feed: bool,
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
    /// Returns an error when an event is too large, is not UTF-8 or has no id.
    pub fn next_event(&mut self) -> Result<Option<StreamEvent>, EventError> {
        if !self.skip_start() {
            return Ok(None);
        }
        while let Some((end, line_end)) = self.find_line_end() {
            let next_line = end + line_end.len();
            let line = &self.buffer[self.line_start..end];
            if !line.is_empty() {
                self.lines.add(line, line_end);
                (self.line_start, self.searched) = (next_line, next_line);
                continue;
            }
            let lines = std::mem::take(&mut self.lines);
            let text = self.buffer.split_to(next_line);
            (self.line_start, self.searched) = (0, 0);
            if self.skipped + text.len() > MAX_EVENT_BYTES {
                return Err(EventError::TooLarge);
            }
            if !lines.has_data {
                self.skipped += text.len();
                self.has_other_text |= lines.has_other_text;
                continue;
            }
            self.skipped = 0;
            self.skips_line_feed = line_end == LineEnd::CarriageReturn;
            let text = String::from_utf8(text.to_vec()).map_err(|_| EventError::NotUtf8)?;
            let id = lines.id.ok_or(EventError::NoId)?;
            return Ok(Some(StreamEvent { id, text }));
        }
        match self.skipped + self.buffer.len() > MAX_EVENT_BYTES {
            true => Err(EventError::TooLarge),
            false => Ok(None),
        }
    }

    /// Returns whether no part of an event follows the last one.
    pub fn is_empty(&self) -> bool {
        let rest = &self.buffer[self.line_start..];
        !self.lines.has_fields && matches!(rest, b"" | b"\r")
    }

    /// Returns whether text was left out that no stream of events has. A body of such text alone is no
    /// stream.
    pub fn has_other_text(&self) -> bool {
        self.has_other_text
    }

    /// Drops a byte order mark and the rest of the last event's end. Returns false if more bytes are
    /// needed to tell.
    fn skip_start(&mut self) -> bool {
        if !self.has_begun {
            if self.buffer.len() < BYTE_ORDER_MARK.len()
                && BYTE_ORDER_MARK.starts_with(&self.buffer)
            {
                return false;
            }
            self.has_begun = true;
            if self.buffer.starts_with(BYTE_ORDER_MARK) {
                self.buffer.advance(BYTE_ORDER_MARK.len());
            }
        }
        if self.skips_line_feed
            && let Some(first) = self.buffer.first()
        {
            if *first == b'\n' {
                self.buffer.advance(1);
            }
            self.skips_line_feed = false;
        }
        true
    }

    /// Returns where the first incomplete line ends, and how.
    fn find_line_end(&mut self) -> Option<(usize, LineEnd)> {
        let rest = &self.buffer[self.searched..];
        let Some(found) = rest.iter().position(|byte| matches!(byte, b'\n' | b'\r')) else {
            self.searched = self.buffer.len();
            return None;
        };
        let end = self.searched + found;
        if self.buffer[end] == b'\n' {
            return Some((end, LineEnd::LineFeed));
        }
        // An event whose lines end with carriage returns is complete without the byte after them.
        let is_blank = end == self.line_start;
        if is_blank && self.lines.line_end == Some(LineEnd::CarriageReturn) {
            return Some((end, LineEnd::CarriageReturn));
        }
        self.searched = end;
        match self.buffer.get(end + 1)? {
            b'\n' => Some((end, LineEnd::CarriageReturnLineFeed)),
            _ => Some((end, LineEnd::CarriageReturn)),
        }
    }
}
