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
    cx::Cx,
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
        refusal,
        text, //
    },
};

/// Retry delay for a request whose key is unknown here and may be known elsewhere: most other instances take it
/// at once.
const UNKNOWN_KEY_RETRY_AFTER: Millis = Millis(100);
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
    cx: &Cx,
    error: KeyError,
    head: &Parts,
    body: Incoming,
    table: &RouteTable,
) -> HttpResponse {
    let contact_age = cx.balancer().loads_age(cx.clock.now());
    let is_final = error.is_final(contact_age);
    let reason = if is_final {
        error.code()
    } else {
        "unconfirmed_key"
    };
    metrics::counter!("yuccaseam_refused_total", "reason" => reason).increment(1);
    log::info!(
        request = request_id(head), why = reason, manifest = table.version(), path = head.uri.path(),
        contact_age_ms = contact_age.0;
        "request refused");
    let discarded = discard(body, table.limits().body_bytes);
    let is_read = timeout(MAX_DISCARD_TIME.duration(), discarded).await;
    let mut response = if is_final {
        let mut response = text(StatusCode::UNAUTHORIZED, "no valid API key");
        let scheme = HeaderValue::from_static("Token");
        response
            .headers_mut()
            .insert(header::WWW_AUTHENTICATE, scheme);
        response
    } else {
        refusal("API key is not known here yet", UNKNOWN_KEY_RETRY_AFTER)
    };
    if is_read != Ok(true) {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(header::CONNECTION, close);
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
