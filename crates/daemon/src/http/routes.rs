//! Routes HTTP requests to their handlers.

use serde_json::json;
use tiny_http::Method;
use yuccaseam_base::{
    Reason,
    Refusal, //
};

use crate::{
    admin,
    context::Context,
    entry,
    health::Phase,
    http::{
        Call,
        Responder, //
    },
    jobs,
};

/// Dispatches a request to its handler.
pub(crate) fn dispatch(cx: &Context, call: &Call, out: Responder) {
    let path: Vec<_> = call.path.split('/').skip(1).collect();
    let is_work = matches!(path[0], "v1" | "services");
    if is_work && cx.health.phase() == Phase::Refusing {
        let refusal = Refusal::not_run(Reason::Stopping, "this instance is stopping");
        return out.refuse(&refusal);
    }
    match (&call.method, path.as_slice()) {
        (Method::Get, ["livez"]) => out.bytes(200, "text/plain", b"live\n".to_vec()),
        (Method::Get, ["readyz"]) => ready(cx, out),
        (Method::Get, ["metrics"]) => metrics(cx, out),
        (Method::Post, ["v1", "chat", "completions"]) => entry::generate(cx, call, out),
        (Method::Post, ["v1", "completions"]) => entry::generate(cx, call, out),
        (Method::Get, ["v1", "models"]) => entry::list_models(cx, out),
        (_, ["v1", "batches", rest @ ..]) => jobs::dispatch(cx, call, rest, out),
        (_, ["services", name, ..]) => entry::call_service(cx, call, name, out),
        (Method::Post, ["targets", "v1", "announce"]) => entry::announce(cx, call, out),
        (_, ["admin", "v1", rest @ ..]) => admin::dispatch(cx, call, rest, out),
        (_, path) => out.refuse(&unrouted(path)),
    }
}

/// Whether the handler of a request reads the body as a stream, because it may be large.
pub(crate) fn streams_body(call: &Call) -> bool {
    call.method == Method::Post && call.path == "/v1/batches"
}

fn ready(cx: &Context, out: Responder) {
    match cx.health.unready_reason() {
        None => out.json(200, &json!({ "ready": true })),
        Some(reason) => out.json(503, &json!({ "ready": false, "why": reason })),
    }
}

fn metrics(cx: &Context, out: Responder) {
    let text = cx.metrics.render();
    out.bytes(200, "text/plain; version=0.0.4", text.into_bytes());
}

fn unrouted(path: &[&str]) -> Refusal {
    let is_known = matches!(
        path,
        ["livez" | "readyz" | "metrics"]
            | ["v1", "chat", "completions"]
            | ["v1", "completions" | "models" | "batches"]
            | ["targets", "v1", "announce"]
    );
    let place = path.join("/");
    if is_known {
        Refusal::not_run(
            Reason::MethodNotAllowed,
            format!("this method is not served at /{place}"),
        )
    } else {
        Refusal::not_run(Reason::NotFound, format!("nothing is served at /{place}"))
    }
}
