//! Handlers for orders to targets.

use serde::Deserialize;
use serde_json::json;
use yuccaseam_base::TargetName;
use yuccaseam_state::{
    IssueOrder,
    Outcome,
    Query,
    QueryResult, //
};

use crate::{
    admin::unexpected_result,
    context::Context,
    http::{
        Call,
        Responder, //
    },
};

/// Body of a request to issue an order.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct OrderBody {
    target: TargetName,
    model: String,
    /// Weight store that the target loads from. It serves one load at a time.
    #[serde(default = "default_store")]
    store: String,
}

fn default_store() -> String {
    "weights".to_owned()
}

/// Responds with all orders and their progress.
pub(crate) fn list(cx: &Context, out: Responder) {
    match cx.store.query(cx, &Query::Orders) {
        Ok(QueryResult::Orders(orders)) => out.json(200, &json!({ "orders": orders })),
        Ok(other) => out.refuse(&unexpected_result(&other)),
        Err(refusal) => out.refuse(&refusal),
    }
}

/// Accepts an order. The leader executes it.
pub(crate) fn issue(cx: &Context, call: &Call, out: Responder) {
    let body: OrderBody = match call.json() {
        Ok(body) => body,
        Err(refusal) => return out.refuse(&refusal),
    };
    let issue = IssueOrder {
        target: body.target,
        model: body.model,
        store: body.store,
    };
    match cx.store.propose(cx, issue) {
        Ok(Outcome::Ordered(order)) => out.json(200, &json!(order)),
        Ok(other) => out.refuse(&unexpected_result(&other)),
        Err(refusal) => out.refuse(&refusal),
    }
}
