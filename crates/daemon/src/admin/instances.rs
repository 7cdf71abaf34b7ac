//! Lists all instances.

use serde_json::{
    Value,
    json, //
};
use yuccaseam_wire::store::IdentifyReply;

use crate::{
    context::Context,
    http::Responder,
    instances, //
};

/// Responds with the state of each instance, which is queried now.
pub(crate) fn list(cx: &Context, out: Responder) {
    let names = cx.links.names();
    let replies = instances::query_all(cx, &names);
    let mut list = vec![describe(&instances::identify(cx))];
    for (name, reply) in names.iter().zip(replies) {
        list.push(match reply {
            Some(reply) => describe(&reply),
            None => json!({ "instance": name, "ready": false, "unready": "does not answer" }),
        });
    }
    list.sort_by_key(|entry| entry["instance"].to_string());
    out.json(200, &json!({ "instances": list }));
}

fn describe(reply: &IdentifyReply) -> Value {
    json!({
        "instance": reply.instance,
        "region": reply.region,
        "failure_domain": reply.failure_domain,
        "ready": reply.unready.is_none(),
        "unready": reply.unready,
        "revision": reply.revision,
        "confirmation_age_ms": reply.confirmation_age_ms,
        "running_requests": reply.running_requests,
    })
}
