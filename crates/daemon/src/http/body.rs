//! Reading the body of a request.

use std::io::{
    self,
    Read, //
};

use tiny_http::Request;
use yuccaseam_base::{
    Reason,
    Refusal, //
};

/// Reads a body as it comes, and tells an early end from the end.
pub(crate) struct Body<'a> {
    reader: &'a mut dyn Read,
    expected: Option<usize>,
    read: usize,
    limit: usize,
}

impl<'a> Body<'a> {
    /// The body of a request, of at most `limit` bytes.
    ///
    /// # Errors
    ///
    /// Refuses a body that says that it is larger.
    pub(crate) fn of(req: &'a mut Request, limit: usize) -> Result<Self, Refusal> {
        let expected = req.body_length();
        if expected.is_some_and(|length| length > limit) {
            return Err(too_large(limit));
        }
        Ok(Self {
            reader: req.as_reader(),
            expected,
            read: 0,
            limit,
        })
    }

    /// Reads the whole body.
    ///
    /// # Errors
    ///
    /// Refuses a body that is too large or that ends early.
    pub(crate) fn read_whole(mut self) -> Result<Vec<u8>, Refusal> {
        let mut body = Vec::with_capacity(self.expected.unwrap_or(0));
        match self.read_to_end(&mut body) {
            Ok(_) => Ok(body),
            Err(error) => Err(refusal_of(&error)),
        }
    }
}

impl Read for Body<'_> {
    fn read(&mut self, buf: &mut [u8]) -> io::Result<usize> {
        let count = self.reader.read(buf)?;
        self.read += count;
        if self.read > self.limit {
            return Err(io::Error::other(too_large(self.limit)));
        }
        let is_short = self.expected.is_some_and(|length| self.read < length);
        if count == 0 && is_short && !buf.is_empty() {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        Ok(count)
    }
}

/// The refusal of a body that could not be read.
pub(crate) fn refusal_of(error: &io::Error) -> Refusal {
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
