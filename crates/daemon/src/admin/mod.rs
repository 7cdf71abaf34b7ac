//! What operators ask for.

mod configuration;
mod status;

pub(crate) use configuration::unexpected;
use yuccaseam_base::{
    Reason,
    Refusal, //
};

use tiny_http::Method;

use crate::{
    context::Context,
    http::{
        Call,
        Responder, //
    },
};

/// Gives an operator's request to its handler. `path` is what follows `/admin/v1/`.
pub(crate) fn dispatch(cx: &Context, call: &Call, path: &[&str], out: Responder) {
    match (&call.method, path) {
        (Method::Get, ["status"]) => status::show(cx, out),
        (Method::Get, ["targets"]) => status::list_targets(cx, out),
        (Method::Get, ["configuration"]) => configuration::show(cx, out),
        (Method::Post, ["configuration"]) => configuration::change(cx, call, out),
        (Method::Get, ["configuration", "history"]) => configuration::history(cx, call, out),
        (Method::Get, ["exceptions"]) => configuration::exceptions(cx, out),
        _ => {
            let detail = format!("nothing is served at {} {}", call.method, call.path);
            out.refuse(&Refusal::not_run(Reason::NotFound, detail));
        }
    }
}
