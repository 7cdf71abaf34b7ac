//! A connection on which the head of a request may take only so long.
//!
//! The HTTP library has one timeout for an idle connection and for a head that has begun; operators
//! set these apart. This wrapper notices the first byte of a head and lets reading fail once the rest
//! has not come in time.

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

/// Says when a connection is between two requests.
#[derive(Clone, Debug, Default)]
pub(super) struct HeadState {
    /// Whether the head of a request has been read and its answer has not ended.
    in_request: Arc<AtomicBool>,
}

impl HeadState {
    /// The head of a request has been read.
    pub(super) fn begin(&self) {
        self.in_request.store(true, Ordering::Relaxed);
    }

    /// The answer has been handed over: the next bytes begin a head.
    pub(super) fn end(&self) {
        self.in_request.store(false, Ordering::Relaxed);
    }
}

/// A stream whose reads fail if the head of a request takes too long.
pub(super) struct HeadTimeout {
    stream: TcpStream,
    state: HeadState,
    timeout: Millis,
    /// Runs while a head has begun and has not ended.
    timer: Option<Pin<Box<Sleep>>>,
}

impl HeadTimeout {
    pub(super) fn new(stream: TcpStream, state: HeadState, timeout: Millis) -> Self {
        Self {
            stream,
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
                let is_late = timer.is_some_and(|timer| timer.as_mut().poll(cx).is_ready());
                if is_late {
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
