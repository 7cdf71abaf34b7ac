//! HTTP server for callers: selects the route and the kind of work.

use std::{
    net::SocketAddr,
    sync::Arc, //
};

use bytes::Bytes;
use http::{
    HeaderValue,
    Method,
    Request,
    StatusCode,
    header,
    request::Parts, //
};
use hyper::body::Incoming;
use tokio::time::timeout;
use yuccaseam_base::Millis;
use yuccaseam_platform::{
    BatchCall,
    Repeatability,
    Route,
    Team,
    headers, //
};

use crate::{
    admission::{
        MAX_MANIFEST_WAIT,
        retry_after,
        retry_after_startup, //
    },
    cx::Cx,
    intake::{
        ReadError,
        ReadLimits, //
    },
    routes::RouteTable,
};

use super::{
    authentication, batch,
    http_server::{
        Connections,
        DEFAULT_LIMITS,
        listen, //
    },
    online,
    quota::LimitedRequest,
    response::{
        HttpResponse,
        refusal,
        text, //
    },
};

/// Part of a caller's time that is reserved for serving the request once the manifest is known.
const MIN_SERVE_TIME: Millis = Millis(150);
/// Longest wait for room for a body: a caller whose request is refused may be served elsewhere.
const MAX_WAIT_FOR_ROOM: Millis = Millis(1_000);
/// Memory for each byte of a job while it is decoded and sent to the leader. Its items may be very short.
const JOB_BYTES_PER_BYTE: u64 = 6;
/// Retry delay for a request that arrived too late in a planned stop: other instances take it at once.
const STOPPING_RETRY_AFTER: Millis = Millis(50);

/// Starts the HTTP server for callers.
///
/// # Errors
///
/// Fails if the address cannot be bound.
pub(crate) async fn serve(
    cx: &Arc<Cx>,
    address: SocketAddr,
    connections: &Arc<Connections>,
) -> anyhow::Result<()> {
    let cx = Arc::clone(cx);
    let limits_cx = Arc::clone(&cx);
    let limits = move || {
        let table = limits_cx.table();
        table.map_or(DEFAULT_LIMITS, |table| table.limits().into())
    };
    listen(address, connections, limits, move |req| {
        let cx = Arc::clone(&cx);
        let arrived_at = cx.clock.now();
        handle(cx, req, arrived_at)
    })
    .await
}

async fn handle(cx: Arc<Cx>, req: Request<Incoming>, arrived_at: Millis) -> HttpResponse {
    let (mut head, body) = req.into_parts();
    let Some(table) = wait_for_table(&cx, &head, arrived_at).await else {
        let retry_after = retry_after_startup(cx.clock.now(), rand::random());
        log::info!(
            request = request_id(&head), why = "no_manifest", up_for_ms = cx.clock.now().0,
            come_back_ms = retry_after.0; "request refused");
        return refusal("no manifest available yet", retry_after);
    };
    let host = headers::text(&head.headers, &header::HOST)
        .or_else(|| head.uri.host())
        .unwrap_or_default()
        .to_owned();
    let Some(route) = table.find(&host, head.uri.path()) else {
        return handle_unrouted(&cx, &table, &host, head, body, arrived_at).await;
    };
    let team = match authentication::authenticate(&table, &mut head, Some(route)) {
        Ok(team) => team,
        Err(error) => return authentication::refuse(&cx, error, &head, body, &table).await,
    };
    let body = match read_body_in_time(&head, body, route, &table, &cx).await {
        Ok(body) => body,
        Err(response) => return response,
    };
    if cx.is_closing() {
        log::info!(
            request = request_id(&head), why = "stopping", read_ms = (cx.clock.now() - arrived_at).0;
            "request refused");
        return refusal("instance is stopping", STOPPING_RETRY_AFTER);
    }
    match route.repeatability {
        Repeatability::Batch if head.method == Method::POST => {
            batch::submit(&cx, route, &host, &head, &body, team.as_deref(), arrived_at).await
        }
        Repeatability::Batch => text(
            StatusCode::METHOD_NOT_ALLOWED,
            "batch jobs must be submitted by POST",
        ),
        _ => {
            let limited = team.as_deref().filter(|_| !route.is_public);
            if let Some(team) = limited
                && let Some(quota) = team.quota
            {
                let limited = LimitedRequest {
                    id: request_id(&head),
                    team: &team.name,
                    quota,
                    manifest: table.version(),
                };
                if let Err(response) = limited.spend_token(&cx).await {
                    return response;
                }
            }
            let request = ReceivedRequest {
                head,
                body,
                arrived_at,
                manifest: table.version(),
                team,
            };
            online::serve(cx, route.clone(), request).await
        }
    }
}

/// Handles a request that matches no route: a call about an accepted job, or a 404.
async fn handle_unrouted(
    cx: &Cx,
    table: &RouteTable,
    host: &str,
    mut head: Parts,
    body: Incoming,
    arrived_at: Millis,
) -> HttpResponse {
    if let Some(call) = BatchCall::parse(&head.method, head.uri.path(), head.uri.query()) {
        return match authentication::authenticate(table, &mut head, None) {
            Ok(team) => batch::call(cx, call, &head, team.as_deref(), arrived_at).await,
            Err(error) => authentication::refuse(cx, error, &head, body, table).await,
        };
    }
    let path = head.uri.path();
    log::info!(
        request = request_id(&head), why = "no_route", manifest = table.version(), host, path;
        "request refused");
    text(StatusCode::NOT_FOUND, "no route for this host and path")
}

/// Reads the body within the time that the caller has left, at most the route's time-out.
async fn read_body_in_time(
    head: &Parts,
    body: Incoming,
    route: &Route,
    table: &RouteTable,
    cx: &Cx,
) -> Result<Bytes, HttpResponse> {
    let time_left = headers::millis(&head.headers, &headers::TIME_LEFT).unwrap_or(route.timeout);
    let limits = ReadLimits {
        max_bytes: table.limits().body_bytes,
        bytes_per_byte: if route.repeatability == Repeatability::Batch {
            JOB_BYTES_PER_BYTE
        } else {
            1
        },
        max_wait: MAX_WAIT_FOR_ROOM,
    };
    let read = cx.intake.bodies.read(body, limits);
    let read = match timeout(time_left.min(route.timeout).duration(), read).await {
        Ok(read) => read.map_err(unread_body),
        Err(_) => Err(text(
            StatusCode::REQUEST_TIMEOUT,
            "request body not received in time",
        )),
    };
    if let Err(response) = &read {
        log::info!(
            request = request_id(head), why = "bad_body", status = response.status().as_u16();
            "request refused");
    }
    read
}

/// Response to a request whose body was not read. The rest of the body is not read either.
pub(super) fn unread_body(error: ReadError) -> HttpResponse {
    metrics::counter!("yuccaseam_unread_bodies_total", "reason" => error.code()).increment(1);
    let mut response = match error {
        ReadError::TooLarge => text(
            StatusCode::PAYLOAD_TOO_LARGE,
            "request body exceeds the size limit",
        ),
        ReadError::Broken => text(StatusCode::BAD_REQUEST, "request body is malformed"),
        ReadError::NoRoom => refusal("no room for the request body", retry_after(rand::random())),
        ReadError::TooSlow => refusal("request body came too slowly", retry_after(rand::random())),
    };
    let close = HeaderValue::from_static("close");
    response.headers_mut().insert(header::CONNECTION, close);
    response
}

/// Returns the route table in force. If there is none, a retry waits for it, because its caller has
/// no attempt left.
async fn wait_for_table(cx: &Cx, head: &Parts, arrived_at: Millis) -> Option<Arc<RouteTable>> {
    if let Some(table) = cx.table() {
        return Some(table);
    }
    let time_left = headers::millis(&head.headers, &headers::TIME_LEFT)?;
    let kind = head.uri.path().split('/').nth(1).unwrap_or_default();
    if !cx.retry_detector().is_retry(kind, time_left) {
        return None;
    }
    let deadline = arrived_at + (time_left - MIN_SERVE_TIME).min(MAX_MANIFEST_WAIT);
    loop {
        let wake = cx.manifest_changed.notified();
        let remaining = deadline - cx.clock.now();
        if let Some(table) = cx.table() {
            return Some(table);
        }
        if remaining == Millis::ZERO {
            return None;
        }
        // On wake-up and on time-out alike, the loop checks again.
        let _ = timeout(remaining.duration(), wake).await;
    }
}

/// Request whose body has been read.
pub(crate) struct ReceivedRequest {
    pub(super) head: Parts,
    pub(super) body: Bytes,
    pub(super) arrived_at: Millis,
    /// Version of the manifest that the route was taken from.
    pub(super) manifest: u64,
    /// Team of the caller, if any.
    pub(super) team: Option<Arc<Team>>,
}

impl ReceivedRequest {
    /// Request id for log lines.
    pub(super) fn id(&self) -> &str {
        request_id(&self.head)
    }
}

pub(super) fn request_id(head: &Parts) -> &str {
    headers::text(&head.headers, &headers::REQUEST_ID).unwrap_or("-")
}
