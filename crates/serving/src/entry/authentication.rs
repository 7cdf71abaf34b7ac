//! Authentication of callers by the keys of the manifest in force.

use std::sync::Arc;

use http::{
    HeaderValue,
    StatusCode,
    header,
    request::Parts, //
};
use http_body_util::BodyExt as _;
use hyper::body::{
    Body as _,
    Incoming, //
};
use tokio::time::timeout;
use yuccaseam_base::Millis;
use yuccaseam_platform::{
    Route,
    Team, //
};

use crate::{
    routes::RouteTable,
    teams::{
        KeyError,
        remove_credentials, //
    },
};

use super::{
    front::request_id,
    response::{
        HttpResponse,
        text, //
    },
};

/// Longest time that the body of a refused request is read, so that the connection can be used again.
const MAX_DISCARD_TIME: Millis = Millis(1_000);

/// Finds the team of a request and removes the caller's credentials from it. `route` is `None` for a call
/// about a job. Without teams in the manifest, the request is left as it is.
pub(super) fn authenticate(
    table: &RouteTable,
    head: &mut Parts,
    route: Option<&Route>,
) -> Result<Option<Arc<Team>>, KeyError> {
    let Some(teams) = table.teams() else {
        return Ok(None);
    };
    let team = teams.authenticate(&head.headers, route)?;
    remove_credentials(&mut head.headers);
    Ok(team)
}

/// Refuses a request without a valid key. The body is read and discarded first: if it were left on the
/// connection, the connection would be closed, and a request that follows on it lost.
pub(super) async fn refuse(
    error: KeyError,
    head: &Parts,
    body: Incoming,
    table: &RouteTable,
) -> HttpResponse {
    let reason = error.code();
    metrics::counter!("yuccaseam_refused_total", "reason" => reason).increment(1);
    log::info!(
        request = request_id(head), why = reason, manifest = table.version(), path = head.uri.path();
        "request refused");
    let discarded = discard(body, table.limits().body_bytes);
    let is_read = timeout(MAX_DISCARD_TIME.duration(), discarded).await;
    let mut response = text(StatusCode::UNAUTHORIZED, "no valid API key");
    let fields = response.headers_mut();
    fields.insert(header::WWW_AUTHENTICATE, HeaderValue::from_static("Token"));
    if is_read != Ok(true) {
        fields.insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    response
}

/// Reads a body to its end. Returns false if it is malformed or larger than `limit`, in bytes.
async fn discard(mut body: Incoming, limit: usize) -> bool {
    let mut remaining = limit;
    while !body.is_end_stream() {
        let length = match body.frame().await {
            Some(Ok(frame)) => frame.data_ref().map_or(0, |data| data.len()),
            Some(Err(_)) => return false,
            None => return true,
        };
        let Some(rest) = remaining.checked_sub(length) else {
            return false;
        };
        remaining = rest;
    }
    true
}
