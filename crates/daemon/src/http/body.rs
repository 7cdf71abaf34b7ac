//! Reads the bodies of requests.

use std::io::{
    self,
    Read, //
};

use tiny_http::Request;
use yuccaseam_base::{
    Reason,
    Refusal, //
};

/// Reader of a request body that enforces a size limit and reports a body that ends early as an
/// error.
pub(crate) struct Body<'a> {
    reader: &'a mut dyn Read,
    content_length: Option<usize>,
    bytes_read: usize,
    limit: usize,
}

impl<'a> Body<'a> {
    /// Creates a reader for a body of at most `limit` bytes.
    ///
    /// # Errors
    ///
    /// Refuses a body whose declared length exceeds the limit.
    pub(crate) fn new(req: &'a mut Request, limit: usize) -> Result<Self, Refusal> {
        let content_length = req.body_length();
        if content_length.is_some_and(|length| length > limit) {
            return Err(too_large(limit));
        }
        Ok(Self {
            reader: req.as_reader(),
            content_length,
            bytes_read: 0,
            limit,
        })
    }

    /// Reads the complete body.
    ///
    /// # Errors
    ///
    /// Refuses a body that is too large or that ends early.
    pub(crate) fn read_all(mut self) -> Result<Vec<u8>, Refusal> {
        let mut body = Vec::with_capacity(self.content_length.unwrap_or(0));
        match self.read_to_end(&mut body) {
            Ok(_) => Ok(body),
            Err(error) => Err(read_refusal(&error)),
        }
    }
}

impl Read for Body<'_> {
    fn read(&mut self, buf: &mut [u8]) -> io::Result<usize> {
        let count = self.reader.read(buf)?;
        self.bytes_read += count;
        if self.bytes_read > self.limit {
            return Err(io::Error::other(too_large(self.limit)));
        }
        let is_short = self
            .content_length
            .is_some_and(|length| self.bytes_read < length);
        if count == 0 && is_short && !buf.is_empty() {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        Ok(count)
    }
}

/// Converts an error of [`Body`] to the refusal of its request.
pub(crate) fn read_refusal(error: &io::Error) -> Refusal {
    let inner = error.get_ref().and_then(|inner| inner.downcast_ref());
    match inner {
        Some(refusal) => Refusal::clone(refusal),
        None => Refusal::not_run(Reason::BadRequest, format!("the body ended early: {error}")),
    }
}

fn too_large(limit: usize) -> Refusal {
    let detail = format!("the body is larger than {limit} bytes");
    Refusal::not_run(Reason::BodyTooLarge, detail)
}
