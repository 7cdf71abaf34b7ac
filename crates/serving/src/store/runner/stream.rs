//! One run of an item at one target.

use std::sync::Arc;

use http::{
    HeaderName,
    HeaderValue,
    Method,
    Request,
    StatusCode,
    header, //
};
use http_body_util::{
    BodyExt as _,
    Full, //
};
use tokio::sync::mpsc;
use yuccaseam_base::Millis;
use yuccaseam_platform::headers;

use crate::{
    cx::Cx,
    events::{
        EventSplitter,
        event_data, //
    },
    schedule::ItemKey,
    state::Item,
    targets::TargetRecord,
    upstream::Failure, //
};

/// How long a stream may pause before its item goes on elsewhere.
const STALL: Millis = Millis(2_000);

/// How a run ended.
#[derive(Debug)]
pub(super) enum End {
    /// The whole output is there.
    Whole,
    /// The target says that the item can never be done.
    Impossible,
    /// The target itself failed to do it.
    FailedByTarget,
    /// The target has not run it.
    Rejected,
    /// The stream broke.
    Broken(Failure),
}

pub(super) enum Report {
    /// What was proposed for these items did not take effect.
    Lost(Vec<ItemKey>),
    Events {
        run: u64,
        lines: Vec<String>,
        last_id: Option<String>,
    },
    Ended {
        run: u64,
        end: End,
    },
}

pub(super) fn request(
    host: &str,
    item: &Item,
    target: &TargetRecord,
    last_id: Option<&str>,
) -> Option<Request<Full<bytes::Bytes>>> {
    let body = Full::new(bytes::Bytes::from(item.body.clone()));
    let mut req = Request::builder()
        .method(Method::POST)
        .uri(&item.path)
        .header(header::HOST, host)
        .header(headers::EXPECTED_TARGET, target.name.as_str());
    if let Some(id) = last_id {
        req = req.header(headers::LAST_EVENT_ID, id);
    }
    let mut req = req.body(body).ok()?;
    for (name, value) in &item.headers {
        let name = HeaderName::from_bytes(name.as_bytes()).ok()?;
        let value = HeaderValue::from_str(value).ok()?;
        req.headers_mut().insert(name, value);
    }
    let id = HeaderValue::from_str(&item.id).ok()?;
    req.headers_mut().insert(headers::REQUEST_ID, id);
    Some(req)
}

/// Runs one item at one target and reports its events and its end.
pub(super) async fn stream(
    cx: Arc<Cx>,
    target: TargetRecord,
    req: Request<Full<bytes::Bytes>>,
    run: u64,
    reports: mpsc::UnboundedSender<Report>,
) {
    let end = stream_events(&cx, &target, req, run, &reports).await;
    // The runner ends only with the process.
    let _ = reports.send(Report::Ended { run, end });
}

async fn stream_events(
    cx: &Arc<Cx>,
    target: &TargetRecord,
    req: Request<Full<bytes::Bytes>>,
    run: u64,
    reports: &mpsc::UnboundedSender<Report>,
) -> End {
    let call = cx.upstream.call(target.address, req, STALL, STALL).await;
    let mut call = match call {
        Ok(call) => call,
        Err(error) => return End::Broken(error.failure),
    };
    let head = &call.head;
    if head.headers.contains_key(headers::NOT_RUN) || head.status == StatusCode::MISDIRECTED_REQUEST
    {
        return End::Rejected;
    }
    match head.status {
        StatusCode::UNPROCESSABLE_ENTITY => return End::Impossible,
        StatusCode::INTERNAL_SERVER_ERROR => return End::FailedByTarget,
        status if status.is_success() && head.headers.contains_key(headers::SIGNATURE) => {}
        _ => return End::Broken(Failure::WrongAnswer),
    }
    let mut splitter = EventSplitter::default();
    loop {
        match tokio::time::timeout(STALL.duration(), call.body.frame()).await {
            Err(_) => return End::Broken(Failure::Silent),
            Ok(None) if splitter.is_mid_event() => return End::Broken(Failure::Broken),
            Ok(None) => {
                call.conn.keep();
                return End::Whole;
            }
            Ok(Some(Err(_))) => return End::Broken(Failure::Broken),
            Ok(Some(Ok(frame))) => {
                let Ok(data) = frame.into_data() else {
                    continue;
                };
                if let Some(events) = splitter.push(&data) {
                    let lines = event_data(&events);
                    let lines = lines.map(|line| String::from_utf8_lossy(line).into_owned());
                    // The runner ends only with the process.
                    let _ = reports.send(Report::Events {
                        run,
                        lines: lines.collect(),
                        last_id: splitter.last_id().map(str::to_owned),
                    });
                }
            }
        }
    }
}
