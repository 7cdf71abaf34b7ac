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

use crate::measures;

/// Answers one request, once.
pub(crate) struct Responder {
    req: Request,
    id: String,
}

impl Responder {
    pub(crate) fn new(req: Request, id: String) -> Self {
        Self { req, id }
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
        measures::count_refusal(refusal.reason, refusal.verdict);
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

    /// Starts a stream of server-sent events.
    ///
    /// # Errors
    ///
    /// Returns the error of the caller's connection.
    pub(crate) fn stream(self) -> io::Result<EventWriter> {
        let mut out = self.req.into_writer();
        write!(
            out,
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nCache-Control: no-store\r\n\
             Transfer-Encoding: chunked\r\nConnection: close\r\nX-Request-Id: {}\r\n\r\n",
            self.id
        )?;
        out.flush()?;
        Ok(EventWriter { out, id: self.id })
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

/// Writes server-sent events, each flushed at once.
///
/// Dropping the writer without [`EventWriter::finish`] leaves out the last chunk, so that the
/// caller's HTTP library reports the stream as cut.
pub(crate) struct EventWriter {
    out: Box<dyn Write + Send + 'static>,
    id: String,
}

impl EventWriter {
    /// Sends one event, which ends with an empty line.
    ///
    /// # Errors
    ///
    /// Returns the error of the caller's connection.
    pub(crate) fn send(&mut self, event: &[u8]) -> io::Result<()> {
        write!(self.out, "{:x}\r\n", event.len())?;
        self.out.write_all(event)?;
        self.out.write_all(b"\r\n")?;
        self.out.flush()
    }

    /// Tells the caller that the stream is cut. The end mark is not sent.
    pub(crate) fn cut(mut self, refusal: &Refusal) {
        measures::count_refusal(refusal.reason, refusal.verdict);
        log::warn!(
            request = self.id.as_str(),
            reason = refusal.reason.code(),
            verdict = refusal.verdict.code();
            "stream cut: {}", refusal.detail
        );
        let event = format!("data: {}\n\n", error_body(refusal, &self.id));
        // The connection is closed after this event whether or not the caller still reads.
        drop(self.send(event.as_bytes()));
    }

    /// Ends the stream after its end mark.
    ///
    /// # Errors
    ///
    /// Returns the error of the caller's connection.
    pub(crate) fn finish(mut self) -> io::Result<()> {
        self.out.write_all(b"0\r\n\r\n")?;
        self.out.flush()
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
