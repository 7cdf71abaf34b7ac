//! Batch jobs: what callers ask for.

mod create;
mod items;
mod results;
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

/// Gives a request on jobs to its handler. `path` is what follows `/v1/batches`.
pub(crate) fn dispatch(cx: &Context, call: &Call, path: &[&str], out: Responder) {
    let result = match (&call.method, path) {
        (Method::Post, []) => create::create(cx, call).map(Body::Json),
        (Method::Get, []) => show::list(cx, call).map(Body::Json),
        (Method::Get, [job]) => parse(job).and_then(|job| show::show(cx, job).map(Body::Json)),
        (Method::Post, [job, "cancel"]) => {
            parse(job).and_then(|job| show::cancel(cx, job).map(Body::Json))
        }
        (Method::Get, [job, "results"]) => {
            parse(job).and_then(|job| results::read(cx, job).map(Body::Lines))
        }
        _ => Err(Refusal::not_run(
            Reason::MethodNotAllowed,
            format!("{} is not served at {}", call.method, call.path),
        )),
    };
    match result {
        Ok(Body::Json(value)) => out.json(200, &value),
        Ok(Body::Lines(lines)) => out.bytes(200, "application/jsonl", lines),
        Err(refusal) => out.refuse(&refusal),
    }
}

/// The body of an answer.
enum Body {
    Json(serde_json::Value),
    Lines(Vec<u8>),
}

fn parse(job: &str) -> Result<JobId, Refusal> {
    job.parse().map_err(|_| {
        Refusal::not_run(
            Reason::NotFound,
            format!("{job:?} is not the identifier of a job"),
        )
    })
}
