//! Accepting a job.

use serde_json::Value;
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
    http::Call,
    jobs::{
        items::{
            self,
            ChunkLines, //
        },
        show, //
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
pub(crate) fn create(cx: &Context, call: &Call) -> Result<Value, Refusal> {
    let work = work_of(cx, call)?;
    let configuration = cx.store.configuration();
    let limit = configuration.defaults.chunk_items;
    let limit = u16::try_from(limit)
        .unwrap_or(MAX_CHUNK_ITEMS)
        .min(MAX_CHUNK_ITEMS);
    let chunks = items::split(&call.body, limit)?;
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
    let create = CreateJob {
        job,
        fingerprint: fingerprint(call),
        team: call.team().to_owned(),
        class: class.to_owned(),
        work,
        idempotent,
        deadline: Millis::unix_now() + span,
        chunks: store(cx, chunks)?,
    };
    match cx.store.propose(cx, create)? {
        Outcome::JobCreated(created) => show::show(cx, created.job),
        other => Err(admin::unexpected(&other)),
    }
}

/// Stores the payloads on a majority of voters.
fn store(cx: &Context, chunks: Vec<ChunkLines>) -> Result<Vec<ChunkSpec>, Refusal> {
    let mut specs = Vec::with_capacity(chunks.len());
    let mut chunks = chunks.into_iter().peekable();
    while chunks.peek().is_some() {
        let mut bytes = 0;
        let mut counts = Vec::new();
        let mut blobs = Vec::new();
        while let Some(chunk) = chunks.next_if(|_| bytes < BATCH_BYTES) {
            bytes += chunk.bytes.len();
            counts.push(chunk.items);
            blobs.push(chunk.bytes);
        }
        let ids = cx.store.put_blobs(cx, blobs)?;
        let new = ids.into_iter().zip(counts);
        specs.extend(new.map(|(payload, items)| ChunkSpec { payload, items }));
    }
    Ok(specs)
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
    let configuration = cx.store.configuration();
    let is_configured = configuration.models.contains_key(name);
    if !is_configured && cx.targets.of_model(name, cx.clock.now()).is_empty() {
        let detail = format!("the model {name} is neither configured nor served");
        return Err(Refusal::not_run(Reason::UnknownModel, detail));
    }
    Ok(Work::Model(name.to_owned()))
}

/// The fingerprint of everything that makes the job.
fn fingerprint(call: &Call) -> Fingerprint {
    let class = call.class().unwrap_or(DEFAULT_CLASS);
    let mut content = format!("{}\n{class}\n", call.query).into_bytes();
    content.extend_from_slice(&call.body);
    Fingerprint::of(&content)
}
