//! Answers to one request.

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

/// Answers one request, once.
pub(crate) struct Responder {
    req: Request,
    id: String,
}

impl Responder {
    pub(crate) fn new(req: Request, id: String) -> Self {
        Self { req, id }
    }

    /// The body of the request, of at most `limit` bytes.
    ///
    /// # Errors
    ///
    /// Refuses a body that says that it is larger.
    pub(crate) fn body(&mut self, limit: usize) -> Result<Body<'_>, Refusal> {
        Body::of(&mut self.req, limit)
    }

    /// Answers with JSON.
    pub(crate) fn json(self, status: u16, value: &serde_json::Value) {
        let mut body = value.to_string();
        body.push('\n');
        self.bytes(status, "application/json", body.into_bytes());
    }

    /// Answers with a body of this type.
    pub(crate) fn bytes(self, status: u16, content_type: &str, body: Vec<u8>) {
        let response = Response::from_data(body)
            .with_status_code(status)
            .with_header(header("Content-Type", content_type))
            .with_header(header("X-Request-Id", &self.id));
        self.respond(response);
    }

    /// Answers with an error: a stable code, the verdict and one sentence.
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
            // The header counts whole seconds; rounding up keeps it true.
            let secs = after.0.div_ceil(1_000).max(1);
            response.add_header(header("Retry-After", &secs.to_string()));
        }
        self.respond(response);
    }

    /// Starts an answer of this type that is made while it is sent.
    ///
    /// # Errors
    ///
    /// Returns the error of the caller's connection.
    pub(crate) fn chunks(self, content_type: &str) -> io::Result<ChunkWriter> {
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
            log::debug!(request = self.id.as_str(); "the caller is gone: {error}");
        }
    }
}

/// Writes an answer chunk by chunk, each flushed at once.
///
/// Dropping the writer without [`ChunkWriter::finish`] cuts the answer in a way that no HTTP
/// library takes for its end: `tiny_http` offers no way to close the connection from here, so a
/// malformed chunk makes the caller's library fail at once.
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

    /// Tells the caller in an event that the stream is cut, and ends the answer without the end
    /// mark of a whole stream. A malformed chunk would make some libraries drop the event.
    pub(crate) fn cut(mut self, refusal: &Refusal) {
        self.note_cut(refusal);
        let event = format!("data: {}\n\n", error_body(refusal, &self.id));
        // A caller that is gone needs neither the event nor the end.
        if self.send(event.as_bytes()).is_ok() {
            drop(self.finish());
        }
    }

    /// Counts and logs that the answer is cut.
    pub(crate) fn note_cut(&self, refusal: &Refusal) {
        telemetry::count_refusal(refusal.reason, refusal.verdict);
        log::warn!(
            request = self.id.as_str(),
            reason = refusal.reason.code(),
            verdict = refusal.verdict.code();
            "answer cut: {}", refusal.detail
        );
    }

    /// Ends the answer.
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

/// The HTTP status of a refusal.
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
