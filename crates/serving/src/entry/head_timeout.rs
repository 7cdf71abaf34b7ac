//! Time-outs for reading the head of a request.
//!
//! The HTTP library uses one time-out for idle connections and for partially received heads, which
//! operators configure separately, and keeps the value that the connection began with. This wrapper runs
//! one timer while the connection is idle and another one from the first byte of a head, and ends reads when
//! they expire. No timer runs while a request is handled or answered.
//!
//! Each time-out is the longest one in force since the connection was opened. A client that does not know
//! of a shorter one yet may send a request on an idle connection just as it is closed.

use std::{
    future::Future,
    io,
    pin::Pin,
    sync::{
        Arc,
        atomic::{
            AtomicBool,
            AtomicU64,
            Ordering, //
        },
    },
    task::{
        Context,
        Poll,
        ready, //
    },
};

use tokio::{
    io::{
        AsyncRead,
        AsyncWrite,
        ReadBuf, //
    },
    net::TcpStream,
    time::{
        Instant,
        Sleep,
        sleep_until, //
    },
};
use yuccaseam_base::Millis;

use crate::{
    fair_stream::FairStream,
    intake::MAX_PAUSE, //
};

use super::{
    http_server::{
        ConnectionLimits,
        OpenConnection, //
    },
    unread::{
        UNREAD_TIMEOUT,
        Unread, //
    },
};

/// Tracks whether a connection is processing a request or between two requests.
#[derive(Clone)]
pub(super) struct HeadState {
    connection: Arc<OpenConnection>,
    /// Whether a head has been read whose response is not complete.
    in_request: Arc<AtomicBool>,
    /// Number of heads that have been read.
    requests: Arc<AtomicU64>,
}

impl HeadState {
    pub(super) fn new(connection: Arc<OpenConnection>) -> Self {
        Self {
            connection,
            in_request: Arc::default(),
            requests: Arc::default(),
        }
    }

    /// Records that the head of a request has been read.
    pub(super) fn request_started(&self) {
        self.requests.fetch_add(1, Ordering::Relaxed);
        self.in_request.store(true, Ordering::Relaxed);
        self.connection.request_started();
    }

    /// Records that the whole response has been passed to the HTTP library: the next bytes begin a head.
    pub(super) fn response_ended(&self) {
        self.in_request.store(false, Ordering::Relaxed);
        self.connection.response_ended();
    }

    fn is_in_request(&self) -> bool {
        self.in_request.load(Ordering::Relaxed)
    }

    fn requests(&self) -> u64 {
        self.requests.load(Ordering::Relaxed)
    }
}

/// What a connection waits for between two requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Awaited {
    /// The first byte of a head.
    FirstByte,
    /// The rest of a head.
    RestOfHead,
}

/// TCP stream whose reads end if the connection is idle or the head of a request incomplete for too long.
pub(super) struct HeadTimeout<L> {
    stream: FairStream<TcpStream>,
    state: HeadState,
    limits_in_force: L,
    idle_timeout: Millis,
    head_timeout: Millis,
    /// What is awaited, and since when. `None` while a request is handled.
    awaited: Option<(Awaited, Instant)>,
    /// Number of heads that had been read when `awaited` was set.
    requests: u64,
    timer: Pin<Box<Sleep>>,
    unread: Unread,
}

impl<L> HeadTimeout<L>
where
    L: Fn() -> ConnectionLimits + Unpin,
{
    pub(super) fn new(stream: TcpStream, state: HeadState, limits_in_force: L) -> Self {
        let limits = limits_in_force();
        Self {
            stream: FairStream::new(stream),
            state,
            limits_in_force,
            idle_timeout: limits.idle_timeout,
            head_timeout: limits.head_timeout,
            awaited: None,
            requests: 0,
            timer: Box::pin(sleep_until(Instant::now())),
            unread: Unread::new(),
        }
    }

    /// The stream itself, to end it.
    pub(super) fn into_inner(self) -> FairStream<TcpStream> {
        self.stream
    }

    /// Updates what is awaited after requests have begun and ended.
    fn update_awaited(&mut self) {
        let requests = self.state.requests();
        // There may have been no read since the head before, if bytes of the next one came with it.
        let is_next_head = std::mem::replace(&mut self.requests, requests) != requests;
        if self.state.is_in_request() {
            self.awaited = None;
        } else if is_next_head || self.awaited.is_none() {
            self.awaited = Some((Awaited::FirstByte, Instant::now()));
        }
    }

    /// Waits until the connection has been idle, or a head incomplete, for too long.
    fn poll_expired(&mut self, cx: &mut Context<'_>) -> Poll<Awaited> {
        loop {
            let Some((awaited, since)) = self.awaited else {
                return Poll::Pending;
            };
            let limits = (self.limits_in_force)();
            self.idle_timeout = self.idle_timeout.max(limits.idle_timeout);
            self.head_timeout = self.head_timeout.max(limits.head_timeout);
            let limit = match awaited {
                Awaited::FirstByte => self.idle_timeout,
                Awaited::RestOfHead => self.head_timeout,
            };
            let until = since + limit.duration();
            if Instant::now() >= until {
                return Poll::Ready(awaited);
            }
            if self.timer.deadline() != until {
                self.timer.as_mut().reset(until);
            }
            // The limits may have been raised since the timer was set.
            ready!(self.timer.as_mut().poll(cx));
        }
    }
}

impl<L> AsyncRead for HeadTimeout<L>
where
    L: Fn() -> ConnectionLimits + Unpin,
{
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        self.update_awaited();
        let before = buf.filled().len();
        let read = Pin::new(&mut self.stream).poll_read(cx, buf);
        if read.is_ready() {
            let has_bytes = buf.filled().len() > before;
            if let Some((awaited @ Awaited::FirstByte, since)) = self.awaited.as_mut()
                && has_bytes
            {
                *awaited = Awaited::RestOfHead;
                *since = Instant::now();
            }
            return read;
        }
        match ready!(self.poll_expired(cx)) {
            // The end of the stream: an idle connection is closed without an error.
            Awaited::FirstByte => Poll::Ready(Ok(())),
            Awaited::RestOfHead => Poll::Ready(Err(io::ErrorKind::TimedOut.into())),
        }
    }
}

impl<L> HeadTimeout<L> {
    /// Passes on the result of a write, unless the client has not read for too long.
    fn track_written(
        &mut self,
        cx: &mut Context<'_>,
        written: Poll<io::Result<usize>>,
    ) -> Poll<io::Result<usize>> {
        match written {
            Poll::Ready(Ok(bytes)) => {
                self.unread.record_written(bytes);
                Poll::Ready(Ok(bytes))
            }
            Poll::Ready(Err(error)) => Poll::Ready(Err(error)),
            Poll::Pending => {
                let connection = &self.state.connection;
                let limit = || {
                    if connection.is_awaited() {
                        MAX_PAUSE
                    } else {
                        UNREAD_TIMEOUT
                    }
                };
                ready!(self.unread.poll_expired(cx, limit));
                metrics::counter!("yuccaseam_connections_closed_total", "reason" => "unread")
                    .increment(1);
                log::info!("connection closed: its client does not read");
                Poll::Ready(Err(io::ErrorKind::TimedOut.into()))
            }
        }
    }
}

impl<L> AsyncWrite for HeadTimeout<L>
where
    L: Fn() -> ConnectionLimits + Unpin,
{
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.track_written(cx, written)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        ready!(Pin::new(&mut self.stream).poll_flush(cx))?;
        // The HTTP library does not read after a response if a read during the request found nothing. The
        // timer then wakes it to read.
        self.update_awaited();
        if self.poll_expired(cx).is_ready() {
            cx.waker().wake_by_ref();
        }
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(cx, bufs);
        self.track_written(cx, written)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
