//! Calls of callers: which route, and which kind of work.

use std::{
    net::SocketAddr,
    sync::Arc, //
};

use bytes::Bytes;
use http::{
    Method,
    Request,
    StatusCode,
    header,
    request::Parts, //
};
use http_body_util::{
    BodyExt as _,
    LengthLimitError,
    Limited, //
};
use hyper::body::Incoming;
use tokio::time::timeout;
use yuccaseam_base::Millis;
use yuccaseam_platform::{
    BatchCall,
    Repeatability,
    Route,
    headers, //
};

use crate::{
    admission::{
        MANIFEST_WAIT,
        come_back_after_start, //
    },
    cx::Cx,
    routes::RouteTable,
};

use super::{
    answer::{
        Answer,
        refused,
        text, //
    },
    batch,
    http_server::{
        Connections,
        DEFAULT_LIMITS,
        listen, //
    },
    online,
};

/// The time that is left for the request itself of a caller that waits for the manifest.
const TO_SERVE: Millis = Millis(150);

/// Serves callers for the life of the process.
///
/// # Errors
///
/// Fails if the address cannot be listened on.
pub(crate) async fn serve(
    cx: &Arc<Cx>,
    address: SocketAddr,
    connections: &Arc<Connections>,
) -> anyhow::Result<()> {
    let cx = Arc::clone(cx);
    let known = Arc::clone(&cx);
    let limits = move || {
        let table = known.table();
        table.map_or(DEFAULT_LIMITS, |table| table.limits().into())
    };
    listen(address, connections, limits, move |req| {
        let cx = Arc::clone(&cx);
        let arrived_at = cx.clock.now();
        handle(cx, req, arrived_at)
    })
    .await
}

async fn handle(cx: Arc<Cx>, req: Request<Incoming>, arrived_at: Millis) -> Answer {
    let (head, body) = req.into_parts();
    let Some(table) = table(&cx, &head, arrived_at).await else {
        let soon = come_back_after_start(cx.clock.now(), rand::random());
        log::info!(
            request = request_id(&head), why = "no_manifest", up_for_ms = cx.clock.now().0,
            come_back_ms = soon.0; "request refused");
        return refused("no manifest is known yet", soon);
    };
    let host = headers::text(&head.headers, &header::HOST)
        .or_else(|| head.uri.host())
        .unwrap_or_default()
        .to_owned();
    let Some(route) = table.find(&host, head.uri.path()) else {
        return without_route(&cx, &table, &host, &head, arrived_at).await;
    };
    let body = match read_in_time(&head, body, route, &table).await {
        Ok(body) => body,
        Err(answer) => return answer,
    };
    match route.repeatability {
        Repeatability::Batch if head.method == Method::POST => {
            batch::submit(&cx, route, &host, &head, &body, arrived_at).await
        }
        Repeatability::Batch => text(StatusCode::METHOD_NOT_ALLOWED, "jobs are sent by POST"),
        _ => {
            let received = Received {
                head,
                body,
                arrived_at,
                manifest: table.version(),
            };
            online::serve(cx, route.clone(), received).await
        }
    }
}

/// Calls about jobs that were accepted belong to no route.
async fn without_route(
    cx: &Cx,
    table: &RouteTable,
    host: &str,
    head: &Parts,
    arrived_at: Millis,
) -> Answer {
    let path = head.uri.path();
    if let Some(call) = BatchCall::parse(&head.method, path, head.uri.query()) {
        return batch::call(cx, call, head, arrived_at).await;
    }
    log::info!(
        request = request_id(head), why = "no_route", manifest = table.version(), host, path;
        "request refused");
    text(StatusCode::NOT_FOUND, "no route")
}

/// Reads the body in the time that the caller gave, or the route's.
async fn read_in_time(
    head: &Parts,
    body: Incoming,
    route: &Route,
    table: &RouteTable,
) -> Result<Bytes, Answer> {
    let patience = headers::millis(&head.headers, &headers::TIME_LEFT).unwrap_or(route.timeout);
    let read = read_body(body, table.limits().body_bytes);
    let read = match timeout(patience.min(route.timeout).duration(), read).await {
        Ok(read) => read,
        Err(_) => Err(text(
            StatusCode::REQUEST_TIMEOUT,
            "the body did not come in time",
        )),
    };
    if let Err(answer) = &read {
        log::info!(
            request = request_id(head), why = "bad_body", status = answer.status().as_u16();
            "request refused");
    }
    read
}

/// The routes in force. A caller that came back waits for them, because it has no attempt left.
async fn table(cx: &Cx, head: &Parts, arrived_at: Millis) -> Option<Arc<RouteTable>> {
    if let Some(table) = cx.table() {
        return Some(table);
    }
    let patience = headers::millis(&head.headers, &headers::TIME_LEFT)?;
    let kind = head.uri.path().split('/').nth(1).unwrap_or_default();
    if !cx.patience().came_back(kind, patience) {
        return None;
    }
    let until = arrived_at + (patience - TO_SERVE).min(MANIFEST_WAIT);
    loop {
        let changed = cx.room.notified();
        let left = until - cx.clock.now();
        if let Some(table) = cx.table() {
            return Some(table);
        }
        if left == Millis::ZERO {
            return None;
        }
        // Either way the loop looks again.
        let _ = timeout(left.duration(), changed).await;
    }
}

/// A request that has been read.
pub(crate) struct Received {
    pub(super) head: Parts,
    pub(super) body: Bytes,
    pub(super) arrived_at: Millis,
    /// The version of the manifest that chose its route.
    pub(super) manifest: u64,
}

impl Received {
    /// Names the request in logs.
    pub(super) fn id(&self) -> &str {
        request_id(&self.head)
    }
}

fn request_id(head: &Parts) -> &str {
    headers::text(&head.headers, &headers::REQUEST_ID).unwrap_or("-")
}

async fn read_body(body: Incoming, limit: usize) -> Result<Bytes, Answer> {
    match Limited::new(body, limit).collect().await {
        Ok(body) => Ok(body.to_bytes()),
        Err(error) if error.is::<LengthLimitError>() => {
            Err(text(StatusCode::PAYLOAD_TOO_LARGE, "the body is too large"))
        }
        Err(_) => Err(text(StatusCode::BAD_REQUEST, "the body is malformed")),
    }
}
