//! Time-out for reading the head of a request.
//!
//! The HTTP library uses one time-out for idle connections and for partially received heads, which
//! operators configure separately. This wrapper starts a timer at the first byte of a head and
//! fails reads if the rest does not arrive in time.

use std::{
    future::Future,
    io,
    pin::Pin,
    sync::{
        Arc,
        atomic::{
            AtomicBool,
            Ordering, //
        },
    },
    task::{
        Context,
        Poll, //
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
        Sleep,
        sleep, //
    },
};
use yuccaseam_base::Millis;

use crate::fair_stream::FairStream;

/// Tracks whether a connection is processing a request or between two requests.
#[derive(Clone, Debug, Default)]
pub(super) struct HeadState {
    /// Whether a head has been read whose response has not been passed to the HTTP library yet.
    in_request: Arc<AtomicBool>,
}

impl HeadState {
    /// Records that the head of a request has been read.
    pub(super) fn request_started(&self) {
        self.in_request.store(true, Ordering::Relaxed);
    }

    /// Records that the response has been passed to the HTTP library: the next bytes begin a head.
    pub(super) fn response_ready(&self) {
        self.in_request.store(false, Ordering::Relaxed);
    }
}

/// TCP stream whose reads fail if the head of a request takes too long.
pub(super) struct HeadTimeout {
    stream: FairStream<TcpStream>,
    state: HeadState,
    timeout: Millis,
    /// Set from the first byte of a head until the head has been read.
    timer: Option<Pin<Box<Sleep>>>,
}

impl HeadTimeout {
    pub(super) fn new(stream: TcpStream, state: HeadState, timeout: Millis) -> Self {
        Self {
            stream: FairStream::new(stream),
            state,
            timeout,
            timer: None,
        }
    }
}

impl AsyncRead for HeadTimeout {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let in_request = self.state.in_request.load(Ordering::Relaxed);
        if in_request {
            self.timer = None;
        }
        let before = buf.filled().len();
        let read = Pin::new(&mut self.stream).poll_read(cx, buf);
        match read {
            Poll::Ready(_) if !in_request && buf.filled().len() > before => {
                let timeout = self.timeout;
                self.timer
                    .get_or_insert_with(|| Box::pin(sleep(timeout.duration())));
                read
            }
            Poll::Pending => {
                let timer = self.timer.as_mut();
                let timed_out = timer.is_some_and(|timer| timer.as_mut().poll(cx).is_ready());
                if timed_out {
                    return Poll::Ready(Err(io::ErrorKind::TimedOut.into()));
                }
                Poll::Pending
            }
            Poll::Ready(_) => read,
        }
    }
}

impl AsyncWrite for HeadTimeout {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
