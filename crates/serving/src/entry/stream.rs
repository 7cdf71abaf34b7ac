//! Forwarding of event streams from targets to callers.
//!
//! # Invariants
//!
//! - Only complete events are forwarded to the caller.
//! - The caller sees a regular end of the stream only if the target ended it regularly.
//! - A resumed stream continues after the last forwarded event.

use bytes::Bytes;
use futures_util::stream;
use http_body_util::{
    BodyExt as _,
    Limited,
    StreamBody, //
};
use hyper::body::{
    Frame,
    Incoming, //
};
use tokio::time::timeout;
use yuccaseam_base::Millis;

use crate::{
    events::{
        EventSplitter,
        MAX_EVENT_BYTES,
        OversizedEvent, //
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
        MAX_BUFFERED_BYTES,
        RequestFailure,
        Slot,
        response_with_body, //
    },
    response::{
        BodyError,
        HttpResponse, //
    },
};

/// Time-out between events of a stream that another target can resume: many times the interval
/// between events of a full engine.
const STALL_TIMEOUT: Millis = Millis(1_200);

/// Stream in progress.
struct ForwardedStream {
    request: ActiveRequest,
    /// `None` once the stream has ended.
    source: Option<Source>,
    splitter: EventSplitter,
    /// When the last events arrived.
    last_event_at: Option<Millis>,
    /// When the current target last completed an event, or its response began. Bytes that complete no
    /// event do not count as progress.
    progress_at: Millis,
    /// Whether the current target has sent an event.
    has_event: bool,
    /// Longest time between two events.
    longest_pause: Millis,
}

/// Target connection that events are read from.
struct Source {
    slot: Slot,
    /// Whether a stream that ends without an event was broken off.
    requires_events: bool,
    body: Incoming,
    conn: Connection,
}

impl Source {
    fn new(slot: Slot, response: UpstreamResponse) -> Self {
        Self {
            slot,
            requires_events: response.requires_events(),
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
}

/// Serves a request whose response is a stream.
pub(super) async fn serve(mut request: ActiveRequest) -> Result<HttpResponse, RequestFailure> {
    let (slot, response) = request.call(None).await?;
    let head = response.head.clone();
    let source = Some(Source::new(slot, response));
    let forwarded = ForwardedStream {
        progress_at: request.cx.clock.now(),
        request,
        source,
        splitter: EventSplitter::default(),
        last_event_at: None,
        has_event: false,
        longest_pause: Millis::ZERO,
    };
    let status = head.status;
    if !status.is_success() {
        return forwarded.forward_error(&head).await;
    }
    let frames = stream::unfold(forwarded, |mut forwarded| async {
        let frame = forwarded.next_events().await?;
        Some((frame.map(Frame::data), forwarded))
    });
    Ok(response_with_body(
        &head,
        StreamBody::new(frames).boxed_unsync(),
    ))
}

impl ForwardedStream {
    /// Forwards an error response of a target.
    async fn forward_error(
        mut self,
        head: &http::response::Parts,
    ) -> Result<HttpResponse, RequestFailure> {
        let Some(source) = self.source.take() else {
            return Err(self.request.fail("broken"));
        };
        if head.status.is_server_error() {
            source.slot.record_failure();
        }
        let remaining = self.request.deadline - self.request.cx.clock.now();
        let body = Limited::new(source.body, MAX_BUFFERED_BYTES).collect();
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
        Ok(response_with_body(
            head,
            super::response::full_body(body.to_bytes()),
        ))
    }

    /// Returns the next events for the caller, or `None` after the regular end of the stream.
    async fn next_events(&mut self) -> Option<Result<Bytes, BodyError>> {
        loop {
            let source = self.source.as_mut()?;
            let stalled_for = self.request.cx.clock.now() - self.progress_at;
            let remaining = self.request.deadline - self.request.cx.clock.now();
            let wait = (self.request.event_timeout() - stalled_for).min(remaining);
            let suspicion = self.request.suspicion_timeout() - stalled_for;
            // Zero once the target was recorded as unresponsive.
            let is_suspicion_due = suspicion > Millis::ZERO && suspicion < wait;
            let first_wait = if is_suspicion_due { suspicion } else { wait };
            let mut frame = timeout(first_wait.duration(), source.body.frame()).await;
            if frame.is_err() && is_suspicion_due {
                source.slot.record_unresponsive(&self.request.id);
                frame = timeout((wait - suspicion).duration(), source.body.frame()).await;
            }
            let is_over = self.request.cx.clock.now() >= self.request.deadline;
            let outcome = match frame {
                // A target that sends without a pause must not outlast the deadline.
                Ok(Some(Ok(_))) if is_over => ReadOutcome::Failed(Failure::TimedOut),
                Ok(Some(Ok(frame))) => match frame.into_data() {
                    Ok(data) => match self.splitter.push(&data) {
                        Ok(Some(events)) => ReadOutcome::Events(events),
                        Ok(None) => continue,
                        Err(OversizedEvent) => {
                            log::warn!(
                                request:% = self.request.id,
                                target_name:% = source.slot.choice.name,
                                max_bytes = MAX_EVENT_BYTES; "event without an end");
                            ReadOutcome::Failed(Failure::InvalidResponse)
                        }
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
                Err(_) => ReadOutcome::Failed(Failure::TimedOut),
            };
            match outcome {
                ReadOutcome::Events(events) => {
                    self.record_event();
                    return Some(Ok(events));
                }
                ReadOutcome::Ended => {
                    self.finish();
                    return None;
                }
                ReadOutcome::Failed(failure) => {
                    if let Err(error) = self.resume(failure).await {
                        return Some(Err(error.reason().into()));
                    }
                }
            }
        }
    }

    fn record_event(&mut self) {
        let now = self.request.cx.clock.now();
        self.progress_at = now;
        if !self.has_event {
            self.has_event = true;
            self.request.prove_parts();
        }
        match self.last_event_at {
            Some(previous) => self.longest_pause = self.longest_pause.max(now - previous),
            None => self.request.first_event_at = Some(now),
        }
        self.last_event_at = Some(now);
    }

    fn finish(&mut self) {
        if let Some(source) = self.source.take() {
            let request = &self.request;
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

    /// Resumes the stream at another target, if the route allows it.
    async fn resume(&mut self, failure: Failure) -> Result<(), RequestFailure> {
        let Some(source) = self.source.take() else {
            return Err(self.request.fail(failure.code()));
        };
        let error = UpstreamError::may_have_run(failure);
        // Closed first, so that the first target stops before a second one starts.
        drop(source.conn);
        if !self.has_event {
            self.request.record_if_crash(&source.slot, &error);
        }
        self.request.handle_failure(&source.slot, &error)?;
        drop(source.slot);
        self.splitter.discard_partial();
        let last_id = self.splitter.last_id().map(str::to_owned);
        let (slot, response) = self.request.call(last_id.as_deref()).await?;
        if !response.head.status.is_success() {
            return Err(self.request.fail("resume_refused"));
        }
        log::info!(
            request:% = self.request.id, target_name:% = slot.choice.name, after = last_id.as_deref();
            "stream resumed at another target");
        self.progress_at = self.request.cx.clock.now();
        self.has_event = false;
        self.source = Some(Source::new(slot, response));
        Ok(())
    }
}

impl ActiveRequest {
    /// Time-out between two events.
    fn event_timeout(&self) -> Millis {
        if self.can_resume() {
            STALL_TIMEOUT
        } else {
            Millis::MAX
        }
    }
}
