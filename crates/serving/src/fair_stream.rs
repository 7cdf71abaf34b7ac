//! A connection that cannot keep the process from its other work.
//!
//! All tasks share one thread. A peer that sends without a pause can keep its task busy for seconds: a
//! decoder that finds nothing to deliver, as in a chunk size without end, reads on at once.

use std::{
    future::Future as _,
    io,
    pin::{
        Pin,
        pin, //
    },
    task::{
        Context,
        Poll, //
    },
};

use tokio::{
    io::{
        AsyncRead,
        AsyncReadExt as _,
        AsyncWrite,
        ReadBuf, //
    },
    task::yield_now,
};

/// Bytes that are read before other tasks run.
const MAX_BYTES_PER_TURN: usize = 8 * 1024;

/// Wraps a connection, and lets other tasks run after each [`MAX_BYTES_PER_TURN`] bytes read.
pub(crate) struct FairStream<S> {
    stream: S,
    /// Bytes read since other tasks could run.
    bytes: usize,
}

impl<S> FairStream<S> {
    pub(crate) fn new(stream: S) -> Self {
        Self { stream, bytes: 0 }
    }
}

impl<S> AsyncRead for FairStream<S>
where
    S: AsyncRead + Unpin,
{
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.bytes >= MAX_BYTES_PER_TURN {
            self.bytes = 0;
            // A task that wakes itself runs many times before the runtime looks for new connections and
            // data. One that yields runs afterwards.
            if pin!(yield_now()).poll(cx).is_pending() {
                return Poll::Pending;
            }
        }
        let before = buf.filled().len();
        let rest = MAX_BYTES_PER_TURN - self.bytes;
        let mut turn = (&mut self.stream).take(rest as u64);
        let result = Pin::new(&mut turn).poll_read(cx, buf);
        match result {
            Poll::Ready(_) => self.bytes += buf.filled().len() - before,
            Poll::Pending => self.bytes = 0,
        }
        result
    }
}

impl<S> AsyncWrite for FairStream<S>
where
    S: AsyncWrite + Unpin,
{
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
