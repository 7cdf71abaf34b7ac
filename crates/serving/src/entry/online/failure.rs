//! Failure of a request, and the response that it becomes.

use yuccaseam_base::{
    Millis,
    Verdict, //
};

use crate::admission::retry_after;

use super::super::response::{
    HttpResponse,
    error_response,
    refusal, //
};

/// Failure of a request that got no usable response from a target.
#[derive(Clone, Copy, Debug)]
pub(in super::super) struct RequestFailure {
    pub(super) verdict: Verdict,
    pub(super) timed_out: bool,
    pub(super) reason: &'static str,
    /// When the caller may try again, if the reason decides it.
    pub(super) retry_after: Option<Millis>,
}

impl RequestFailure {
    /// Stable name for logs and metrics.
    pub(in super::super) fn reason(self) -> &'static str {
        self.reason
    }

    pub(super) fn into_response(self) -> HttpResponse {
        if self.verdict == Verdict::NotRun && !self.timed_out {
            let delay = self.retry_after;
            let delay = delay.unwrap_or_else(|| retry_after(rand::random()));
            return refusal(self.reason, delay);
        }
        error_response(self.verdict, self.timed_out, self.reason)
    }
}
