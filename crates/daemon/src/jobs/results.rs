//! Reading the results of a job, while it runs and after.
//!
//! A result blob holds one JSON line for each of its items, which begins with the item's number in
//! its chunk. A chunk may have several blobs: from several leases, or flushed one after another.

use serde_json::{
    Value,
    json, //
};
use yuccaseam_base::{
    Reason,
    Refusal, //
};
use yuccaseam_state::{
    Answer,
    ChunkResults,
    JobId,
    Query,
    ResultPart, //
};

use crate::{
    admin,
    context::Context, //
};

/// How many chunks are asked for at a time.
const PAGE: u32 = 256;

/// The results so far, one JSON line an item in the order of the items.
///
/// # Errors
///
/// Refuses an unknown job; fails if a result cannot be read.
pub(crate) fn read(cx: &Context, job: JobId) -> Result<Vec<u8>, Refusal> {
    let mut out = Vec::new();
    let mut from = 0;
    loop {
        let query = Query::JobResults {
            job,
            from,
            limit: PAGE,
        };
        let chunks = match cx.store.query(cx, &query)? {
            Answer::JobResults(chunks) => chunks,
            other => return Err(admin::unexpected(&other)),
        };
        for chunk in &chunks {
            write_chunk(cx, chunk, &mut out)?;
        }
        match chunks.last() {
            Some(last) => from = last.chunk + 1,
            None => return Ok(out),
        }
    }
}

fn write_chunk(cx: &Context, chunk: &ChunkResults, out: &mut Vec<u8>) -> Result<(), Refusal> {
    let mut lines: Vec<Option<Value>> = vec![None; usize::from(chunk.items)];
    for part in &chunk.parts {
        read_part(cx, part, &mut lines)?;
    }
    for failed in &chunk.failed {
        let line = &mut lines[usize::from(failed.item)];
        let mut value = line.take().unwrap_or_else(|| json!({}));
        value["response"] = Value::Null;
        value["error"] = json!({ "code": failed.reason.code() });
        *line = Some(value);
    }
    for (index, line) in lines.into_iter().enumerate() {
        if let Some(mut value) = line {
            value["item"] = json!(chunk.first_item as usize + index);
            out.extend_from_slice(value.to_string().as_bytes());
            out.push(b'\n');
        }
    }
    Ok(())
}

fn read_part(cx: &Context, part: &ResultPart, lines: &mut [Option<Value>]) -> Result<(), Refusal> {
    let data = cx.store.get_blob(cx, &part.blob)?;
    for line in data.split(|byte| *byte == b'\n') {
        if line.is_empty() {
            continue;
        }
        let value: Value = serde_json::from_slice(line).map_err(|error| malformed(&error))?;
        let item = value["item"]
            .as_u64()
            .and_then(|item| u16::try_from(item).ok());
        if let Some(item) = item.filter(|item| part.items.contains(*item)) {
            lines[usize::from(item)] = Some(value);
        }
    }
    Ok(())
}

fn malformed(error: &serde_json::Error) -> Refusal {
    let detail = format!("a stored result is malformed: {error}");
    Refusal::not_run(Reason::Internal, detail)
}
