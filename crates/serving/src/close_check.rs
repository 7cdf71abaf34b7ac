//! A connection to a target that tells an early close from the end of a response.
//!
//! A response without a length ends with its connection. A target that closes the connection before it has read
//! the request sends the same end first, and then a reset. What it has sent is no complete response.

use std::{
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
        Sleep,
        sleep, //
    },
};
use yuccaseam_base::Millis;

/// How long a reset may come after the end of the stream. Both are sent at once.
const RESET_DELAY: Millis = Millis(2);

/// Whether a connection is in use by a call.
#[derive(Clone, Debug, Default)]
pub(crate) struct InUse(Arc<AtomicBool>);

impl InUse {
    pub(crate) fn set(&self, in_use: bool) {
        self.0.store(in_use, Ordering::Relaxed);
    }

    fn get(&self) -> bool {
        self.0.load(Ordering::Relaxed)
    }
}

/// TCP stream whose end during a call is an error if the peer has not taken all that was written.
pub(crate) struct CloseCheck {
    stream: TcpStream,
    in_use: InUse,
    /// Whether the last write was not accepted as a whole.
    has_unwritten: bool,
    /// Runs from the end of the stream until a reset would have come.
    reset_timer: Option<Pin<Box<Sleep>>>,
}

impl CloseCheck {
    pub(crate) fn new(stream: TcpStream, in_use: InUse) -> Self {
        Self {
            stream,
            in_use,
            has_unwritten: false,
            reset_timer: None,
        }
    }

    /// Decides on the end of the stream.
    fn poll_end(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        if !self.in_use.get() {
            return Poll::Ready(Ok(()));
        }
        if self.has_unwritten {
            return Poll::Ready(Err(io::ErrorKind::ConnectionReset.into()));
        }
        let timer = self
            .reset_timer
            .get_or_insert_with(|| Box::pin(sleep(RESET_DELAY.duration())));
        ready!(timer.as_mut().poll(cx));
        Poll::Ready(self.stream.take_error()?.map_or(Ok(()), Err))
    }

    fn record_write(&mut self, written: &Poll<io::Result<usize>>, len: usize) {
        self.has_unwritten = !matches!(written, Poll::Ready(Ok(written)) if *written == len);
    }
}

impl AsyncRead for CloseCheck {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.reset_timer.is_some() {
            return self.poll_end(cx);
        }
        let before = buf.filled().len();
        let has_room = buf.remaining() > 0;
        ready!(Pin::new(&mut self.stream).poll_read(cx, buf))?;
        if has_room && buf.filled().len() == before {
            return self.poll_end(cx);
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for CloseCheck {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.record_write(&written, buf.len());
        written
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
        let written = Pin::new(&mut self.stream).poll_write_vectored(cx, bufs);
        let len = bufs.iter().map(|buf| buf.len()).sum();
        self.record_write(&written, len);
        written
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
