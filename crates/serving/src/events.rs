//! Splits a stream of server-sent events at event boundaries.
//!
//! # Invariants
//!
//! - Only events with increasing ids are returned, and only they change the last id.

use bytes::{
    Buf as _,
    Bytes,
    BytesMut, //
};

/// Largest event, in bytes. A target that sends more without an end of the event sends no events.
pub const MAX_EVENT_BYTES: usize = 256 * 1024;

/// Bytes of a target that are no event of its stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InvalidEvent {
    /// An event exceeds [`MAX_EVENT_BYTES`].
    Oversized,
    /// An event has no id, or its id is not a number above that of the event before. What follows may
    /// lack an event, so that the stream cannot go on from there.
    OutOfOrder,
}

/// Buffers the bytes of an incomplete event.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buf: BytesMut,
    /// Offset in the buffer before which no terminator begins.
    searched: usize,
    last_id: Option<u64>,
}

const EVENT_TERMINATOR: &[u8] = b"\n\n";

impl EventSplitter {
    /// Splits a stream that goes on after an event.
    pub fn after(last_id: Option<u64>) -> Self {
        Self {
            last_id,
            ..Self::default()
        }
    }

    /// Appends bytes and returns all complete events, if any, without comments between them.
    ///
    /// # Errors
    ///
    /// Fails if an event is not valid, once the events before it were returned. At most the largest size of
    /// an event and `data` are buffered.
    pub fn push(&mut self, data: &[u8]) -> Result<Option<Bytes>, InvalidEvent> {
        self.buf.extend_from_slice(data);
        let mut complete = BytesMut::new();
        let mut error = None;
        while let Some(end) = find_end(&self.buf, self.searched) {
            self.searched = 0;
            let event = &self.buf[..end];
            if !is_comment(event) {
                match event_id(event).filter(|id| self.last_id < Some(*id)) {
                    Some(id) => self.last_id = Some(id),
                    // It stays in the buffer, so that the stream fails at the next call.
                    None => {
                        error = Some(InvalidEvent::OutOfOrder);
                        break;
                    }
                }
                complete.extend_from_slice(event);
            }
            self.buf.advance(end);
        }
        if error.is_none() {
            self.searched = self.buf.len().saturating_sub(EVENT_TERMINATOR.len() - 1);
        }
        if self.buf.len() > MAX_EVENT_BYTES {
            error = error.or(Some(InvalidEvent::Oversized));
        }
        match error {
            Some(error) if complete.is_empty() => Err(error),
            _ => Ok((!complete.is_empty()).then(|| complete.freeze())),
        }
    }

    /// Id of the last complete event.
    pub fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Whether an incomplete event is buffered, or one that is not valid.
    pub fn is_mid_event(&self) -> bool {
        !self.buf.is_empty()
    }

    /// Drops the incomplete event, which another target sends again.
    pub fn discard_partial(&mut self) {
        self.buf.clear();
        self.searched = 0;
    }
}

/// Returns the end of the first event, whose terminator does not begin before `searched`.
fn find_end(buf: &[u8], searched: usize) -> Option<usize> {
    let mut windows = buf[searched..].windows(EVENT_TERMINATOR.len());
    let start = windows.position(|window| window == EVENT_TERMINATOR)?;
    Some(searched + start + EVENT_TERMINATOR.len())
}

/// Whether all lines of an event are comments, which a target may send to keep its connection open.
fn is_comment(event: &[u8]) -> bool {
    let mut lines = event.split(|&byte| byte == b'\n');
    lines.all(|line| line.is_empty() || line.starts_with(b":"))
}

fn event_id(event: &[u8]) -> Option<u64> {
    let mut lines = event.rsplit(|&byte| byte == b'\n');
    let id = lines.find_map(|line| line.strip_prefix(b"id:"))?;
    parse_event_id(std::str::from_utf8(id).ok()?.trim())
}

/// Parses the id of an event: decimal digits.
pub fn parse_event_id(text: &str) -> Option<u64> {
    let is_number = text.bytes().all(|byte| byte.is_ascii_digit());
    is_number.then(|| text.parse().ok())?
}

/// Data lines of all events, in order.
pub fn event_data(events: &[u8]) -> impl Iterator<Item = &[u8]> {
    events
        .split(|&byte| byte == b'\n')
        .filter_map(|line| line.strip_prefix(b"data:"))
        .map(|data| data.strip_prefix(b" ").unwrap_or(data))
}
