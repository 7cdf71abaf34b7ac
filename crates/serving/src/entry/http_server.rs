//! HTTP server with graceful shutdown at a planned stop.

use std::{
    future::Future,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{
            AtomicUsize,
            Ordering, //
        },
    },
};

use anyhow::Context as _;
use http::Request;
use hyper::{
    body::Incoming,
    server::conn::http1,
    service::service_fn, //
};
use hyper_util::rt::TokioIo;
use tokio::{
    net::{
        TcpListener,
        TcpStream, //
    },
    sync::watch, //
};
use yuccaseam_base::Millis;
use yuccaseam_platform::ClientLimits;

use crate::link::pause;

use super::{
    exchange::Exchange,
    head_timeout::{
        HeadState,
        HeadTimeout, //
    },
    response::HttpResponse,
};

/// Limits that apply where the manifest sets no others: the defaults of the platform's operators.
pub(super) const DEFAULT_LIMITS: ConnectionLimits = ConnectionLimits {
    idle_timeout: Millis(15_000),
    head_timeout: Millis(3_000),
    max_head_bytes: 16_384,
};
/// Smallest read buffer that the HTTP library accepts, in bytes.
const MIN_READ_BUFFER_BYTES: usize = 8_192;
/// Pause after a failed accept, for instance with too many open files.
const ACCEPT_BACKOFF: Millis = Millis(20);

/// Limits on one client connection.
#[derive(Clone, Copy, Debug)]
pub(super) struct ConnectionLimits {
    /// Time-out of an idle connection.
    pub(super) idle_timeout: Millis,
    /// Time-out from the first byte of a request head to its last.
    pub(super) head_timeout: Millis,
    /// Largest request head, in bytes.
    pub(super) max_head_bytes: usize,
}

impl From<&ClientLimits> for ConnectionLimits {
    fn from(limits: &ClientLimits) -> Self {
        Self {
            idle_timeout: limits.idle_timeout,
            head_timeout: limits.header_timeout,
            max_head_bytes: limits.header_bytes,
        }
    }
}

/// Tracks the open connections of this process and closes them at a planned stop.
pub(crate) struct Connections {
    closing: watch::Sender<bool>,
    open: AtomicUsize,
}

impl Connections {
    pub(crate) fn new() -> Self {
        Self {
            closing: watch::Sender::new(false),
            open: AtomicUsize::new(0),
        }
    }

    /// Stops accepting connections, and closes each open one when its current request has ended.
    pub(crate) fn close(&self) {
        self.closing.send_replace(true);
    }

    /// Number of open connections.
    pub(crate) fn open(&self) -> usize {
        self.open.load(Ordering::Relaxed)
    }
}

/// Accepts and serves connections at an address until [`Connections::close`]. `limits` returns the
/// limits in force.
///
/// # Errors
///
/// Fails if the address cannot be bound.
pub(super) async fn listen<L, H, F>(
    address: SocketAddr,
    connections: &Arc<Connections>,
    limits: L,
    handler: H,
) -> anyhow::Result<()>
where
    L: Fn() -> ConnectionLimits + Clone + Send + Unpin + 'static,
    H: Fn(Request<Incoming>) -> F + Send + Sync + 'static,
    F: Future<Output = HttpResponse> + Send + 'static,
{
    let listener = TcpListener::bind(address)
        .await
        .with_context(|| format!("cannot listen on {address}"))?;
    let connections = Arc::clone(connections);
    let handler = Arc::new(handler);
    tokio::spawn(async move {
        let mut closing = connections.closing.subscribe();
        loop {
            let accepted = tokio::select! {
                accepted = listener.accept() => accepted,
                // A connection accepted from now on could only be cut off.
                () = wait_for_close(&mut closing) => return,
            };
            match accepted {
                Ok((stream, _)) => {
                    let (connections, handler) = (Arc::clone(&connections), Arc::clone(&handler));
                    tokio::spawn(serve(stream, connections, limits.clone(), handler));
                }
                Err(error) => {
                    log::warn!(error:% = error; "cannot accept connection");
                    pause(ACCEPT_BACKOFF).await;
                }
            }
        }
    });
    Ok(())
}

async fn serve<L, H, F>(
    stream: TcpStream,
    connections: Arc<Connections>,
    limits: L,
    handler: Arc<H>,
) where
    L: Fn() -> ConnectionLimits + Send + Unpin + 'static,
    H: Fn(Request<Incoming>) -> F + Send + Sync + 'static,
    F: Future<Output = HttpResponse> + Send + 'static,
{
    connections.open.fetch_add(1, Ordering::Relaxed);
    // If this fails, small writes are only slower.
    let _ = stream.set_nodelay(true);
    let state = HeadState::default();
    let service = service_fn(|req| {
        let exchange = Exchange::new(&req, state.clone());
        let response = handler(req);
        async move { Ok::<_, std::convert::Infallible>(exchange.respond(response.await)) }
    });
    let max_head_bytes = limits().max_head_bytes;
    let stream = HeadTimeout::new(stream, state.clone(), limits);
    let conn = http1::Builder::new()
        // `HeadTimeout` runs the timers.
        .header_read_timeout(None)
        .max_buf_size(max_head_bytes.max(MIN_READ_BUFFER_BYTES))
        .serve_connection(TokioIo::new(stream), service);
    tokio::pin!(conn);
    let mut closing = connections.closing.subscribe();
    tokio::select! {
        // Not logged: clients may close connections at any time.
        result = conn.as_mut() => drop(result),
        () = wait_for_close(&mut closing) => {
            conn.as_mut().graceful_shutdown();
            drop(conn.await);
        }
    }
    connections.open.fetch_sub(1, Ordering::Relaxed);
}

async fn wait_for_close(closing: &mut watch::Receiver<bool>) {
    if closing.wait_for(|closing| *closing).await.is_err() {
        // Never happens: the sender lives as long as the process.
        std::future::pending().await
    }
}
