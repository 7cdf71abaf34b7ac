//! Parser of the server-sent events of a model engine.

use std::io::{
    self,
    BufRead,
    BufReader,
    Read, //
};

use serde_json::Value;

/// The end marker of a stream.
const END_MARKER: &[u8] = b"[DONE]";
/// Maximum size of an event. A target that sends a larger one is faulty.
const MAX_EVENT_BYTES: u64 = 1024 * 1024;

/// One event of a stream.
#[derive(Debug)]
pub(crate) enum Event {
    /// Part of the response: the complete event with its empty line.
    Data {
        bytes: Vec<u8>,
        /// Whether it carries text, and not only a role, an end reason or counts.
        has_text: bool,
    },
    /// The end marker: the response is complete.
    Done(Vec<u8>),
}

/// Reads the events of one response.
pub(crate) struct EventReader<R> {
    reader: BufReader<R>,
}

impl<R> EventReader<R>
where
    R: Read,
{
    pub(crate) fn new(body: R) -> Self {
        Self {
            reader: BufReader::new(body),
        }
    }

    /// Reads the next event.
    ///
    /// # Errors
    ///
    /// Fails if the stream ends before its end marker, or if an event is too large.
    pub(crate) fn next(&mut self) -> io::Result<Event> {
        let mut event = Vec::new();
        loop {
            let start = event.len();
            let mut limited = (&mut self.reader).take(MAX_EVENT_BYTES);
            let read = limited.read_until(b'\n', &mut event)?;
            if read == 0 || !event.ends_with(b"\n") || event.len() as u64 > MAX_EVENT_BYTES {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            let line = event[start..].trim_ascii();
            if !line.is_empty() {
                continue;
            }
            if event.trim_ascii().is_empty() {
                event.clear();
                continue;
            }
            return Ok(classify(event));
        }
    }
}

fn classify(event: Vec<u8>) -> Event {
    let data = event
        .strip_prefix(b"data:")
        .unwrap_or_default()
        .trim_ascii();
    if data == END_MARKER {
        Event::Done(event)
    } else {
        let has_text = has_text(data);
        Event::Data {
            bytes: event,
            has_text,
        }
    }
}

/// Whether an event of the chat or completions format carries text. An engine sends one token in
/// each such event.
fn has_text(data: &[u8]) -> bool {
    let Ok(value) = serde_json::from_slice::<Value>(data) else {
        return false;
    };
    let choice = &value["choices"][0];
    let text = choice["text"]
        .as_str()
        .or_else(|| choice["delta"]["content"].as_str());
    text.is_some_and(|text| !text.is_empty())
}
