//! The administration API for operators.

mod configuration;
mod instances;
mod members;
mod orders;
mod status;

pub(crate) use configuration::unexpected_result;
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
    replica::MemberRequest, //
};

/// Dispatches an operator's request to its handler. `path` is what follows `/admin/v1/`.
pub(crate) fn dispatch(cx: &Context, call: &Call, path: &[&str], out: Responder) {
    match (&call.method, path) {
        (Method::Get, ["instances"]) => instances::list(cx, out),
        (Method::Get, ["orders"]) => orders::list(cx, out),
        (Method::Post, ["orders"]) => orders::issue(cx, call, out),
        (Method::Get, ["status"]) => status::show(cx, out),
        (Method::Get, ["targets"]) => status::list_targets(cx, out),
        (Method::Get, ["configuration"]) => configuration::show(cx, out),
        (Method::Post, ["configuration"]) => configuration::change(cx, call, out),
        (Method::Get, ["configuration", "history"]) => configuration::history(cx, call, out),
        (Method::Get, ["exceptions"]) => configuration::exceptions(cx, out),
        (Method::Get, ["members"]) => members::list(cx, out),
        (Method::Post, ["members", "add"]) => members::change(cx, call, MemberRequest::Add, out),
        (Method::Post, ["members", "promote"]) => {
            members::change(cx, call, MemberRequest::Promote, out);
        }
        (Method::Post, ["members", "remove"]) => {
            members::change(cx, call, MemberRequest::Remove, out);
        }
        _ => {
            let detail = format!("nothing is served at {} {}", call.method, call.path);
            out.refuse(&Refusal::not_run(Reason::NotFound, detail));
        }
    }
}
