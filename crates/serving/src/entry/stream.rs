//! Forwarding of event streams from targets to callers.
//!
//! # Invariants
//!
//! - Only complete events are forwarded to the caller.
//! - The caller sees a regular end of the stream only if the target ended it regularly.
//! - A resumed stream continues after the last forwarded event.
//! - A silent target is left only for another one that has a free slot.
//! - The caller's response begins with the first event, so that a target that fails before it does not end the
//!   response without an answer.

use bytes::Bytes;
use futures_util::stream;
use http_body_util::{
    BodyExt as _,
    StreamBody, //
};
use hyper::body::{
    Frame,
    Incoming, //
};
use tokio::time::timeout;
use yuccaseam_base::Millis;
use yuccaseam_platform::headers;

use crate::{
    events::{
        EventSplitter,
        InvalidEvent,
        parse_event_id, //
    },
    intake::SlowReader,
    silence::{
        Silence,
        SilenceStep, //
    },
    upstream::{
        Connection,
        Failure,
        UpstreamError,
        UpstreamResponse, //
    },
};

use super::{
    online::{
        ActiveRequest,
        RequestFailure,
        Slot,
        response_with_body, //
    },
    response::{
        BodyError,
        HttpResponse,
        full_body, //
    },
};

/// Longest time from the first bytes of an event to its end, if the stream can be resumed. A target that
/// still sends bytes after this time is not silent but faulty.
const MAX_EVENT_TIME: Millis = Millis(3_000);

/// Stream in progress.
struct ForwardedStream {
    request: ActiveRequest,
    /// Head of the caller's response: that of the target that sent the first event.
    head: http::response::Parts,
    /// `None` once the stream has ended.
    source: Option<Source>,
    splitter: EventSplitter,
    /// When the last events arrived.
    last_event_at: Option<Millis>,
    /// Time since the current target last completed an event, or its response began. Bytes that complete
    /// no event do not count as progress.
    silence: Silence,
    /// Pauses of the caller, and when the last one ended.
    reader: SlowReader,
    /// When the first bytes of an incomplete event arrived.
    partial_since: Option<Millis>,
    /// Longest time between two events.
    longest_pause: Millis,
}

/// Target connection that events are read from.
struct Source {
    slot: Slot,
    /// Whether a stream that ends without an event was broken off.
    requires_events: bool,
    /// Whether another target wrote the beginning of the answer.
    is_resumed: bool,
    body: Incoming,
    conn: Connection,
}

impl Source {
    fn new(slot: Slot, response: UpstreamResponse) -> Self {
        Self {
            slot,
            requires_events: response.requires_events(),
            is_resumed: response.is_resumed,
            body: response.body,
            conn: response.conn,
        }
    }
}

/// Outcome of one read from a target.
enum ReadOutcome {
    Events(Bytes),
    Ended,
    Failed(Failure),
    /// The target was silent, and another one has a slot.
    Moved(Slot),
}

/// Serves a request whose response is a stream.
pub(super) async fn serve(mut request: ActiveRequest) -> Result<HttpResponse, RequestFailure> {
    let (slot, response) = request.call(None, None).await?;
    let after = headers::text(&request.head.headers, &headers::LAST_EVENT_ID);
    let splitter = EventSplitter::after(after.and_then(parse_event_id));
    let mut forwarded = ForwardedStream {
        head: response.head.clone(),
        silence: request.silence(),
        reader: SlowReader::default(),
        partial_since: None,
        request,
        source: Some(Source::new(slot, response)),
        splitter,
        last_event_at: None,
        longest_pause: Millis::ZERO,
    };
    if !forwarded.head.status.is_success() {
        return forwarded.forward_error().await;
    }
    let first = forwarded.next_events().await?;
    let head = forwarded.head.clone();
    let Some(first) = first else {
        return Ok(response_with_body(&head, full_body(Bytes::new())));
    };
    let frames = stream::unfold((Some(first), forwarded), |(first, mut forwarded)| async {
        let events = match first {
            Some(first) => Ok(first),
            None => {
                forwarded.record_read();
                forwarded.next_events().await.transpose()?
            }
        };
        forwarded.reader.record_passed(forwarded.now());
        let frame = events.map(Frame::data);
        let frame = frame.map_err(|error| BodyError::from(error.reason()));
        Some((frame, (None, forwarded)))
    });
    Ok(response_with_body(
        &head,
        StreamBody::new(frames).boxed_unsync(),
    ))
}

impl ForwardedStream {
    /// Forwards an error response of a target.
    async fn forward_error(mut self) -> Result<HttpResponse, RequestFailure> {
        let head = &self.head;
        let Some(source) = self.source.take() else {
            return Err(self.request.fail("broken"));
        };
        if head.status.is_server_error() {
            source.slot.record_failure();
        }
        let remaining = self.request.deadline - self.request.cx.clock.now();
        let body = self.request.read_answer(source.body);
        let body = timeout(remaining.duration(), body).await;
        let Ok(Ok(body)) = body else {
            return Err(self.request.fail_after_run("broken"));
        };
        if super::online::promises_not_run(head.status) {
            return Err(self.request.fail_after_run("promise_by_target"));
        }
        source.conn.release();
        self.request
            .log_response(&source.slot, head.status, "failed_by_target");
        Ok(response_with_body(head, full_body(body)))
    }

    /// Returns the next events for the caller, or `None` after the regular end of the stream.
    async fn next_events(&mut self) -> Result<Option<Bytes>, RequestFailure> {
        loop {
            let (failure, other) = match self.read().await {
                None => return Ok(None),
                Some(ReadOutcome::Events(events)) => {
                    self.record_event();
                    return Ok(Some(events));
                }
                Some(ReadOutcome::Ended) => {
                    self.finish();
                    return Ok(None);
                }
                Some(ReadOutcome::Failed(failure)) => (failure, None),
                Some(ReadOutcome::Moved(other)) => (Failure::TimedOut, Some(other)),
            };
            self.resume(failure, other).await?;
        }
    }

    /// Reads from the target until there is something to do. `None` after the end of the stream.
    async fn read(&mut self) -> Option<ReadOutcome> {
        loop {
            let source = self.source.as_mut()?;
            let wait = self.silence.next_step_at() - self.request.cx.clock.now();
            let frame = timeout(wait.duration(), source.body.frame()).await;
            let now = self.request.cx.clock.now();
            let outcome = match frame {
                // A target that sends without a pause must not outlast the deadline.
                Ok(Some(Ok(_))) if now >= self.request.deadline => {
                    ReadOutcome::Failed(Failure::TimedOut)
                }
                Ok(Some(Ok(frame))) => match frame.into_data() {
                    Ok(data) => match self.push(&data, now) {
                        Some(outcome) => outcome,
                        None => continue,
                    },
                    // Trailers are hop-by-hop.
                    Err(_) => continue,
                },
                Ok(None) if self.splitter.is_mid_event() => ReadOutcome::Failed(Failure::Broken),
                Ok(None) if source.requires_events && self.last_event_at.is_none() => {
                    ReadOutcome::Failed(Failure::Broken)
                }
                Ok(None) => ReadOutcome::Ended,
                Ok(Some(Err(_))) => ReadOutcome::Failed(Failure::Broken),
                Err(_) => match self.silence.step(now) {
                    SilenceStep::Wait => continue,
                    SilenceStep::Suspect => {
                        source.slot.record_unresponsive(&self.request.id);
                        continue;
                    }
                    SilenceStep::Move => match self.request.take_other_slot(&source.slot) {
                        Some(other) => ReadOutcome::Moved(other),
                        None => continue,
                    },
                    SilenceStep::End => ReadOutcome::Failed(Failure::TimedOut),
                },
            };
            return Some(outcome);
        }
    }

    /// Adds bytes of the target. `None` if they complete no event.
    fn push(&mut self, data: &[u8], now: Millis) -> Option<ReadOutcome> {
        let error = match self.splitter.push(data) {
            Ok(Some(events)) => {
                self.partial_since = self.splitter.is_mid_event().then_some(now);
                return Some(ReadOutcome::Events(events));
            }
            Ok(None) => {
                let since = *self.partial_since.get_or_insert(now);
                if now < since + MAX_EVENT_TIME || !self.request.can_resume() {
                    return None;
                }
                // Not longer than the largest event, but too late.
                InvalidEvent::Oversized
            }
            Err(error) => error,
        };
        log::warn!(
            request:% = self.request.id,
            target_name = self.source.as_ref().map(|source| source.slot.choice.name.0.as_str()),
            error:? = error, after = self.splitter.last_id(), max_ms = MAX_EVENT_TIME.0;
            "invalid event");
        Some(ReadOutcome::Failed(Failure::InvalidResponse))
    }

    fn now(&self) -> Millis {
        self.request.cx.clock.now()
    }

    /// Records that the caller has read what was passed on. The target was not read in the meantime, and so
    /// not silent.
    fn record_read(&mut self) {
        let now = self.now();
        if self.reader.record_read(now) {
            self.silence.record_progress(now);
            self.partial_since = None;
        }
    }

    fn record_event(&mut self) {
        let now = self.now();
        self.silence.record_progress(now);
        match self.last_event_at {
            Some(previous) => self.longest_pause = self.longest_pause.max(now - previous),
            None => {
                self.request.first_event_at = Some(now);
                self.request.is_persistent = true;
            }
        }
        self.last_event_at = Some(now);
    }

    fn finish(&mut self) {
        if let Some(source) = self.source.take() {
            let request = &self.request;
            // The end of an answer shows nothing of its beginning, which may crash targets.
            if !source.is_resumed && self.last_event_at.is_some() {
                request.prove_features();
            }
            log::debug!(
                request:% = request.id, longest_pause_ms = self.longest_pause.0; "stream ended");
            metrics::histogram!("yuccaseam_longest_pause_seconds")
                .record(self.longest_pause.duration().as_secs_f64());
            request.cx.balancer().record_success(source.slot.choice.key);
            request.record_service_times(&source.slot);
            request.log_response(&source.slot, http::StatusCode::OK, "streamed");
            source.conn.release();
        }
    }

    /// Resumes the stream at another target, if the route allows it. `other` is a slot there, if one has
    /// been taken.
    async fn resume(
        &mut self,
        failure: Failure,
        mut other: Option<Slot>,
    ) -> Result<(), RequestFailure> {
        let Some(source) = self.source.take() else {
            return Err(self.request.fail(failure.code()));
        };
        let failure = match failure {
            Failure::Broken if self.reader.may_have_been_cut_off(self.now()) => Failure::Unread,
            failure => failure,
        };
        let error = UpstreamError::may_have_run(failure);
        // Closed first, so that the first target stops before a second one starts.
        drop(source.conn);
        self.request.record_if_crash(&source.slot, &error);
        self.request.handle_failure(&source.slot, &error)?;
        drop(source.slot);
        if other.is_some() {
            self.request.is_persistent = true;
        }
        self.splitter.discard_partial();
        self.partial_since = None;
        let last_id = self.splitter.last_id().map(|id| id.to_string());
        let (slot, response) = loop {
            let called = self.request.call(last_id.as_deref(), other.take());
            let (slot, response) = called.await?;
            if response.head.status.is_success() {
                break (slot, response);
            }
            let status = response.head.status;
            self.request.handle_refused_resume(&slot, status)?;
        };
        log::info!(
            request:% = self.request.id, target_name:% = slot.choice.name, after = last_id.as_deref();
            "stream resumed at another target");
        if self.last_event_at.is_none() {
            self.head = response.head.clone();
        }
        self.silence = self.request.silence();
        self.source = Some(Source::new(slot, response));
        Ok(())
    }
}
