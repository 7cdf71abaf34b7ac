//! Listening for HTTP connections, and closing them at a planned stop.

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
use hyper_util::rt::{
    TokioIo,
    TokioTimer, //
};
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
    answer::Answer,
    head_timeout::{
        HeadState,
        HeadTimeout, //
    },
};

/// Limits of connections on which no manifest says others: those of the platform's operators.
pub(super) const DEFAULT_LIMITS: ConnectionLimits = ConnectionLimits {
    idle: Millis(15_000),
    head: Millis(3_000),
    head_bytes: 16_384,
};
/// The least buffer that the HTTP library reads heads into, in bytes.
const LEAST_BUFFER: usize = 8_192;
/// The pause after an error of accepting, such as too many open files.
const ACCEPT_PAUSE: Millis = Millis(20);

/// What a client may do on a connection.
#[derive(Clone, Copy, Debug)]
pub(super) struct ConnectionLimits {
    /// How long the connection may be idle.
    pub(super) idle: Millis,
    /// How long the head of a request may take.
    pub(super) head: Millis,
    /// The largest head of a request, in bytes.
    pub(super) head_bytes: usize,
}

impl From<&ClientLimits> for ConnectionLimits {
    fn from(limits: &ClientLimits) -> Self {
        Self {
            idle: limits.idle_timeout,
            head: limits.header_timeout,
            head_bytes: limits.header_bytes,
        }
    }
}

/// The connections of this process, which a planned stop closes.
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

    /// Takes no new connections, and closes those that are open once what they carry has ended.
    pub(crate) fn close(&self) {
        self.closing.send_replace(true);
    }

    /// Connections that are still open.
    pub(crate) fn open(&self) -> usize {
        self.open.load(Ordering::Relaxed)
    }
}

/// Serves connections at an address for the life of the process. `limits` says what holds on a new one.
///
/// # Errors
///
/// Fails if the address cannot be listened on.
pub(super) async fn listen<L, H, F>(
    address: SocketAddr,
    connections: &Arc<Connections>,
    limits: L,
    handler: H,
) -> anyhow::Result<()>
where
    L: Fn() -> ConnectionLimits + Send + 'static,
    H: Fn(Request<Incoming>) -> F + Send + Sync + 'static,
    F: Future<Output = Answer> + Send + 'static,
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
                // What came now could only be cut off.
                () = closed(&mut closing) => return,
            };
            match accepted {
                Ok((stream, _)) => {
                    let (connections, handler) = (Arc::clone(&connections), Arc::clone(&handler));
                    tokio::spawn(serve(stream, connections, limits(), handler));
                }
                Err(error) => {
                    log::warn!(error:% = error; "cannot accept a connection");
                    pause(ACCEPT_PAUSE).await;
                }
            }
        }
    });
    Ok(())
}

async fn serve<H, F>(
    stream: TcpStream,
    connections: Arc<Connections>,
    limits: ConnectionLimits,
    handler: Arc<H>,
) where
    H: Fn(Request<Incoming>) -> F + Send + Sync + 'static,
    F: Future<Output = Answer> + Send + 'static,
{
    connections.open.fetch_add(1, Ordering::Relaxed);
    // Without it small writes only wait longer.
    let _ = stream.set_nodelay(true);
    let state = HeadState::default();
    let service = service_fn(|req| {
        state.begin();
        let state = state.clone();
        let answer = handler(req);
        async move {
            let answer = answer.await;
            state.end();
            Ok::<_, std::convert::Infallible>(answer)
        }
    });
    let stream = HeadTimeout::new(stream, state.clone(), limits.head);
    let conn = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.idle.duration())
        .max_buf_size(limits.head_bytes.max(LEAST_BUFFER))
        .serve_connection(TokioIo::new(stream), service);
    tokio::pin!(conn);
    let mut closing = connections.closing.subscribe();
    tokio::select! {
        // A client that breaks its connection is no event for an operator.
        ended = conn.as_mut() => drop(ended),
        () = closed(&mut closing) => {
            conn.as_mut().graceful_shutdown();
            drop(conn.await);
        }
    }
    connections.open.fetch_sub(1, Ordering::Relaxed);
}

async fn closed(closing: &mut watch::Receiver<bool>) {
    if closing.wait_for(|closing| *closing).await.is_err() {
        // The sender lives as long as the process.
        std::future::pending().await
    }
}
