//! Responses to HTTP requests.

use std::io::{
    self,
    Write, //
};

use serde_json::json;
use tiny_http::{
    Header,
    Request,
    Response, //
};
use yuccaseam_base::{
    Reason,
    Refusal, //
};

use crate::{
    http::Body,
    telemetry, //
};

/// Sends the response to one request.
pub(crate) struct Responder {
    req: Request,
    id: String,
}

impl Responder {
    pub(crate) fn new(req: Request, id: String) -> Self {
        Self { req, id }
    }

    /// Returns a reader of the request body, of at most `limit` bytes.
    ///
    /// # Errors
    ///
    /// Refuses a body whose declared length exceeds the limit.
    pub(crate) fn body(&mut self, limit: usize) -> Result<Body<'_>, Refusal> {
        Body::new(&mut self.req, limit)
    }

    /// Responds with JSON.
    pub(crate) fn json(self, status: u16, value: &serde_json::Value) {
        let mut body = value.to_string();
        body.push('\n');
        self.bytes(status, "application/json", body.into_bytes());
    }

    /// Responds with a body of this type.
    pub(crate) fn bytes(self, status: u16, content_type: &str, body: Vec<u8>) {
        let response = Response::from_data(body)
            .with_status_code(status)
            .with_header(header("Content-Type", content_type))
            .with_header(header("X-Request-Id", &self.id));
        self.respond(response);
    }

    /// Responds with an error: a stable code, the verdict and one sentence.
    pub(crate) fn refuse(self, refusal: &Refusal) {
        telemetry::count_refusal(refusal.reason, refusal.verdict);
        log::info!(
            request = self.id.as_str(),
            reason = refusal.reason.code(),
            verdict = refusal.verdict.code();
            "request refused: {}", refusal.detail
        );
        let body = format!("{}\n", error_body(refusal, &self.id));
        let mut response = Response::from_data(body.into_bytes())
            .with_status_code(status_of(refusal))
            .with_header(header("Content-Type", "application/json"))
            .with_header(header("X-Request-Id", &self.id));
        if let Some(after) = refusal.retry_after {
            // The header is in whole seconds. Rounding up keeps the caller from retrying early.
            let secs = after.0.div_ceil(1_000).max(1);
            response.add_header(header("Retry-After", &secs.to_string()));
        }
        self.respond(response);
    }

    /// Starts a streaming response of this type.
    ///
    /// # Errors
    ///
    /// Returns the error of the caller's connection.
    pub(crate) fn stream(self, content_type: &str) -> io::Result<ChunkWriter> {
        let mut out = self.req.into_writer();
        write!(
            out,
            "HTTP/1.1 200 OK\r\nContent-Type: {content_type}\r\nCache-Control: no-store\r\n\
             Transfer-Encoding: chunked\r\nConnection: close\r\nX-Request-Id: {}\r\n\r\n",
            self.id
        )?;
        out.flush()?;
        Ok(ChunkWriter {
            out,
            id: self.id,
            is_finished: false,
        })
    }

    fn respond<R>(self, response: Response<R>)
    where
        R: io::Read,
    {
        if let Err(error) = self.req.respond(response) {
            log::debug!(request = self.id.as_str(); "caller disconnected: {error}");
        }
    }
}

/// Writer of a streaming response that flushes each chunk.
///
/// Dropping the writer without [`ChunkWriter::finish`] sends a malformed chunk, so that the
/// caller's HTTP library fails at once and does not take the response for complete. `tiny_http`
/// has no way to close the connection from here.
pub(crate) struct ChunkWriter {
    out: Box<dyn Write + Send + 'static>,
    id: String,
    is_finished: bool,
}

impl ChunkWriter {
    /// Sends one chunk, such as a server-sent event with its empty line.
    ///
    /// # Errors
    ///
    /// Returns the error of the caller's connection.
    pub(crate) fn send(&mut self, chunk: &[u8]) -> io::Result<()> {
        write!(self.out, "{:x}\r\n", chunk.len())?;
        self.out.write_all(chunk)?;
        self.out.write_all(b"\r\n")?;
        self.out.flush()
    }

    /// Sends an error event and ends the response without the end mark of a complete event stream.
    /// A malformed chunk would make some HTTP libraries drop the event.
    pub(crate) fn abort(mut self, refusal: &Refusal) {
        self.record_abort(refusal);
        let event = format!("data: {}\n\n", error_body(refusal, &self.id));
        // A caller that has disconnected needs neither the event nor the end.
        if self.send(event.as_bytes()).is_ok() {
            drop(self.finish());
        }
    }

    /// Counts and logs an aborted response.
    pub(crate) fn record_abort(&self, refusal: &Refusal) {
        telemetry::count_refusal(refusal.reason, refusal.verdict);
        log::warn!(
            request = self.id.as_str(),
            reason = refusal.reason.code(),
            verdict = refusal.verdict.code();
            "response aborted: {}", refusal.detail
        );
    }

    /// Ends the response.
    ///
    /// # Errors
    ///
    /// Returns the error of the caller's connection.
    pub(crate) fn finish(mut self) -> io::Result<()> {
        self.is_finished = true;
        self.out.write_all(b"0\r\n\r\n")?;
        self.out.flush()
    }
}

impl Drop for ChunkWriter {
    fn drop(&mut self) {
        if !self.is_finished {
            drop(self.out.write_all(b"cut\r\n"));
            drop(self.out.flush());
        }
    }
}

fn error_body(refusal: &Refusal, id: &str) -> serde_json::Value {
    json!({
        "error": {
            "code": refusal.reason.code(),
            "verdict": refusal.verdict.code(),
            "message": refusal.detail,
            "request_id": id,
        }
    })
}

fn header(name: &str, value: &str) -> Header {
    Header::from_bytes(name, value).unwrap_or_else(|()| {
        Header::from_bytes("X-Invalid-Header", "removed").expect("a plain header is valid")
    })
}

/// HTTP status of a refusal.
fn status_of(refusal: &Refusal) -> u16 {
    match refusal.reason {
        Reason::BadRequest | Reason::BadKey => 400,
        Reason::NotFound | Reason::UnknownModel | Reason::UnknownService => 404,
        Reason::MethodNotAllowed => 405,
        Reason::KeyReused | Reason::KeyInProgress | Reason::OutcomeUnknown => 409,
        Reason::RevisionConflict | Reason::UnsafeChange | Reason::Cancelled => 409,
        Reason::BodyTooLarge => 413,
        Reason::QueueFull | Reason::TeamOverShare | Reason::LimitReached => 429,
        Reason::CallerGone => 499,
        Reason::Internal => 500,
        Reason::TargetFailed | Reason::AnswerCut => 502,
        Reason::DiskFull => 507,
        Reason::DeadlinePassed => 504,
        _ => 503,
    }
}
