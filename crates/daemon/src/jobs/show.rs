//! Reports the state of jobs and cancels them.

use serde_json::{
    Value,
    json, //
};
use yuccaseam_base::Refusal;
use yuccaseam_state::{
    CancelJob,
    JobId,
    JobStatus,
    Outcome,
    Query,
    QueryResult,
    Work, //
};

use crate::{
    admin,
    context::Context,
    http::Call, //
};

/// Maximum number of jobs in one response.
const PAGE_JOBS: u32 = 1_000;

/// Returns the state of one job.
///
/// # Errors
///
/// Refuses an unknown job.
pub(crate) fn show(cx: &Context, job: JobId) -> Result<Value, Refusal> {
    match cx.store.query(cx, &Query::Job(job))? {
        QueryResult::Job(status) => Ok(describe(&status)),
        other => Err(admin::unexpected_result(&other)),
    }
}

/// Returns a page of jobs: of the team in the parameter `team`, after the job in the parameter
/// `after`.
///
/// # Errors
///
/// Fails without a quorum.
pub(crate) fn list(cx: &Context, call: &Call) -> Result<Value, Refusal> {
    let query = Query::Jobs {
        team: call.param("team").map(str::to_owned),
        after: call.param("after").and_then(|job| job.parse().ok()),
        limit: PAGE_JOBS,
    };
    match cx.store.query(cx, &query)? {
        QueryResult::Jobs(jobs) => {
            let data: Vec<_> = jobs.iter().map(describe).collect();
            Ok(json!({ "object": "list", "data": data }))
        }
        other => Err(admin::unexpected_result(&other)),
    }
}

/// Cancels a job. Idempotent.
///
/// # Errors
///
/// Refuses an unknown job.
pub(crate) fn cancel(cx: &Context, job: JobId) -> Result<Value, Refusal> {
    match cx.store.propose(cx, CancelJob { job })? {
        Outcome::JobCancelled(status) => Ok(describe(&status)),
        other => Err(admin::unexpected_result(&other)),
    }
}

fn describe(status: &JobStatus) -> Value {
    let (kind, target) = match &status.work {
        Work::Model(name) => ("model", name),
        Work::Service(name) => ("service", name),
    };
    json!({
        "id": status.job.to_string(),
        "object": "batch",
        "status": status.state,
        "team": status.team,
        "class": status.class,
        "kind": kind,
        "target": target,
        "total": status.items,
        "completed": status.done,
        "failed": status.failed,
        "chunks": status.chunks,
        "leased_chunks": status.leased_chunks,
        "created_at": status.created_at,
        "deadline": status.deadline,
        "ended_at": status.ended_at,
    })
}
