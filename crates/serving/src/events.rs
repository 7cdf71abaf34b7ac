//! Splits a stream of server-sent events at event boundaries.

use bytes::{
    Bytes,
    BytesMut, //
};

/// Largest event, in bytes. A target that sends more without an end of the event sends no events.
pub const MAX_EVENT_BYTES: usize = 256 * 1024;

/// An event exceeds [`MAX_EVENT_BYTES`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OversizedEvent;

/// Buffers the bytes of an incomplete event.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buf: BytesMut,
    last_id: Option<String>,
}

const EVENT_TERMINATOR: &[u8] = b"\n\n";

impl EventSplitter {
    /// Appends bytes and returns all complete events, if any.
    ///
    /// # Errors
    ///
    /// Fails if an event does not end within the largest size of an event. At most that size and
    /// `data` are buffered.
    pub fn push(&mut self, data: &[u8]) -> Result<Option<Bytes>, OversizedEvent> {
        let searched = self.buf.len().saturating_sub(EVENT_TERMINATOR.len() - 1);
        self.buf.extend_from_slice(data);
        let last_end = self.buf[searched..]
            .windows(EVENT_TERMINATOR.len())
            .rposition(|window| window == EVENT_TERMINATOR);
        let Some(last_end) = last_end else {
            return if self.buf.len() > MAX_EVENT_BYTES {
                Err(OversizedEvent)
            } else {
                Ok(None)
            };
        };
        let complete = self
            .buf
            .split_to(searched + last_end + EVENT_TERMINATOR.len())
            .freeze();
        self.record_last_id(&complete);
        Ok(Some(complete))
    }

    fn record_last_id(&mut self, events: &[u8]) {
        let mut lines = events.rsplit(|&byte| byte == b'\n');
        if let Some(id) = lines.find_map(|line| line.strip_prefix(b"id:")) {
            self.last_id = Some(String::from_utf8_lossy(id).trim().to_owned());
        }
    }

    /// Id of the last complete event.
    pub fn last_id(&self) -> Option<&str> {
        self.last_id.as_deref()
    }

    /// Whether an incomplete event is buffered.
    pub fn is_mid_event(&self) -> bool {
        !self.buf.is_empty()
    }

    /// Drops the incomplete event, which another target sends again.
    pub fn discard_partial(&mut self) {
        self.buf.clear();
    }
}

/// Data lines of all events, in order.
pub fn event_data(events: &[u8]) -> impl Iterator<Item = &[u8]> {
    events
        .split(|&byte| byte == b'\n')
        .filter_map(|line| line.strip_prefix(b"data:"))
        .map(|data| data.strip_prefix(b" ").unwrap_or(data))
}
