//! The items of a job on the wire: JSON Lines.

use std::io::{
    BufRead,
    BufReader,
    Read, //
};

use serde_json::Value;
use yuccaseam_base::{
    Reason,
    Refusal, //
};

use crate::http;

/// The size of a job's first chunks, in items.
const FIRST: u16 = 16;
/// A later chunk has one item for so many before it.
const SHARE: u64 = 16;

/// The items of one chunk, as the lines that the caller sent.
#[derive(Debug, Default)]
pub(crate) struct ChunkLines {
    /// The lines, each with its line end.
    pub(crate) bytes: Vec<u8>,
    pub(crate) items: u16,
}

/// Reads a body chunk by chunk, so that a large job is never held in memory.
pub(crate) struct Chunks<R> {
    lines: BufReader<R>,
    /// The most items in a chunk.
    most: u16,
    /// How many items were read.
    read: u64,
    /// The longest line, in bytes.
    line_bytes: u64,
    /// The number of the last line, for error messages.
    number: u64,
}

impl<R> Chunks<R>
where
    R: Read,
{
    pub(crate) fn new(body: R, items: u16, line_bytes: u64) -> Self {
        Self {
            lines: BufReader::new(body),
            most: items,
            read: 0,
            line_bytes,
            number: 0,
        }
    }

    /// Reads the next chunk and checks each line. Empty lines are passed over.
    ///
    /// # Errors
    ///
    /// Refuses a line that is too long or not a JSON object, and a body that ends early.
    pub(crate) fn next(&mut self) -> Result<Option<ChunkLines>, Refusal> {
        let mut chunk = ChunkLines::default();
        let size = self.size();
        while chunk.items < size {
            let start = chunk.bytes.len();
            let read = (&mut self.lines)
                .take(self.line_bytes)
                .read_until(b'\n', &mut chunk.bytes)
                .map_err(|error| http::refusal_of(&error))?;
            if read == 0 {
                break;
            }
            self.number += 1;
            let line = chunk.bytes[start..].trim_ascii();
            if line.is_empty() {
                chunk.bytes.truncate(start);
                continue;
            }
            if read as u64 == self.line_bytes && !chunk.bytes.ends_with(b"\n") {
                let detail = format!("line {}: longer than {read} bytes", self.number);
                return Err(Refusal::not_run(Reason::BodyTooLarge, detail));
            }
            check(self.number, line)?;
            if !chunk.bytes.ends_with(b"\n") {
                chunk.bytes.push(b'\n');
            }
            chunk.items += 1;
            self.read += 1;
        }
        Ok((chunk.items > 0).then_some(chunk))
    }
}

impl<R> Chunks<R> {
    /// The size of the next chunk. Chunks grow with the job, so that a small job is spread over
    /// many targets and a large one has few chunks.
    fn size(&self) -> u16 {
        let grown = self.read / SHARE;
        u16::try_from(grown)
            .unwrap_or(u16::MAX)
            .max(FIRST)
            .min(self.most)
    }
}

fn check(number: u64, line: &[u8]) -> Result<(), Refusal> {
    let why = match serde_json::from_slice::<Value>(line) {
        Ok(Value::Object(_)) => return Ok(()),
        Ok(_) => "an item is a JSON object".to_owned(),
        Err(error) => error.to_string(),
    };
    let detail = format!("line {number}: {why}");
    Err(Refusal::not_run(Reason::BadRequest, detail))
}
