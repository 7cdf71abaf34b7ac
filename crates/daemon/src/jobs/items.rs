//! The items of a job on the wire: JSON Lines.

use serde_json::Value;
use yuccaseam_base::{
    Reason,
    Refusal, //
};

/// The items of one chunk, as the lines that the caller sent.
#[derive(Debug)]
pub(crate) struct ChunkLines {
    /// The lines, each with its line end.
    pub(crate) bytes: Vec<u8>,
    pub(crate) items: u16,
}

/// Splits a body into chunks of at most `limit` items and checks each line. Empty lines are
/// passed over.
///
/// # Errors
///
/// Refuses a body without items or with a line that is not a JSON object.
pub(crate) fn split(body: &[u8], limit: u16) -> Result<Vec<ChunkLines>, Refusal> {
    let mut chunks: Vec<ChunkLines> = Vec::new();
    for (number, line) in body.split(|byte| *byte == b'\n').enumerate() {
        let line = line.trim_ascii();
        if line.is_empty() {
            continue;
        }
        check(number + 1, line)?;
        match chunks.last_mut() {
            Some(chunk) if chunk.items < limit => chunk.push(line),
            _ => {
                let mut chunk = ChunkLines {
                    bytes: Vec::new(),
                    items: 0,
                };
                chunk.push(line);
                chunks.push(chunk);
            }
        }
    }
    if chunks.is_empty() {
        let detail = "a job needs at least one item: one JSON object a line";
        return Err(Refusal::not_run(Reason::BadRequest, detail));
    }
    Ok(chunks)
}

impl ChunkLines {
    fn push(&mut self, line: &[u8]) {
        self.bytes.extend_from_slice(line);
        self.bytes.push(b'\n');
        self.items += 1;
    }
}

fn check(number: usize, line: &[u8]) -> Result<(), Refusal> {
    let bad = |why: String| {
        Err(Refusal::not_run(
            Reason::BadRequest,
            format!("line {number}: {why}"),
        ))
    };
    match serde_json::from_slice::<Value>(line) {
        Ok(Value::Object(_)) => Ok(()),
        Ok(_) => bad("an item is a JSON object".to_owned()),
        Err(error) => bad(error.to_string()),
    }
}
