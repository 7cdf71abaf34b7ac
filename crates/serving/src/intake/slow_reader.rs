//! Pauses in which a caller reads nothing of a stream, and its target is not read either.
//!
//! A target cuts off a response that remains unread for some seconds. That is no sign of a crash.

use yuccaseam_base::Millis;

/// Shortest pause that counts.
const MIN_PAUSE: Millis = Millis(500);
/// How long after a pause the end of a stream is put down to it: what the target had sent is read first.
const AFTERMATH: Millis = Millis(2_000);

/// When a caller read a stream.
#[derive(Debug, Default)]
pub struct SlowReader {
    /// When events were last passed on.
    passed_at: Option<Millis>,
    /// When the last pause ended.
    paused_until: Option<Millis>,
}

impl SlowReader {
    /// Records that events are passed on to the caller's connection.
    pub fn record_passed(&mut self, now: Millis) {
        self.passed_at = Some(now);
    }

    /// Records that the connection takes more. Returns whether it had paused.
    pub fn record_read(&mut self, now: Millis) -> bool {
        let has_paused = self.passed_at.is_some_and(|at| now >= at + MIN_PAUSE);
        if has_paused {
            self.paused_until = Some(now);
        }
        has_paused
    }

    /// Whether a target that ends the stream now may have done so because it was not read.
    pub fn may_have_been_cut_off(&self, now: Millis) -> bool {
        self.paused_until
            .is_some_and(|until| now < until + AFTERMATH)
    }
}
