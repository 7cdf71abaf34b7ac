//! A single run of an item at a target.

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
use yuccaseam_base::{
    Millis,
    TeamName, //
};
use yuccaseam_platform::headers;

use crate::{
    cx::Cx,
    events::{
        EventSplitter,
        event_data, //
    },
    schedule::ItemKey,
    state::Item,
    targets::{
        TargetKey,
        TargetRecord, //
    },
    teams::{
        remove_credentials,
        set_team, //
    },
    upstream::{
        CallLimits,
        Failure, //
    },
};

/// Time limit for the response head and between frames, after which the item resumes elsewhere.
const STALL_TIMEOUT: Millis = Millis(2_000);

/// Largest output of an item in bytes: that of a page of results.
const MAX_OUTPUT_BYTES: usize = 1 << 20;

/// How a run ended.
#[derive(Debug)]
pub(super) enum RunEnd {
    /// The output is complete.
    Completed,
    /// The target reports that the item can never be processed.
    Unprocessable,
    /// The target reports that processing failed.
    FailedByTarget,
    /// The target did not run the item.
    Rejected,
    /// The target answered that the request is wrong.
    Refused,
    /// The output is longer than that of any item.
    Oversized,
    /// The connection or the stream failed.
    Interrupted(Failure),
    /// The connection broke before the first event, as in a crash of the target.
    BrokenBeforeOutput,
}

/// A message to the runner.
pub(super) enum Report {
    /// The output proposed for these items did not take effect, or may not have.
    NotPersisted(Vec<ItemKey>),
    Events {
        run: u64,
        lines: Vec<String>,
        /// Id of the last of these events.
        last_id: u64,
    },
    Ended {
        run: u64,
        end: RunEnd,
    },
    /// A response of a target said that it drains.
    TargetDrains(TargetKey),
}

/// For whom an item runs.
#[derive(Clone, Copy)]
pub(super) enum RunsFor<'a> {
    /// No teams are in force, and the job was accepted without: the item's headers are sent as they are.
    Anyone,
    /// Teams are in force, and the job was accepted without.
    Nobody,
    /// The team of the job.
    Team(&'a TeamName),
}

/// Builds the request of a run. `None` if the item's path, headers or ids are not valid in HTTP.
pub(super) fn build_request(
    host: &str,
    item: &Item,
    runs_for: RunsFor<'_>,
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
    if !matches!(runs_for, RunsFor::Anyone) {
        remove_credentials(req.headers_mut());
    }
    if let RunsFor::Team(team) = runs_for {
        set_team(req.headers_mut(), team);
    }
    let id = HeaderValue::from_str(&item.id).ok()?;
    req.headers_mut().insert(headers::REQUEST_ID, id);
    Some(req)
}

/// Output of an item that has arrived before a run.
#[derive(Clone, Copy)]
pub(super) struct Arrived {
    /// Id of the last event.
    pub(super) last_id: Option<u64>,
    /// Size of the data of the events.
    pub(super) bytes: usize,
}

/// Runs an item at a target, and reports its events and its end.
pub(super) async fn stream(
    cx: Arc<Cx>,
    target: TargetRecord,
    req: Request<Full<bytes::Bytes>>,
    arrived: Arrived,
    run: u64,
    reports: mpsc::UnboundedSender<Report>,
) {
    let end = stream_events(&cx, &target, req, arrived, run, &reports).await;
    // The runner runs until the process exits.
    let _ = reports.send(Report::Ended { run, end });
}

async fn stream_events(
    cx: &Arc<Cx>,
    target: &TargetRecord,
    req: Request<Full<bytes::Bytes>>,
    arrived: Arrived,
    run: u64,
    reports: &mpsc::UnboundedSender<Report>,
) -> RunEnd {
    let limits = CallLimits {
        max_idle: STALL_TIMEOUT,
        max_wait: STALL_TIMEOUT,
        same_region: false,
    };
    let call = cx.upstream.call(target.address, req, limits).await;
    let mut call = match call {
        Ok(call) => call,
        Err(error) if error.is_possible_crash() => return RunEnd::BrokenBeforeOutput,
        Err(error) => return RunEnd::Interrupted(error.failure),
    };
    let head = &call.head;
    if headers::is_leaving(&head.headers) {
        // The runner runs until the process exits.
        let _ = reports.send(Report::TargetDrains(target.key()));
    }
    if call.is_rejection() {
        return RunEnd::Rejected;
    }
    match head.status {
        StatusCode::UNPROCESSABLE_ENTITY => return RunEnd::Unprocessable,
        StatusCode::INTERNAL_SERVER_ERROR => return RunEnd::FailedByTarget,
        status if status.is_client_error() => return RunEnd::Refused,
        status if status.is_success() && call.is_valid() => {}
        _ => return RunEnd::Interrupted(Failure::InvalidResponse),
    }
    let requires_events = call.requires_events();
    let mut splitter = EventSplitter::after(arrived.last_id);
    let mut output_bytes = 0;
    let mut last_event_at = cx.clock.now();
    loop {
        // Bytes that complete no event do not count as progress.
        let wait = last_event_at + STALL_TIMEOUT - cx.clock.now();
        match tokio::time::timeout(wait.duration(), call.body.frame()).await {
            Err(_) => return RunEnd::Interrupted(Failure::TimedOut),
            Ok(None) if output_bytes == 0 && (requires_events || splitter.is_mid_event()) => {
                return RunEnd::BrokenBeforeOutput;
            }
            Ok(None) if splitter.is_mid_event() => return RunEnd::Interrupted(Failure::Broken),
            Ok(None) => {
                call.conn.release();
                return RunEnd::Completed;
            }
            Ok(Some(Err(_))) if output_bytes == 0 => return RunEnd::BrokenBeforeOutput,
            Ok(Some(Err(_))) => return RunEnd::Interrupted(Failure::Broken),
            Ok(Some(Ok(frame))) => {
                let Ok(data) = frame.into_data() else {
                    continue;
                };
                let events = match splitter.push(&data) {
                    Ok(events) => events,
                    Err(error) => {
                        log::warn!(
                            target_name:% = target.name, error:? = error,
                            after = splitter.last_id(); "invalid event of a batch item");
                        return RunEnd::Interrupted(Failure::InvalidResponse);
                    }
                };
                if let (Some(events), Some(last_id)) = (events, splitter.last_id()) {
                    output_bytes += events.len();
                    let total = arrived.bytes + output_bytes;
                    if total > MAX_OUTPUT_BYTES {
                        log::warn!(
                            target_name:% = target.name, bytes = total,
                            max_bytes = MAX_OUTPUT_BYTES; "output of a batch item is too large");
                        return RunEnd::Oversized;
                    }
                    last_event_at = cx.clock.now();
                    let lines = event_data(&events);
                    let lines = lines.map(|line| String::from_utf8_lossy(line).into_owned());
                    // The runner runs until the process exits.
                    let _ = reports.send(Report::Events {
                        run,
                        lines: lines.collect(),
                        last_id,
                    });
                }
            }
        }
    }
}
