//! Serves the results of a job, during its run and after its end.
//!
//! A result blob holds one JSON line for each of its items, which begins with the item's number in
//! its chunk. A chunk may have several blobs: from several leases, or from successive flushes.

use serde_json::{
    Value,
    json, //
};
use yuccaseam_base::{
    Reason,
    Refusal, //
};
use yuccaseam_state::{
    ChunkResults,
    JobId,
    Query,
    QueryResult,
    ResultPart, //
};

use crate::{
    admin,
    context::Context,
    http::{
        ChunkWriter,
        Responder, //
    },
};

/// Chunks per query.
const PAGE_CHUNKS: u32 = 256;

/// Sends the available results, one JSON line per item in the order of the items.
pub(crate) fn send(cx: &Context, job: JobId, out: Responder) {
    let first = match query_page(cx, job, 0) {
        Ok(first) => first,
        Err(refusal) => return out.refuse(&refusal),
    };
    let Ok(mut writer) = out.stream("application/jsonl") else {
        return;
    };
    match send_all(cx, job, first, &mut writer) {
        // A caller that has disconnected needs no end mark.
        Ok(()) => drop(writer.finish()),
        Err(refusal) => writer.record_abort(&refusal),
    }
}

fn send_all(
    cx: &Context,
    job: JobId,
    mut page: Vec<ChunkResults>,
    writer: &mut ChunkWriter,
) -> Result<(), Refusal> {
    while let Some(last) = page.last() {
        let next = last.chunk + 1;
        for chunk in &page {
            let mut lines = Vec::new();
            write_chunk(cx, chunk, &mut lines)?;
            if !lines.is_empty() {
                writer.send(&lines).map_err(|error| {
                    Refusal::may_have_run(Reason::CallerGone, error.to_string())
                })?;
            }
        }
        page = query_page(cx, job, next)?;
    }
    Ok(())
}

/// Queries the locations of the results of the next chunks.
fn query_page(cx: &Context, job: JobId, from: u32) -> Result<Vec<ChunkResults>, Refusal> {
    let query = Query::JobResults {
        job,
        from,
        limit: PAGE_CHUNKS,
    };
    match cx.store.query(cx, &query)? {
        QueryResult::JobResults(chunks) => Ok(chunks),
        other => Err(admin::unexpected_result(&other)),
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
    let detail = format!("stored result is malformed: {error}");
    Refusal::not_run(Reason::Internal, detail)
}
