//! Calls of targets and operators.

use std::{
    net::SocketAddr,
    sync::Arc, //
};

use bytes::Bytes;
use http::{
    Request,
    StatusCode, //
};
use http_body_util::{
    BodyExt as _,
    Limited, //
};
use hyper::body::Incoming;
use yuccaseam_base::{
    InstanceName,
    Millis,
    TargetName, //
};
use yuccaseam_platform::{
    Announcement,
    ControlCall,
    Manifest,
    RetireProgress, //
};

use crate::{
    cx::Cx,
    follow::Notices,
    link::{
        Answer as LeaderAnswer,
        Ask,
        Up, //
    },
    routes::RouteTable,
    state::StoredManifest,
    targets::TargetRecord,
};

use super::{
    answer::{
        Answer,
        empty,
        json,
        text, //
    },
    http_server::{
        Connections,
        DEFAULT_LIMITS,
        listen, //
    },
};

/// The largest body of a call, in bytes.
const BODY_BYTES: usize = 16 << 20;
/// How long the leader may take with an operator's call.
const CALL: Millis = Millis(4_000);

/// Serves targets and operators for the life of the process.
///
/// # Errors
///
/// Fails if the address cannot be listened on.
pub(crate) async fn serve(
    cx: &Arc<Cx>,
    notices: &Arc<Notices>,
    address: SocketAddr,
    connections: &Arc<Connections>,
) -> anyhow::Result<()> {
    let cx = Arc::clone(cx);
    let notices = Arc::clone(notices);
    listen(
        address,
        connections,
        || DEFAULT_LIMITS,
        move |req| handle(Arc::clone(&cx), Arc::clone(&notices), req),
    )
    .await
}

async fn handle(cx: Arc<Cx>, notices: Arc<Notices>, req: Request<Incoming>) -> Answer {
    let Some(call) = ControlCall::parse(req.method(), req.uri().path()) else {
        return text(StatusCode::NOT_FOUND, "no such call");
    };
    let body = match Limited::new(req.into_body(), BODY_BYTES).collect().await {
        Ok(body) => body.to_bytes(),
        Err(_) => {
            return text(
                StatusCode::BAD_REQUEST,
                "the body is malformed or too large",
            );
        }
    };
    match call {
        ControlCall::Announce(name) => announce(&cx, &notices, &name, &body).await,
        ControlCall::Leave(name) => leave(&cx, &notices, name).await,
        ControlCall::PutManifest => put_manifest(&cx, body).await,
        ControlCall::GetManifest => get_manifest(&cx).await,
        ControlCall::StartRetiring(instance) => start_retiring(&cx, instance, &body).await,
        ControlCall::GetRetiring(instance) => get_retiring(&cx, instance).await,
    }
}

async fn announce(cx: &Cx, notices: &Notices, name: &TargetName, body: &[u8]) -> Answer {
    let record = match Announcement::decode(name.as_str(), body) {
        Ok(announcement) => TargetRecord::from(announcement),
        Err(error) => {
            log::warn!(target_name:% = name, error:% = error; "an announcement is unusable");
            return text(StatusCode::BAD_REQUEST, error.0);
        }
    };
    let told = if record.draining {
        notices.tell_draining(cx, record).await
    } else {
        cx.tell_leader(Up::Announced(record))
    };
    noted(told)
}

async fn leave(cx: &Cx, notices: &Notices, name: TargetName) -> Answer {
    let told = notices.tell_leaving(cx, name).await;
    noted(told)
}

fn noted(told: bool) -> Answer {
    if told {
        json(StatusCode::OK, b"{}".to_vec())
    } else {
        text(StatusCode::SERVICE_UNAVAILABLE, "no leader was told")
    }
}

async fn put_manifest(cx: &Cx, body: Bytes) -> Answer {
    let decoded = Manifest::decode(&body).map_err(anyhow::Error::from);
    let version = match decoded.and_then(|manifest| Ok(RouteTable::new(manifest)?.version())) {
        Ok(version) => version,
        Err(error) => {
            log::warn!(error:% = error; "a manifest is refused");
            return text(StatusCode::BAD_REQUEST, error.to_string());
        }
    };
    let stored = StoredManifest::pack(version, &body);
    let until = cx.clock.now() + CALL;
    let answer = cx.ask_leader(&Ask::PutManifest(stored), until).await;
    log::info!(version, done = (answer == Some(LeaderAnswer::Done)); "manifest handed in");
    done_or_unanswered(answer)
}

async fn get_manifest(cx: &Cx) -> Answer {
    let until = cx.clock.now() + CALL;
    match cx.ask_leader(&Ask::GetManifest, until).await {
        Some(LeaderAnswer::Manifest(Some(stored))) => match stored.unpack() {
            Ok(body) => json(StatusCode::OK, body),
            Err(error) => {
                log::error!(version = stored.version, error:% = error; "manifest unreadable");
                text(
                    StatusCode::INTERNAL_SERVER_ERROR,
                    "the manifest is unreadable",
                )
            }
        },
        Some(LeaderAnswer::Manifest(None)) => {
            text(StatusCode::SERVICE_UNAVAILABLE, "there is no manifest yet")
        }
        // Whoever cannot be sure which manifest is the newest names none.
        Some(LeaderAnswer::Unknown) => text(
            StatusCode::SERVICE_UNAVAILABLE,
            "no quorum answered in time",
        ),
        other => done_or_unanswered(other),
    }
}

async fn start_retiring(cx: &Cx, instance: InstanceName, body: &[u8]) -> Answer {
    if let Err(error) = RetireProgress::decode_request(body) {
        return text(StatusCode::BAD_REQUEST, error.0);
    }
    let until = cx.clock.now() + CALL;
    let answer = cx.ask_leader(&Ask::StartRetiring(instance), until).await;
    done_or_unanswered(answer)
}

async fn get_retiring(cx: &Cx, instance: InstanceName) -> Answer {
    let until = cx.clock.now() + CALL;
    match cx.ask_leader(&Ask::GetRetiring(instance), until).await {
        Some(LeaderAnswer::Retired(done)) => {
            let progress = if done {
                RetireProgress::Completed
            } else {
                RetireProgress::Running
            };
            json(StatusCode::OK, progress.encode())
        }
        other => done_or_unanswered(other),
    }
}

fn done_or_unanswered(answer: Option<LeaderAnswer>) -> Answer {
    match answer {
        Some(LeaderAnswer::Done) => empty(StatusCode::OK),
        Some(LeaderAnswer::NotFound) => text(StatusCode::NOT_FOUND, "no such instance"),
        Some(LeaderAnswer::TooFewLeft) => text(
            StatusCode::CONFLICT,
            "too few instances with disks would remain",
        ),
        Some(_) => text(StatusCode::GATEWAY_TIMEOUT, "no quorum answered in time"),
        None => text(StatusCode::SERVICE_UNAVAILABLE, "no leader was found"),
    }
}
