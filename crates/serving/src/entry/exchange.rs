//! One request and its response on a client connection.

use std::{
    pin::Pin,
    task::{
        Context,
        Poll, //
    },
    thread,
};

use bytes::Bytes;
use http::{
    Method,
    Request, //
};
use http_body_util::BodyExt as _;
use hyper::body::{
    Body as HttpBody,
    Frame,
    SizeHint, //
};
use yuccaseam_platform::headers;

use super::{
    head_timeout::HeadState,
    response::{
        Body,
        BodyError,
        HttpResponse, //
    },
};

/// How far a request has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// The handler has not returned a response.
    Handling,
    /// The head of the response has been passed to the HTTP library, but not all of its body.
    Responding,
    /// The whole response has been passed to the HTTP library.
    Complete,
}

impl Phase {
    /// Stable name for logs and metrics.
    const fn code(self) -> &'static str {
        match self {
            Self::Handling => "handling",
            Self::Responding => "responding",
            Self::Complete => "complete",
        }
    }
}

/// One request and its response. Reports a connection that ends before the response is complete.
pub(super) struct Exchange {
    request: String,
    state: HeadState,
    has_response_body: bool,
    phase: Phase,
    /// Why the response body failed.
    failure: Option<String>,
}

impl Exchange {
    /// Begins with the head of a request.
    pub(super) fn new<B>(req: &Request<B>, state: HeadState) -> Self {
        state.request_started();
        let request = headers::text(req.headers(), &headers::REQUEST_ID).unwrap_or("-");
        Self {
            request: request.to_owned(),
            state,
            has_response_body: req.method() != Method::HEAD,
            phase: Phase::Handling,
            failure: None,
        }
    }

    /// Tracks the response until all of its body has been read.
    pub(super) fn respond(mut self, response: HttpResponse) -> HttpResponse {
        response.map(|body| {
            self.phase = Phase::Responding;
            if body.is_end_stream() || !self.has_response_body {
                self.complete();
            }
            let exchange = self;
            TrackedBody { body, exchange }.boxed_unsync()
        })
    }

    fn complete(&mut self) {
        self.phase = Phase::Complete;
        self.state.response_ended();
    }

    /// Why the connection ended, for logs and metrics.
    fn end_reason(&self) -> &'static str {
        if thread::panicking() {
            "panic"
        } else if self.failure.is_some() {
            "response_failed"
        } else {
            "connection_closed"
        }
    }
}

impl Drop for Exchange {
    fn drop(&mut self) {
        if self.phase == Phase::Complete {
            return;
        }
        let (phase, reason) = (self.phase.code(), self.end_reason());
        metrics::counter!(
            "yuccaseam_incomplete_responses_total", "reason" => reason, "phase" => phase)
        .increment(1);
        log::info!(
            request:% = self.request, phase, reason, failure = self.failure.as_deref();
            "connection ended without a complete response");
    }
}

/// Response body that knows when all of it has been read.
struct TrackedBody {
    body: Body,
    exchange: Exchange,
}

impl HttpBody for TrackedBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let polled = Pin::new(&mut self.body).poll_frame(cx);
        match &polled {
            Poll::Ready(Some(Err(error))) => self.exchange.failure = Some(error.to_string()),
            Poll::Ready(None) => self.exchange.complete(),
            Poll::Ready(Some(Ok(_))) if self.body.is_end_stream() => self.exchange.complete(),
            Poll::Ready(Some(Ok(_))) | Poll::Pending => {}
        }
        polled
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
