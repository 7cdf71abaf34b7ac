//! The list of models.

use std::collections::BTreeSet;

use serde_json::json;

use crate::{
    context::Context,
    http::Responder, //
};

/// Lists the models that at least one target serves.
pub(crate) fn list_models(cx: &Context, out: Responder) {
    let targets = cx.targets.all();
    let models: BTreeSet<_> = targets
        .values()
        .filter_map(|target| target.model.as_ref())
        .collect();
    let data: Vec<_> = models
        .into_iter()
        .map(|id| json!({ "id": id, "object": "model", "owned_by": "yuccaseam" }))
        .collect();
    out.json(200, &json!({ "object": "list", "data": data }));
}
