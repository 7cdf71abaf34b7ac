//! HTTP calls from targets and operators.

use std::{
    net::SocketAddr,
    sync::Arc, //
};

use bytes::Bytes;
use http::{
    Request,
    StatusCode, //
};
use hyper::body::Incoming;
use tokio::time::timeout;
use yuccaseam_base::{
    InstanceName,
    Millis,
    TargetName, //
};
use yuccaseam_platform::{
    Announcement,
    ControlCall,
    Departure,
    Manifest,
    RetireProgress, //
};

use crate::{
    cx::Cx,
    follow::PendingNotifications,
    intake::ReadLimits,
    link::{
        FollowerMessage,
        HubReply,
        HubRequest, //
    },
    routes::RouteTable,
    state::StoredManifest,
    targets::TargetRecord,
};

use super::{
    front::unread_body,
    http_server::{
        Connections,
        DEFAULT_LIMITS,
        listen, //
    },
    response::{
        HttpResponse,
        empty,
        json,
        text, //
    },
};

/// Largest request body, in bytes, where the memory allows it.
const MAX_BODY_BYTES: usize = 16 << 20;
/// Memory for each byte of a body, such as a manifest, while it is decoded and stored.
const MANIFEST_BYTES_PER_BYTE: u64 = 6;
/// Time-out for the body of a call. Those of targets are small, and manifests come within a second.
const BODY_TIMEOUT: Millis = Millis(8_000);
/// Time-out of an operator's call to the leader.
const CALL_TIMEOUT: Millis = Millis(4_000);

/// Starts the HTTP server for targets and operators.
///
/// # Errors
///
/// Fails if the address cannot be bound.
pub(crate) async fn serve(
    cx: &Arc<Cx>,
    notifications: &Arc<PendingNotifications>,
    address: SocketAddr,
    connections: &Arc<Connections>,
) -> anyhow::Result<()> {
    let cx = Arc::clone(cx);
    let notifications = Arc::clone(notifications);
    listen(
        address,
        connections,
        || DEFAULT_LIMITS,
        move |req| handle(Arc::clone(&cx), Arc::clone(&notifications), req),
    )
    .await
}

async fn handle(
    cx: Arc<Cx>,
    notifications: Arc<PendingNotifications>,
    req: Request<Incoming>,
) -> HttpResponse {
    let Some(call) = ControlCall::parse(req.method(), req.uri().path()) else {
        return text(StatusCode::NOT_FOUND, "no such call");
    };
    let room = cx.intake.limits.bodies.large() / MANIFEST_BYTES_PER_BYTE;
    let limits = ReadLimits {
        max_bytes: MAX_BODY_BYTES.min(room as usize),
        bytes_per_byte: MANIFEST_BYTES_PER_BYTE,
        max_wait: BODY_TIMEOUT,
    };
    let body = cx.intake.bodies.read(req.into_body(), limits);
    let body = match timeout(BODY_TIMEOUT.duration(), body).await {
        Ok(Ok(body)) => body,
        Err(_) => {
            log::warn!(limit_ms = BODY_TIMEOUT.0; "body of a control call not received in time");
            return text(
                StatusCode::REQUEST_TIMEOUT,
                "request body not received in time",
            );
        }
        Ok(Err(error)) => {
            log::warn!(why = error.code(); "body of a control call not read");
            return unread_body(error);
        }
    };
    match call {
        ControlCall::Announce(name) => announce(&cx, &notifications, &name, &body).await,
        ControlCall::Leave(name) => leave(&cx, &notifications, name, &body).await,
        ControlCall::PutManifest => put_manifest(&cx, body).await,
        ControlCall::GetManifest => get_manifest(&cx).await,
        ControlCall::StartRetiring(instance) => start_retiring(&cx, instance, &body).await,
        ControlCall::GetRetiring(instance) => get_retiring(&cx, instance).await,
    }
}

async fn announce(
    cx: &Cx,
    notifications: &PendingNotifications,
    name: &TargetName,
    body: &[u8],
) -> HttpResponse {
    let record = match Announcement::decode(name.as_str(), body) {
        Ok(announcement) => TargetRecord::from(announcement),
        Err(error) => {
            log::warn!(target_name:% = name, error:% = error; "invalid target announcement");
            return text(StatusCode::BAD_REQUEST, error.0);
        }
    };
    let accepted = if record.draining {
        notifications.notify_draining(cx, record).await
    } else if cx.targets().replaces_start(&record) && !notifications.is_confirmed(&record) {
        notifications.notify_started(cx, record).await
    } else {
        cx.send_to_leader(FollowerMessage::Announced(record))
    };
    update_response(accepted)
}

async fn leave(
    cx: &Cx,
    notifications: &PendingNotifications,
    name: TargetName,
    body: &[u8],
) -> HttpResponse {
    let departure = Departure::decode(body).unwrap_or_else(|error| {
        // The target leaves whatever else it says.
        log::warn!(target_name:% = name, error:% = error; "start of a target that leaves not read");
        Departure { started_at: None }
    });
    let accepted = notifications
        .notify_leaving(cx, name, departure.started_at)
        .await;
    update_response(accepted)
}

fn update_response(accepted: bool) -> HttpResponse {
    if accepted {
        json(StatusCode::OK, b"{}".to_vec())
    } else {
        text(
            StatusCode::SERVICE_UNAVAILABLE,
            "no leader accepted the update",
        )
    }
}

async fn put_manifest(cx: &Cx, body: Bytes) -> HttpResponse {
    let decoded = Manifest::decode(&body).map_err(anyhow::Error::from);
    let version = match decoded.and_then(|manifest| Ok(RouteTable::new(manifest)?.version())) {
        Ok(version) => version,
        Err(error) => {
            log::warn!(error:% = error; "invalid manifest refused");
            return text(StatusCode::BAD_REQUEST, error.to_string());
        }
    };
    let stored = StoredManifest::pack(version, &body);
    let deadline = cx.clock.now() + CALL_TIMEOUT;
    let reply = cx
        .call_leader(&HubRequest::PutManifest(stored), deadline)
        .await;
    log::info!(version, done = (reply == Some(HubReply::Done)); "manifest submitted");
    response_from_reply(reply)
}

async fn get_manifest(cx: &Cx) -> HttpResponse {
    let deadline = cx.clock.now() + CALL_TIMEOUT;
    match cx.call_leader(&HubRequest::GetManifest, deadline).await {
        Some(HubReply::Manifest(Some(stored))) => match stored.unpack() {
            Ok(body) => json(StatusCode::OK, body),
            Err(error) => {
                log::error!(
                    version = stored.version, error:% = error; "cannot decode the stored manifest");
                text(
                    StatusCode::INTERNAL_SERVER_ERROR,
                    "cannot decode the stored manifest",
                )
            }
        },
        Some(HubReply::Manifest(None)) => text(
            StatusCode::SERVICE_UNAVAILABLE,
            "no manifest has been stored yet",
        ),
        // Without a quorum it is unknown which manifest is the newest.
        Some(HubReply::Unknown) => {
            text(StatusCode::SERVICE_UNAVAILABLE, "no quorum replied in time")
        }
        other => response_from_reply(other),
    }
}

async fn start_retiring(cx: &Cx, instance: InstanceName, body: &[u8]) -> HttpResponse {
    if let Err(error) = RetireProgress::decode_request(body) {
        return text(StatusCode::BAD_REQUEST, error.0);
    }
    let deadline = cx.clock.now() + CALL_TIMEOUT;
    let reply = cx
        .call_leader(&HubRequest::StartRetiring(instance), deadline)
        .await;
    response_from_reply(reply)
}

async fn get_retiring(cx: &Cx, instance: InstanceName) -> HttpResponse {
    let deadline = cx.clock.now() + CALL_TIMEOUT;
    match cx
        .call_leader(&HubRequest::GetRetiring(instance), deadline)
        .await
    {
        Some(HubReply::Retired(done)) => {
            let progress = if done {
                RetireProgress::Completed
            } else {
                RetireProgress::Running
            };
            json(StatusCode::OK, progress.encode())
        }
        other => response_from_reply(other),
    }
}

fn response_from_reply(reply: Option<HubReply>) -> HttpResponse {
    match reply {
        Some(HubReply::Done) => empty(StatusCode::OK),
        Some(HubReply::NotFound) => text(StatusCode::NOT_FOUND, "no such instance"),
        Some(HubReply::TooFewLeft) => text(
            StatusCode::CONFLICT,
            "too few instances with disks would remain",
        ),
        Some(_) => text(StatusCode::GATEWAY_TIMEOUT, "no quorum replied in time"),
        None => text(StatusCode::SERVICE_UNAVAILABLE, "no leader available"),
    }
}
