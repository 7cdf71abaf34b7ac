//! Batch jobs: the API for callers, and running the items.

mod create;
mod items;
mod results;
mod runner;
mod show;

use tiny_http::Method;
use yuccaseam_base::{
    Reason,
    Refusal, //
};
use yuccaseam_state::JobId;

use crate::{
    context::Context,
    http::{
        Call,
        Responder, //
    },
};

pub(crate) use runner::start;

/// Dispatches a request on jobs to its handler. `path` is what follows `/v1/batches`.
pub(crate) fn dispatch(cx: &Context, call: &Call, path: &[&str], mut out: Responder) {
    let result = match (&call.method, path) {
        (Method::Post, []) => create::create(cx, call, &mut out),
        (Method::Get, []) => show::list(cx, call),
        (Method::Get, [job]) => parse_job_id(job).and_then(|job| show::show(cx, job)),
        (Method::Post, [job, "cancel"]) => parse_job_id(job).and_then(|job| show::cancel(cx, job)),
        (Method::Get, [job, "results"]) => match parse_job_id(job) {
            Ok(job) => return results::send(cx, job, out),
            Err(refusal) => Err(refusal),
        },
        _ => Err(Refusal::not_run(
            Reason::MethodNotAllowed,
            format!("{} is not served at {}", call.method, call.path),
        )),
    };
    match result {
        Ok(value) => out.json(200, &value),
        Err(refusal) => out.refuse(&refusal),
    }
}

fn parse_job_id(job: &str) -> Result<JobId, Refusal> {
    job.parse().map_err(|_| {
        Refusal::not_run(
            Reason::NotFound,
            format!("{job:?} is not the identifier of a job"),
        )
    })
}
