//! Placement calls to one target.

use std::net::SocketAddr;

use serde::Deserialize;
use serde_json::json;
use yuccaseam_base::{
    Millis,
    Reason,
    Refusal, //
};
use yuccaseam_state::Order;

use crate::{
    context::Context,
    upstream::TargetRequest, //
};

/// Time-out of a call to a target. Whether an order that takes longer was executed shows in the
/// placement that the target reports.
const CALL_TIMEOUT: Millis = Millis(5_000);

/// The models that a target reports to serve.
#[derive(Clone, Debug, Default, Deserialize)]
pub(super) struct Placement {
    #[serde(default)]
    pub(super) models: Vec<String>,
    /// The number of the last order that it executed; 0 if it keeps none.
    #[serde(default)]
    number: u64,
}

impl Placement {
    /// Whether the target serves the model of an order. A target that keeps order numbers must have
    /// executed this order or a later one.
    pub(super) fn serves(&self, order: &Order) -> bool {
        let is_current = self.number == 0 || self.number >= order.number.0;
        is_current && self.models.contains(&order.model)
    }
}

/// Queries the placement of a target; `None` if it does not report one.
pub(super) fn query_placement(cx: &Context, address: SocketAddr) -> Option<Placement> {
    let call = TargetRequest {
        address,
        method: "GET",
        path: "/placement",
        headers: Vec::new(),
        body: b"",
    };
    let response = cx.upstream.send_with_timeout(&call, CALL_TIMEOUT).ok()?;
    let body = response.read_body().ok()?;
    serde_json::from_slice(&body).ok()
}

/// Orders a target to load a model.
///
/// # Errors
///
/// Fails if the target rejects the order or does not respond in time.
pub(super) fn send_load_order(
    cx: &Context,
    address: SocketAddr,
    order: &Order,
) -> Result<(), Refusal> {
    let body = json!({ "number": order.number, "action": "load", "model": order.model });
    let body = body.to_string();
    let call = TargetRequest {
        address,
        method: "POST",
        path: "/orders",
        headers: vec![("content-type", "application/json")],
        body: body.as_bytes(),
    };
    let response = cx.upstream.send_with_timeout(&call, CALL_TIMEOUT)?;
    if response.status < 300 {
        return Ok(());
    }
    let detail = format!("the target returned status {}", response.status);
    Err(Refusal::may_have_run(Reason::TargetFailed, detail))
}
