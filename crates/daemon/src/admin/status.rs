//! Reports the state of this instance.

use serde_json::json;

use crate::{
    context::Context,
    http::Responder,
    telemetry, //
};

/// Responds with the state of this instance.
pub(crate) fn show(cx: &Context, out: Responder) {
    let settings = &cx.settings;
    out.json(
        200,
        &json!({
            "instance": settings.instance,
            "region": settings.region,
            "failure_domain": settings.failure_domain,
            "revision": cx.store.configuration().revision,
            "ready": cx.health.unready_reason().is_none(),
            "unready_because": cx.health.unready_reason(),
            "confirmation_age_ms": cx.health.confirmation_age(),
            "replica": cx.store.replica_status().map(|replica| json!({
                "leader": replica.leader,
                "leads": replica.holds_lease(cx.clock.now()),
                "term": replica.term,
                "applied": replica.applied,
                "voters": replica.voters,
            })),
            "running_requests": telemetry::running_requests(),
            "targets": cx.targets.all().len(),
        }),
    );
}

/// Responds with all targets that this instance knows.
pub(crate) fn list_targets(cx: &Context, out: Responder) {
    let all = cx.targets.all();
    let targets: Vec<_> = all.values().collect();
    out.json(200, &json!({ "targets": targets }));
}
