//! Time-out for a client that does not read its response.
//!
//! A client may pause for [`UNREAD_TIMEOUT`], and must read at a rate far below that of any link. While
//! others need the room that unread answers take, a much shorter pause is allowed.

use std::{
    future::Future as _,
    pin::Pin,
    task::{
        Context,
        Poll,
        ready, //
    },
    time::Duration,
};

use tokio::time::{
    Instant,
    Sleep,
    sleep_until, //
};
use yuccaseam_base::Millis;

/// Longest time for which a response may remain unread. Targets cut off unread responses after some seconds.
pub(super) const UNREAD_TIMEOUT: Millis = Millis(5_000);
/// Least rate of a client that reads slowly, in bytes per ms.
const MIN_BYTES_PER_MS: u64 = 16;
/// Interval between checks.
const CHECK_INTERVAL: Millis = Millis(250);

/// How long a client has not read.
pub(super) struct Unread {
    /// Start of the pause, moved on by what was read. `None` if the client has read everything.
    since: Option<Instant>,
    timer: Option<Pin<Box<Sleep>>>,
}

impl Unread {
    pub(super) fn new() -> Self {
        Self {
            since: None,
            timer: None,
        }
    }

    /// Records bytes that the client's connection has taken.
    pub(super) fn record_written(&mut self, bytes: usize) {
        let Some(since) = self.since else {
            return;
        };
        let since = since + Duration::from_millis(bytes as u64 / MIN_BYTES_PER_MS);
        self.since = (since < Instant::now()).then_some(since);
    }

    /// Waits until the client has not read for longer than `limit` returns.
    pub(super) fn poll_expired<L>(&mut self, cx: &mut Context<'_>, limit: L) -> Poll<()>
    where
        L: Fn() -> Millis,
    {
        let since = *self.since.get_or_insert_with(Instant::now);
        loop {
            let now = Instant::now();
            if now >= since + limit().duration() {
                return Poll::Ready(());
            }
            let next = now + CHECK_INTERVAL.duration();
            let timer = self
                .timer
                .get_or_insert_with(|| Box::pin(sleep_until(next)));
            if timer.is_elapsed() {
                timer.as_mut().reset(next);
            }
            ready!(timer.as_mut().poll(cx));
        }
    }
}
