//! Handlers that read and change the replica group.

use serde::Deserialize;
use serde_json::json;
use yuccaseam_base::InstanceName;

use crate::{
    context::Context,
    http::{
        Call,
        Responder, //
    },
    replica::MemberRequest, //
};

/// Body of a request to change the group.
#[derive(Deserialize)]
struct ChangeBody {
    instance: InstanceName,
}

/// Responds with all replicas, from the view of the leader.
pub(crate) fn list(cx: &Context, out: Responder) {
    match cx.store.members(cx) {
        Ok(members) => out.json(200, &json!({ "members": members })),
        Err(refusal) => out.refuse(&refusal),
    }
}

/// Changes the group and responds with its members after the change.
pub(crate) fn change<F>(cx: &Context, call: &Call, request: F, out: Responder)
where
    F: FnOnce(InstanceName) -> MemberRequest,
{
    let body: ChangeBody = match call.json() {
        Ok(body) => body,
        Err(refusal) => return out.refuse(&refusal),
    };
    match cx.store.change_members(cx, &request(body.instance)) {
        Ok(()) => list(cx, out),
        Err(refusal) => out.refuse(&refusal),
    }
}
