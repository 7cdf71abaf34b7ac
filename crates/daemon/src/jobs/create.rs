//! Accepting a job.

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
            Chunks, //
        },
        show,
    },
};

/// The request class of a job that names none.
const DEFAULT_CLASS: &str = "batch";
/// The deadline of a job whose class states none.
const DEFAULT_DEADLINE: Millis = Millis::from_secs(24 * 3600);
/// How many bytes of payload are stored at a time.
const BATCH_BYTES: usize = 8 << 20;

/// Accepts a job: its payloads and then its state are on a majority of voters before this returns.
///
/// # Errors
///
/// Refuses a malformed job, and one whose key was used with another content.
pub(crate) fn create(cx: &Context, call: &Call, out: &mut Responder) -> Result<Value, Refusal> {
    let work = work_of(cx, call)?;
    let configuration = cx.store.configuration();
    let class = call.class().unwrap_or(DEFAULT_CLASS);
    let span = configuration
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
    let stored = store(cx, call, out.body(cx.settings.job_limit)?)?;
    let create = CreateJob {
        job,
        fingerprint: stored.fingerprint,
        team: call.team().to_owned(),
        class: class.to_owned(),
        work,
        idempotent,
        deadline: Millis::unix_now() + span,
        chunks: stored.chunks,
    };
    match cx.store.propose(cx, create)? {
        Outcome::JobCreated(created) => show::show(cx, created.job),
        other => Err(admin::unexpected(&other)),
    }
}

/// Payloads that are on a majority of voters.
struct Stored {
    chunks: Vec<ChunkSpec>,
    /// The fingerprint of everything that makes the job.
    fingerprint: Fingerprint,
}

/// Stores the payloads on a majority of voters as they come.
fn store(cx: &Context, call: &Call, body: Body<'_>) -> Result<Stored, Refusal> {
    let limit = cx.store.configuration().defaults.chunk_items;
    let limit = u16::try_from(limit)
        .unwrap_or(MAX_CHUNK_ITEMS)
        .min(MAX_CHUNK_ITEMS);
    let mut chunks = Chunks::new(body, limit, cx.settings.body_limit as u64);
    let mut hasher = Sha256::new();
    hasher.update(&call.query);
    hasher.update(b"\n");
    hasher.update(call.class().unwrap_or(DEFAULT_CLASS));
    let mut specs = Vec::new();
    let mut waiting = Vec::new();
    let mut bytes = 0;
    while let Some(chunk) = chunks.next()? {
        hasher.update(&chunk.bytes);
        bytes += chunk.bytes.len();
        waiting.push(chunk);
        if bytes >= BATCH_BYTES {
            put(cx, &mut waiting, &mut specs)?;
            bytes = 0;
        }
    }
    put(cx, &mut waiting, &mut specs)?;
    if specs.is_empty() {
        let detail = "a job needs at least one item: one JSON object a line";
        return Err(Refusal::not_run(Reason::BadRequest, detail));
    }
    let digest: [u8; 32] = hasher.finalize().into();
    let mut fingerprint = Fingerprint([0; 16]);
    fingerprint.0.copy_from_slice(&digest[..16]);
    Ok(Stored {
        chunks: specs,
        fingerprint,
    })
}

/// Stores the waiting chunks and adds them to `specs`.
fn put(
    cx: &Context,
    waiting: &mut Vec<ChunkLines>,
    specs: &mut Vec<ChunkSpec>,
) -> Result<(), Refusal> {
    if waiting.is_empty() {
        return Ok(());
    }
    let counts: Vec<_> = waiting.iter().map(|chunk| chunk.items).collect();
    let blobs = waiting.drain(..).map(|chunk| chunk.bytes).collect();
    let ids = cx.store.put_blobs(cx, blobs)?;
    let new = ids.into_iter().zip(counts);
    specs.extend(new.map(|(payload, items)| ChunkSpec { payload, items }));
    Ok(())
}

/// What runs the items: the parameter `model` or `service`.
fn work_of(cx: &Context, call: &Call) -> Result<Work, Refusal> {
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
