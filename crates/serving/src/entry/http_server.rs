//! HTTP server with graceful shutdown at a planned stop.

use std::{
    collections::HashMap,
    convert::Infallible,
    future::{
        Future,
        poll_fn, //
    },
    net::SocketAddr,
    sync::{
        Arc, Mutex, MutexGuard,
        atomic::{
            AtomicBool,
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
    io::{
        AsyncReadExt as _,
        AsyncWriteExt as _, //
    },
    net::{
        TcpListener,
        TcpStream, //
    },
    sync::{
        Notify,
        watch, //
    },
    time::timeout, //
};
use yuccaseam_base::Millis;
use yuccaseam_platform::ClientLimits;

use crate::{
    cx::Cx,
    fair_stream::FairStream,
    intake::{
        ConnectionId,
        ConnectionTable, //
    },
    link::pause, //
};

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
/// Pause between checks for room for a new connection.
const ADMIT_INTERVAL: Millis = Millis(100);
/// How long, and how many bytes of, what a client sends after the last response is read.
const LINGER_TIME: Millis = Millis(1_000);
const MAX_LINGER_BYTES: usize = 4 << 20;
const LINGER_BUFFER_BYTES: usize = 2_048;

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
    cx: Arc<Cx>,
    closing: watch::Sender<bool>,
    table: Mutex<ConnectionTable>,
    /// How to tell an idle connection that it is to be closed.
    close_one: Mutex<HashMap<ConnectionId, Arc<Notify>>>,
    /// Wakes a listener when a connection has ended.
    ended: Notify,
    /// Whether a new connection waits for one that has a request.
    is_short: AtomicBool,
}

impl Connections {
    pub(crate) fn new(cx: &Arc<Cx>) -> Self {
        Self {
            cx: Arc::clone(cx),
            closing: watch::Sender::new(false),
            table: Mutex::new(ConnectionTable::new(cx.intake.limits.connections)),
            close_one: Mutex::default(),
            ended: Notify::new(),
            is_short: AtomicBool::new(false),
        }
    }

    fn table(&self) -> MutexGuard<'_, ConnectionTable> {
        self.table.lock().expect("no thread panics with the lock")
    }

    fn close_one(&self) -> MutexGuard<'_, HashMap<ConnectionId, Arc<Notify>>> {
        let close_one = self.close_one.lock();
        close_one.expect("no thread panics with the lock")
    }

    /// Waits until there is room for a new connection. Idle ones are closed for it.
    async fn admit(self: &Arc<Self>) -> OpenConnection {
        loop {
            let ended = self.ended.notified();
            if let Some(id) = self.table().open(self.cx.clock.now()) {
                let close = Arc::new(Notify::new());
                self.close_one().insert(id, Arc::clone(&close));
                self.is_short.store(false, Ordering::Relaxed);
                let connections = Arc::clone(self);
                return OpenConnection {
                    connections,
                    id,
                    close,
                };
            }
            let selected = self.table().select_for_close();
            if let Some(id) = selected {
                metrics::counter!("yuccaseam_connections_closed_total", "reason" => "too_many")
                    .increment(1);
                log::debug!(open = self.open(); "idle connection closed for a new one");
                if let Some(close) = self.close_one().get(&id) {
                    close.notify_one();
                }
            } else {
                self.is_short.store(true, Ordering::Relaxed);
                self.cx.intake.bodies.evict_slow();
            }
            // On wake-up and on time-out alike, the loop checks again.
            let _ = timeout(ADMIT_INTERVAL.duration(), ended).await;
        }
    }

    /// Stops accepting connections, and closes each open one when its current request has ended.
    pub(crate) fn close(&self) {
        self.closing.send_replace(true);
    }

    /// Number of open connections.
    pub(crate) fn open(&self) -> usize {
        self.table().len()
    }
}

/// Connection that counts as open until it is dropped.
pub(super) struct OpenConnection {
    connections: Arc<Connections>,
    id: ConnectionId,
    close: Arc<Notify>,
}

impl OpenConnection {
    /// Records that the head of a request has been read.
    pub(super) fn request_started(&self) {
        self.connections.table().record_request(self.id);
    }

    /// Records that the whole response has been passed to the HTTP library.
    pub(super) fn response_ended(&self) {
        let now = self.connections.cx.clock.now();
        self.connections.table().record_idle(self.id, now);
    }

    /// Whether others wait for the room that unread answers take, or for a connection.
    pub(super) fn is_awaited(&self) -> bool {
        let connections = &self.connections;
        connections.is_short.load(Ordering::Relaxed) || connections.cx.intake.answers.is_short()
    }

    /// Ends when the connection is to be closed for another one.
    async fn selected_for_close(&self) {
        loop {
            self.close.notified().await;
            if self.connections.table().confirm_close(self.id) {
                return;
            }
        }
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.connections.table().close(self.id);
        self.connections.close_one().remove(&self.id);
        self.connections.ended.notify_waiters();
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
                    let connection = tokio::select! {
                        connection = connections.admit() => connection,
                        () = wait_for_close(&mut closing) => return,
                    };
                    let connection = Arc::new(connection);
                    tokio::spawn(serve(
                        stream,
                        connection,
                        limits.clone(),
                        Arc::clone(&handler),
                    ));
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
    connection: Arc<OpenConnection>,
    limits: L,
    handler: Arc<H>,
) where
    L: Fn() -> ConnectionLimits + Send + Unpin + 'static,
    H: Fn(Request<Incoming>) -> F + Send + Sync + 'static,
    F: Future<Output = HttpResponse> + Send + 'static,
{
    // If this fails, small writes are only slower.
    let _ = stream.set_nodelay(true);
    let state = HeadState::new(Arc::clone(&connection));
    let service = service_fn(|req| {
        let exchange = Exchange::new(&req, state.clone());
        let response = handler(req);
        Box::pin(async move { Ok::<_, Infallible>(exchange.respond(response.await)) })
    });
    let max_head_bytes = limits().max_head_bytes;
    let stream = HeadTimeout::new(stream, state.clone(), limits);
    let mut conn = http1::Builder::new()
        // `HeadTimeout` runs the timers.
        .header_read_timeout(None)
        .max_buf_size(max_head_bytes.max(MIN_READ_BUFFER_BYTES))
        .serve_connection(TokioIo::new(stream), service);
    let mut closing = connection.connections.closing.subscribe();
    // Results are not logged: clients may close connections at any time.
    let result = tokio::select! {
        result = poll_fn(|cx| conn.poll_without_shutdown(cx)) => result,
        () = connection.selected_for_close() => return,
        () = wait_for_close(&mut closing) => {
            Pin::new(&mut conn).graceful_shutdown();
            poll_fn(|cx| conn.poll_without_shutdown(cx)).await
        }
    };
    if result.is_ok() {
        let stream = conn.into_parts().io.into_inner();
        let lingering = timeout(LINGER_TIME.duration(), linger(stream.into_inner()));
        tokio::select! {
            // The client gets the response or not: there is nothing left to do.
            _ = lingering => {}
            () = connection.selected_for_close() => {}
        }
    }
}

/// Ends a connection. What the client still sends is read for a while: if it were left unread, the client's
/// copy of the last response would be lost.
async fn linger(mut stream: FairStream<TcpStream>) {
    if stream.shutdown().await.is_err() {
        return;
    }
    let mut buf = [0; LINGER_BUFFER_BYTES];
    let mut bytes = 0;
    while bytes < MAX_LINGER_BYTES {
        match stream.read(&mut buf).await {
            Ok(0) | Err(_) => return,
            Ok(length) => bytes += length,
        }
    }
}

async fn wait_for_close(closing: &mut watch::Receiver<bool>) {
    if closing.wait_for(|closing| *closing).await.is_err() {
        // Never happens: the sender lives as long as the process.
        std::future::pending().await
    }
}
