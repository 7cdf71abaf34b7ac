//! Splits a stream of server-sent events at the ends of events.

use bytes::{
    Bytes,
    BytesMut, //
};

/// Holds back the bytes of an event that has not ended.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buf: BytesMut,
    last_id: Option<String>,
}

/// Ends an event.
const END: &[u8] = b"\n\n";

impl EventSplitter {
    /// Adds bytes and returns all events that have ended.
    pub fn push(&mut self, data: &[u8]) -> Option<Bytes> {
        let searched = self.buf.len().saturating_sub(END.len() - 1);
        self.buf.extend_from_slice(data);
        let found = self.buf[searched..]
            .windows(END.len())
            .rposition(|window| window == END)?;
        let whole = self.buf.split_to(searched + found + END.len()).freeze();
        self.note_last_id(&whole);
        Some(whole)
    }

    fn note_last_id(&mut self, events: &[u8]) {
        let mut lines = events.rsplit(|&byte| byte == b'\n');
        if let Some(id) = lines.find_map(|line| line.strip_prefix(b"id:")) {
            self.last_id = Some(String::from_utf8_lossy(id).trim().to_owned());
        }
    }

    /// The id of the last event that has ended.
    pub fn last_id(&self) -> Option<&str> {
        self.last_id.as_deref()
    }

    /// Whether an event has begun and not ended.
    pub fn is_mid_event(&self) -> bool {
        !self.buf.is_empty()
    }

    /// Forgets the event that has not ended, because it comes again from another target.
    pub fn discard_partial(&mut self) {
        self.buf.clear();
    }
}

/// The data of every event in order, as lines.
pub fn event_data(events: &[u8]) -> impl Iterator<Item = &[u8]> {
    events
        .split(|&byte| byte == b'\n')
        .filter_map(|line| line.strip_prefix(b"data:"))
        .map(|data| data.strip_prefix(b" ").unwrap_or(data))
}
