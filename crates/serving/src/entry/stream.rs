//! Streams of events, passed on event by event.
//!
//! # Invariants
//!
//! - Only whole events reach the caller.
//! - A stream is ended as complete only if its target ended it so.
//! - A stream that is resumed goes on after the last event that was passed on.

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

use crate::{
    events::EventSplitter,
    upstream::{
        CallError,
        Connection,
        Failure, //
    },
};

use super::{
    answer::{
        Answer,
        BodyError, //
    },
    online::{
        GiveUp,
        Serving,
        Slot,
        answer, //
    },
};

/// How long a stream that another target could resume may pause: many times the time between events
/// of a full engine.
const STALL: Millis = Millis(1_200);

/// A stream that is under way.
struct Passing {
    serving: Serving,
    /// Absent once the stream has ended.
    source: Option<Source>,
    splitter: EventSplitter,
    /// When the last events arrived.
    event_at: Option<Millis>,
    /// The longest time between two events.
    longest_pause: Millis,
}

/// Where events come from.
struct Source {
    slot: Slot,
    body: Incoming,
    conn: Connection,
}

/// What came next from a target.
enum Next {
    Events(Bytes),
    Ended,
    Failed(Failure),
}

/// Serves a request whose answer is a stream.
pub(super) async fn serve(mut serving: Serving) -> Result<Answer, GiveUp> {
    let (slot, call) = serving.call(None).await?;
    let head = call.head;
    let source = Some(Source {
        slot,
        body: call.body,
        conn: call.conn,
    });
    let passing = Passing {
        serving,
        source,
        splitter: EventSplitter::default(),
        event_at: None,
        longest_pause: Millis::ZERO,
    };
    let status = head.status;
    if !status.is_success() {
        return passing.failure(&head).await;
    }
    let frames = stream::unfold(passing, |mut passing| async {
        let frame = passing.next().await?;
        Some((frame.map(Frame::data), passing))
    });
    Ok(answer(&head, StreamBody::new(frames).boxed_unsync()))
}

impl Passing {
    /// Passes on an answer of a target that is no success.
    async fn failure(mut self, head: &http::response::Parts) -> Result<Answer, GiveUp> {
        let Some(source) = self.source.take() else {
            return Err(self.serving.give_up("broken"));
        };
        if head.status.is_server_error() {
            source.slot.note_failed();
        }
        let left = self.serving.deadline - self.serving.cx.clock.now();
        let body = timeout(left.duration(), source.body.collect()).await;
        let Ok(Ok(body)) = body else {
            return Err(self.serving.give_up_after_run("broken"));
        };
        if super::online::is_promise(head.status) {
            return Err(self.serving.give_up_after_run("promise_by_target"));
        }
        source.conn.keep();
        self.serving
            .log_answer(&source.slot, head.status, "failed_by_target");
        Ok(answer(head, super::answer::whole(body.to_bytes())))
    }

    /// The next events for the caller. `None` after the end of a whole stream.
    async fn next(&mut self) -> Option<Result<Bytes, BodyError>> {
        loop {
            let source = self.source.as_mut()?;
            let wait = self.serving.event_wait();
            let suspected = self.serving.suspected_after().min(wait);
            let mut frame = timeout(suspected.duration(), source.body.frame()).await;
            if frame.is_err() && suspected < wait {
                source.slot.note_silent(&self.serving.id);
                frame = timeout((wait - suspected).duration(), source.body.frame()).await;
            }
            let next = match frame {
                Ok(Some(Ok(frame))) => match frame.into_data() {
                    Ok(data) => match self.splitter.push(&data) {
                        Some(events) => Next::Events(events),
                        None => continue,
                    },
                    // Trailers concern one connection only.
                    Err(_) => continue,
                },
                Ok(None) if self.splitter.is_mid_event() => Next::Failed(Failure::Broken),
                Ok(None) => Next::Ended,
                Ok(Some(Err(_))) => Next::Failed(Failure::Broken),
                Err(_) => Next::Failed(Failure::Silent),
            };
            match next {
                Next::Events(events) => {
                    self.note_event();
                    return Some(Ok(events));
                }
                Next::Ended => {
                    self.finish();
                    return None;
                }
                Next::Failed(failure) => {
                    if let Err(give_up) = self.resume(failure).await {
                        return Some(Err(give_up.why().into()));
                    }
                }
            }
        }
    }

    fn note_event(&mut self) {
        let now = self.serving.cx.clock.now();
        match self.event_at {
            Some(before) => self.longest_pause = self.longest_pause.max(now - before),
            None => self.serving.first_event_at = Some(now),
        }
        self.event_at = Some(now);
    }

    fn finish(&mut self) {
        if let Some(source) = self.source.take() {
            let serving = &self.serving;
            log::debug!(
                request:% = serving.id, longest_pause_ms = self.longest_pause.0; "stream ended");
            metrics::histogram!("yuccaseam_longest_pause_seconds")
                .record(self.longest_pause.duration().as_secs_f64());
            serving.cx.balancer().succeeded(source.slot.choice.key);
            serving.log_answer(&source.slot, http::StatusCode::OK, "streamed");
            source.conn.keep();
        }
    }

    /// Goes on at another target, if that is allowed.
    async fn resume(&mut self, failure: Failure) -> Result<(), GiveUp> {
        let Some(source) = self.source.take() else {
            return Err(self.serving.give_up(failure.code()));
        };
        let error = CallError::may_have_run(failure);
        // The connection is closed first, so that the first target stops before a second one starts.
        drop(source.conn);
        self.serving.failed(&source.slot, &error)?;
        drop(source.slot);
        self.splitter.discard_partial();
        let last_id = self.splitter.last_id().map(str::to_owned);
        let (slot, call) = self.serving.call(last_id.as_deref()).await?;
        if !call.head.status.is_success() {
            return Err(self.serving.give_up("resume_refused"));
        }
        log::info!(
            request:% = self.serving.id, target_name:% = slot.choice.name, after = last_id.as_deref();
            "the stream goes on at another target");
        self.source = Some(Source {
            slot,
            body: call.body,
            conn: call.conn,
        });
        Ok(())
    }
}

impl Serving {
    /// How long the next event may take.
    fn event_wait(&self) -> Millis {
        let left = self.deadline - self.cx.clock.now();
        if self.may_resume() {
            left.min(STALL)
        } else {
            left
        }
    }
}
