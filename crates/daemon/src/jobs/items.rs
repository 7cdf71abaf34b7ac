//! Reads the items of a job, which are sent as JSON Lines.

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

/// Size of a job's first chunks, in items.
const MIN_CHUNK_ITEMS: u16 = 16;
/// A later chunk has one item for this many items before it.
const PRECEDING_ITEMS_PER_ITEM: u64 = 16;

/// Items of one chunk, as the lines that the caller sent.
#[derive(Debug, Default)]
pub(crate) struct ChunkLines {
    /// The lines, each with its line feed.
    pub(crate) bytes: Vec<u8>,
    pub(crate) items: u16,
}

/// Reads a body chunk by chunk, so that a large job is never held in memory.
pub(crate) struct ChunkReader<R> {
    lines: BufReader<R>,
    max_chunk_items: u16,
    items_read: u64,
    max_line_bytes: u64,
    /// Number of the last line read, for error messages.
    line_number: u64,
}

impl<R> ChunkReader<R>
where
    R: Read,
{
    pub(crate) fn new(body: R, max_chunk_items: u16, max_line_bytes: u64) -> Self {
        Self {
            lines: BufReader::new(body),
            max_chunk_items,
            items_read: 0,
            max_line_bytes,
            line_number: 0,
        }
    }

    /// Reads the next chunk and checks each line. Empty lines are skipped.
    ///
    /// # Errors
    ///
    /// Refuses a line that is too long or not a JSON object, and a body that ends early.
    pub(crate) fn next(&mut self) -> Result<Option<ChunkLines>, Refusal> {
        let mut chunk = ChunkLines::default();
        let size = self.next_size();
        while chunk.items < size {
            let start = chunk.bytes.len();
            let read = (&mut self.lines)
                .take(self.max_line_bytes)
                .read_until(b'\n', &mut chunk.bytes)
                .map_err(|error| http::read_refusal(&error))?;
            if read == 0 {
                break;
            }
            self.line_number += 1;
            let line = chunk.bytes[start..].trim_ascii();
            if line.is_empty() {
                chunk.bytes.truncate(start);
                continue;
            }
            if read as u64 == self.max_line_bytes && !chunk.bytes.ends_with(b"\n") {
                let detail = format!("line {}: longer than {read} bytes", self.line_number);
                return Err(Refusal::not_run(Reason::BodyTooLarge, detail));
            }
            check_item(self.line_number, line)?;
            if !chunk.bytes.ends_with(b"\n") {
                chunk.bytes.push(b'\n');
            }
            chunk.items += 1;
            self.items_read += 1;
        }
        Ok((chunk.items > 0).then_some(chunk))
    }
}

impl<R> ChunkReader<R> {
    /// Size of the next chunk, in items. Chunks grow with the job, so that a small job is spread
    /// over many targets and a large one has few chunks.
    fn next_size(&self) -> u16 {
        let size = self.items_read / PRECEDING_ITEMS_PER_ITEM;
        u16::try_from(size)
            .unwrap_or(u16::MAX)
            .max(MIN_CHUNK_ITEMS)
            .min(self.max_chunk_items)
    }
}

fn check_item(line_number: u64, line: &[u8]) -> Result<(), Refusal> {
    let problem = match serde_json::from_slice::<Value>(line) {
        Ok(Value::Object(_)) => return Ok(()),
        Ok(_) => "an item must be a JSON object".to_owned(),
        Err(error) => error.to_string(),
    };
    let detail = format!("line {line_number}: {problem}");
    Err(Refusal::not_run(Reason::BadRequest, detail))
}
