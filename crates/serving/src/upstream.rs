//! HTTP client for targets, with a pool of idle connections.
//!
//! # Invariants
//!
//! - Each error states whether the target may have run the request. A request has not run if none of
//!   its bytes were written.
//! - A response whose request id differs from that of the request, or whose status is none, is an error.
//! - A response that ends with its connection is complete only if the connection was not reset and the request
//!   was written as a whole.
//! - A connection is reused only after a complete response that is no rejection, and is closed when its
//!   call is dropped.

use std::{
    collections::HashMap,
    fmt,
    net::SocketAddr,
    ops::RangeInclusive,
    sync::{
        Arc,
        Mutex, //
    },
};

use bytes::Bytes;
use http::{
    Request,
    StatusCode,
    header,
    response::Parts, //
};
use http_body_util::Full;
use hyper::{
    body::{
        Body as _,
        Incoming, //
    },
    client::conn::http1::{
        self,
        SendRequest, //
    },
};
use hyper_util::rt::TokioIo;
use tokio::{
    net::TcpStream,
    task::AbortHandle,
    time::timeout, //
};
use yuccaseam_base::{
    Clock,
    Millis,
    Verdict, //
};
use yuccaseam_platform::headers;

use crate::{
    close_check::{
        CloseCheck,
        InUse, //
    },
    fair_stream::FairStream,
};

/// Time-out for opening a connection to a target of the same region: many round trips. Another target
/// can be tried while the response can still be on time.
const REGION_CONNECT_TIMEOUT: Millis = Millis(70);
/// Time-out for opening a connection to a target of another region: several round trips.
const CONNECT_TIMEOUT: Millis = Millis(250);
/// How long a connection that is opened to find out whether a target runs must stay open: more than a
/// round trip between regions.
const PROBE_TIME: Millis = Millis(100);
/// How long an idle connection is kept if the target sends no keep-alive time-out.
const DEFAULT_KEEP_ALIVE: Millis = Millis(4_000);
/// How long before the target's own idle time-out a connection is closed.
const KEEP_ALIVE_MARGIN: Millis = Millis(1_000);
/// Largest number of idle connections kept to one target.
const MAX_IDLE_PER_TARGET: usize = 8;

/// Statuses of final responses. The HTTP library accepts three digits from 100 to 999, and takes a 101 for the
/// end of a response although nothing was upgraded.
const FINAL_STATUSES: RangeInclusive<u16> = 200..=599;

/// Largest read buffer of a connection, and so the largest head of a response, in bytes.
const READ_BUFFER_BYTES: usize = 64 * 1024;

/// Cause of a failed call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Failure {
    /// No connection could be opened.
    Unreachable,
    /// The connection broke before the response was complete.
    Broken,
    /// The response belongs to another request, has a status that is none, or is a success without a signature.
    InvalidResponse,
    /// No response, or no further part of it, arrived in time.
    TimedOut,
    /// The response was cut off while this instance did not read it, for want of room or because its caller
    /// did not read.
    Unread,
}

impl Failure {
    /// Stable name for logs and metrics.
    pub(crate) const fn code(self) -> &'static str {
        match self {
            Self::Unreachable => "unreachable",
            Self::Broken => "broken",
            Self::InvalidResponse => "wrong_answer",
            Self::TimedOut => "silent",
            Self::Unread => "unread",
        }
    }
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.code())
    }
}

/// Error of a call to a target.
#[derive(Debug)]
pub(crate) struct UpstreamError {
    /// Whether the target may have run the request.
    pub(crate) verdict: Verdict,
    pub(crate) failure: Failure,
}

impl UpstreamError {
    fn not_run(failure: Failure) -> Self {
        let verdict = Verdict::NotRun;
        Self { verdict, failure }
    }

    pub(crate) fn may_have_run(failure: Failure) -> Self {
        let verdict = Verdict::MayHaveRun;
        Self { verdict, failure }
    }

    /// Whether the target may have crashed while it had the request.
    pub(crate) fn is_possible_crash(&self) -> bool {
        self.failure == Failure::Broken && self.verdict == Verdict::MayHaveRun
    }
}

struct IdleConnection {
    sender: SendRequest<Full<Bytes>>,
    task: AbortHandle,
    in_use: InUse,
    expires_at: Millis,
    idle_since: Millis,
}

/// Limits of one call.
#[derive(Clone, Copy)]
pub(crate) struct CallLimits {
    /// Longest idle time of a connection that is reused.
    pub(crate) max_idle: Millis,
    /// Time-out for the head of the response.
    pub(crate) max_wait: Millis,
    /// Whether the target is in the region of this instance.
    pub(crate) same_region: bool,
}

impl CallLimits {
    fn connect_timeout(self) -> Millis {
        let timeout = if self.same_region {
            REGION_CONNECT_TIMEOUT
        } else {
            CONNECT_TIMEOUT
        };
        timeout.min(self.max_wait)
    }
}

/// Response whose head has arrived.
pub(crate) struct UpstreamResponse {
    pub(crate) head: Parts,
    pub(crate) body: Incoming,
    pub(crate) conn: Connection,
    /// Whether the request resumed a stream.
    pub(crate) is_resumed: bool,
}

impl UpstreamResponse {
    /// Whether the target reports that it has not run the request. A success that says so has run.
    pub(crate) fn is_rejection(&self) -> bool {
        let status = self.head.status;
        let denies_run = self.head.headers.contains_key(headers::NOT_RUN);
        status == StatusCode::MISDIRECTED_REQUEST || (denies_run && !status.is_success())
    }

    /// Whether the response is not contradictory: a success must have a signature, and a run.
    pub(crate) fn is_valid(&self) -> bool {
        let fields = &self.head.headers;
        let is_signed = fields.contains_key(headers::SIGNATURE);
        !self.head.status.is_success() || (is_signed && !fields.contains_key(headers::NOT_RUN))
    }

    /// Whether a stream that ends without an event was broken off: if only the end of the connection
    /// ends it, a target that stops early looks like one that has sent everything. A stream that is
    /// resumed after its last event has none.
    pub(crate) fn requires_events(&self) -> bool {
        let fields = &self.head.headers;
        let is_framed = fields.contains_key(header::CONTENT_LENGTH)
            || fields.contains_key(header::TRANSFER_ENCODING);
        !is_framed && !self.is_resumed && !self.body.is_end_stream()
    }
}

/// Connection in use by a call. Dropping it closes the connection.
pub(crate) struct Connection {
    sender: Option<SendRequest<Full<Bytes>>>,
    task: AbortHandle,
    in_use: InUse,
    address: SocketAddr,
    upstream: Arc<Upstream>,
    keep_alive: Millis,
}

impl Connection {
    /// Returns the connection to the pool. Call this only after the complete response was read.
    pub(crate) fn release(mut self) {
        let Some(sender) = self.sender.take() else {
            return;
        };
        if self.keep_alive == Millis::ZERO || sender.is_closed() {
            self.task.abort();
            return;
        }
        self.in_use.set(false);
        let now = self.upstream.clock.now();
        let idle = IdleConnection {
            sender,
            task: self.task.clone(),
            in_use: self.in_use.clone(),
            expires_at: now + self.keep_alive,
            idle_since: now,
        };
        self.upstream.put_idle(self.address, idle);
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        if self.sender.is_some() {
            self.task.abort();
        }
    }
}

/// HTTP client for targets, with a pool of idle connections.
pub(crate) struct Upstream {
    clock: Clock,
    idle: Mutex<HashMap<SocketAddr, Vec<IdleConnection>>>,
}

impl Upstream {
    pub(crate) fn new(clock: Clock) -> Self {
        let idle = Mutex::default();
        Self { clock, idle }
    }

    fn put_idle(&self, address: SocketAddr, idle: IdleConnection) {
        let now = self.clock.now();
        let mut pools = self.idle.lock().expect("no thread panics with the lock");
        pools.retain(|_, pool| {
            pool.retain(|idle| {
                let keep = now < idle.expires_at && !idle.sender.is_closed();
                if !keep {
                    idle.task.abort();
                }
                keep
            });
            !pool.is_empty()
        });
        let pool = pools.entry(address).or_default();
        if pool.len() < MAX_IDLE_PER_TARGET {
            pool.push(idle);
        } else {
            idle.task.abort();
        }
    }

    /// Takes an idle connection that has been idle for at most `max_idle`.
    fn take_idle(&self, address: SocketAddr, max_idle: Millis) -> Option<IdleConnection> {
        let now = self.clock.now();
        let mut pools = self.idle.lock().expect("no thread panics with the lock");
        let pool = pools.get_mut(&address)?;
        while let Some(idle) = pool.pop() {
            if now < idle.expires_at && now <= idle.idle_since + max_idle && idle.sender.is_ready()
            {
                return Some(idle);
            }
            idle.task.abort();
        }
        None
    }

    async fn connect(
        self: &Arc<Self>,
        address: SocketAddr,
        connect_timeout: Millis,
    ) -> Result<Connection, UpstreamError> {
        let unreachable = || UpstreamError::not_run(Failure::Unreachable);
        let stream = timeout(connect_timeout.duration(), TcpStream::connect(address)).await;
        let stream = stream
            .map_err(|_| unreachable())?
            .map_err(|_| unreachable())?;
        // If this fails, small writes are only slower.
        let _ = stream.set_nodelay(true);
        let in_use = InUse::default();
        let handshake = http1::Builder::new()
            .max_buf_size(READ_BUFFER_BYTES)
            .handshake(TokioIo::new(FairStream::new(CloseCheck::new(
                stream,
                in_use.clone(),
            ))))
            .await;
        let (sender, conn) = handshake.map_err(|_| unreachable())?;
        // `sender` reports the end of the connection.
        let task = tokio::spawn(async move { drop(conn.await) });
        Ok(Connection {
            sender: Some(sender),
            task: task.abort_handle(),
            in_use,
            address,
            upstream: Arc::clone(self),
            keep_alive: DEFAULT_KEEP_ALIVE,
        })
    }

    /// Whether a target accepts a new connection and keeps it open. Something in front of a target that is
    /// down may accept connections and close them.
    pub(crate) async fn accepts_connections(&self, address: SocketAddr) -> bool {
        let stream = timeout(CONNECT_TIMEOUT.duration(), TcpStream::connect(address)).await;
        let Ok(Ok(stream)) = stream else {
            return false;
        };
        // A target sends nothing on a connection without a request, so this ends only if it is closed.
        let closed = timeout(PROBE_TIME.duration(), stream.readable()).await;
        closed.is_err()
    }

    /// Sends a request and waits for the head of its response.
    ///
    /// # Errors
    ///
    /// Fails if the target is unreachable, does not respond in time, or sends a response to another
    /// request. The error states whether the target may have run the request.
    pub(crate) async fn call(
        self: &Arc<Self>,
        address: SocketAddr,
        req: Request<Full<Bytes>>,
        limits: CallLimits,
    ) -> Result<UpstreamResponse, UpstreamError> {
        let mut conn = match self.take_idle(address, limits.max_idle) {
            Some(idle) => Connection {
                sender: Some(idle.sender),
                task: idle.task,
                in_use: idle.in_use,
                address,
                upstream: Arc::clone(self),
                keep_alive: DEFAULT_KEEP_ALIVE,
            },
            None => self.connect(address, limits.connect_timeout()).await?,
        };
        conn.in_use.set(true);
        let id = req.headers().get(headers::REQUEST_ID).cloned();
        let is_resumed = req.headers().contains_key(headers::LAST_EVENT_ID);
        let Some(sender) = conn.sender.as_mut() else {
            return Err(UpstreamError::not_run(Failure::Unreachable));
        };
        let response = match timeout(limits.max_wait.duration(), sender.send_request(req)).await {
            Ok(Ok(response)) => response,
            Ok(Err(error)) if error.is_canceled() => {
                return Err(UpstreamError::not_run(Failure::Broken));
            }
            Ok(Err(_)) => return Err(UpstreamError::may_have_run(Failure::Broken)),
            Err(_) => return Err(UpstreamError::may_have_run(Failure::TimedOut)),
        };
        let (head, body) = response.into_parts();
        let is_of_request = id.is_none() || head.headers.get(headers::REQUEST_ID) == id.as_ref();
        if !is_of_request || !FINAL_STATUSES.contains(&head.status.as_u16()) {
            return Err(UpstreamError::may_have_run(Failure::InvalidResponse));
        }
        conn.keep_alive = if headers::closes_connection(&head.headers) {
            Millis::ZERO
        } else {
            let advertised = headers::keep_alive_timeout(&head.headers);
            advertised.map_or(DEFAULT_KEEP_ALIVE, |advertised| {
                advertised - KEEP_ALIVE_MARGIN
            })
        };
        Ok(UpstreamResponse {
            head,
            body,
            conn,
            is_resumed,
        })
    }
}
