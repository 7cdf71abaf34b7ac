//! Creates batch jobs.

use serde_json::Value;
use sha2::{
    Digest,
    Sha256, //
};
use yuccaseam_base::{
    Millis,
    Reason,
    Refusal, //
};
use yuccaseam_state::{
    ChunkSpec,
    CreateJob,
    Fingerprint,
    JobId,
    MAX_CHUNK_ITEMS,
    Outcome,
    Work, //
};

use crate::{
    admin,
    context::Context,
    http::{
        Body,
        Call,
        Responder, //
    },
    jobs::{
        items::{
            ChunkLines,
            ChunkReader, //
        },
        show,
    },
};

/// Request class of a job that names none.
const DEFAULT_CLASS: &str = "batch";
/// Time to the deadline of a job whose class is not configured.
const DEFAULT_DEADLINE: Millis = Millis::from_secs(24 * 3600);
/// Payload bytes that are buffered before they are stored.
const PUT_BYTES: usize = 8 << 20;

/// Creates a job. When this returns, its payloads and its state are on a majority of voters.
///
/// # Errors
///
/// Refuses a malformed job, and one whose idempotency key was used with other content.
pub(crate) fn create(cx: &Context, call: &Call, out: &mut Responder) -> Result<Value, Refusal> {
    let work = parse_work(cx, call)?;
    let configuration = cx.store.configuration();
    let class = call.class().unwrap_or(DEFAULT_CLASS);
    let time_to_deadline = configuration
        .classes
        .get(class)
        .map_or(DEFAULT_DEADLINE, |class| Millis(class.deadline_ms));
    let idempotent = match &work {
        Work::Model(_) => true,
        Work::Service(name) => configuration
            .services
            .get(name)
            .is_some_and(|service| service.idempotent),
    };
    let job = match call.header("idempotency-key") {
        Some(key) => JobId::of_key(call.team(), key),
        None => JobId(rand::random()),
    };
    let stored = store_payloads(cx, call, out.body(cx.settings.job_limit)?)?;
    let create = CreateJob {
        job,
        fingerprint: stored.fingerprint,
        team: call.team().to_owned(),
        class: class.to_owned(),
        work,
        idempotent,
        deadline: Millis::unix_now() + time_to_deadline,
        chunks: stored.chunks,
    };
    match cx.store.propose(cx, create)? {
        Outcome::JobCreated(created) => show::show(cx, created.job),
        other => Err(admin::unexpected_result(&other)),
    }
}

/// Payloads that are on a majority of voters.
struct StoredPayloads {
    chunks: Vec<ChunkSpec>,
    /// Fingerprint of the query, the class and the payloads, by which a repeated request is
    /// recognized.
    fingerprint: Fingerprint,
}

/// Stores the payloads on a majority of voters while the body is received.
fn store_payloads(cx: &Context, call: &Call, body: Body<'_>) -> Result<StoredPayloads, Refusal> {
    let max_items = cx.store.configuration().defaults.chunk_items;
    let max_items = u16::try_from(max_items)
        .unwrap_or(MAX_CHUNK_ITEMS)
        .min(MAX_CHUNK_ITEMS);
    let mut chunks = ChunkReader::new(body, max_items, cx.settings.body_limit as u64);
    let mut hasher = Sha256::new();
    hasher.update(&call.query);
    hasher.update(b"\n");
    hasher.update(call.class().unwrap_or(DEFAULT_CLASS));
    let mut specs = Vec::new();
    let mut buffered = Vec::new();
    let mut bytes = 0;
    while let Some(chunk) = chunks.next()? {
        hasher.update(&chunk.bytes);
        bytes += chunk.bytes.len();
        buffered.push(chunk);
        if bytes >= PUT_BYTES {
            put_chunks(cx, &mut buffered, &mut specs)?;
            bytes = 0;
        }
    }
    put_chunks(cx, &mut buffered, &mut specs)?;
    if specs.is_empty() {
        let detail = "a job needs at least one item: one JSON object per line";
        return Err(Refusal::not_run(Reason::BadRequest, detail));
    }
    let digest: [u8; 32] = hasher.finalize().into();
    let mut fingerprint = Fingerprint([0; 16]);
    fingerprint.0.copy_from_slice(&digest[..16]);
    Ok(StoredPayloads {
        chunks: specs,
        fingerprint,
    })
}

/// Stores the buffered chunks and appends them to `specs`.
fn put_chunks(
    cx: &Context,
    buffered: &mut Vec<ChunkLines>,
    specs: &mut Vec<ChunkSpec>,
) -> Result<(), Refusal> {
    if buffered.is_empty() {
        return Ok(());
    }
    let counts: Vec<_> = buffered.iter().map(|chunk| chunk.items).collect();
    let blobs = buffered.drain(..).map(|chunk| chunk.bytes).collect();
    let ids = cx.store.put_blobs(cx, blobs)?;
    let added = ids.into_iter().zip(counts);
    specs.extend(added.map(|(payload, items)| ChunkSpec { payload, items }));
    Ok(())
}

/// The work of the job: the parameter `model` or `service`.
fn parse_work(cx: &Context, call: &Call) -> Result<Work, Refusal> {
    if let Some(service) = call.param("service") {
        return Ok(Work::Service(service.to_owned()));
    }
    let Some(name) = call.param("model") else {
        let detail = "the parameter `model` or `service` is missing";
        return Err(Refusal::not_run(Reason::BadRequest, detail));
    };
    cx.check_model(name)?;
    Ok(Work::Model(name.to_owned()))
}
