//! Calls about placement to one target.

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
    upstream::Outgoing, //
};

/// How long a target may take to answer an order. An order that takes longer is looked for in what
/// the target reports.
const TIMEOUT: Millis = Millis(5_000);

/// What a target reports that it serves.
#[derive(Clone, Debug, Default, Deserialize)]
pub(super) struct Placement {
    #[serde(default)]
    pub(super) models: Vec<String>,
    /// The number of the last order that it carried out, if it keeps one.
    #[serde(default)]
    number: u64,
}

impl Placement {
    /// Whether the target serves what an order names. A target that keeps numbers must have
    /// carried out this order or a later one.
    pub(super) fn serves(&self, order: &Order) -> bool {
        let is_current = self.number == 0 || self.number >= order.number.0;
        is_current && self.models.contains(&order.model)
    }
}

/// Asks a target what it serves; none if it does not say.
pub(super) fn placement(cx: &Context, address: SocketAddr) -> Option<Placement> {
    let call = Outgoing {
        address,
        method: "GET",
        path: "/placement",
        headers: Vec::new(),
        body: b"",
    };
    let answer = cx.upstream.send_within(&call, TIMEOUT).ok()?;
    let body = answer.read_whole().ok()?;
    serde_json::from_slice(&body).ok()
}

/// Orders a target to load a model.
///
/// # Errors
///
/// Fails if the target refuses the order or does not answer in time.
pub(super) fn load(cx: &Context, address: SocketAddr, order: &Order) -> Result<(), Refusal> {
    let body = json!({ "number": order.number, "action": "load", "model": order.model });
    let body = body.to_string();
    let call = Outgoing {
        address,
        method: "POST",
        path: "/orders",
        headers: vec![("content-type", "application/json")],
        body: body.as_bytes(),
    };
    let answer = cx.upstream.send_within(&call, TIMEOUT)?;
    if answer.status < 300 {
        return Ok(());
    }
    let detail = format!("the target answered with status {}", answer.status);
    Err(Refusal::may_have_run(Reason::TargetFailed, detail))
}
