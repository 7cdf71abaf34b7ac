//! Requests to targets, over connections that are kept while they are idle.
//!
//! # Invariants
//!
//! - An error says whether the target may have run the request. It has not run before a byte of it
//!   was written.
//! - An answer whose id is not that of the request is no answer to it.
//! - A connection is used again only after a whole answer, and is closed when its call is dropped.

use std::{
    collections::HashMap,
    fmt,
    net::SocketAddr,
    sync::{
        Arc,
        Mutex, //
    },
};

use bytes::Bytes;
use http::{
    Request,
    response::Parts, //
};
use http_body_util::Full;
use hyper::{
    body::Incoming,
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

/// How long a connection to a target may take to open: several round trips between regions.
const CONNECT: Millis = Millis(250);
/// How long an idle connection is kept if the target does not say.
const KEPT: Millis = Millis(4_000);
/// How much earlier than the target's own timeout an idle connection is given up.
const KEPT_MARGIN: Millis = Millis(1_000);
/// Idle connections to one target.
const KEPT_MAX: usize = 8;

/// Why a call failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Failure {
    /// No connection could be opened.
    Unreachable,
    /// The connection broke before the head of an answer.
    Broken,
    /// The answer belongs to another request.
    WrongAnswer,
    /// No answer came in time.
    Silent,
}

impl Failure {
    /// A stable name for logs and counters.
    pub(crate) const fn code(self) -> &'static str {
        match self {
            Self::Unreachable => "unreachable",
            Self::Broken => "broken",
            Self::WrongAnswer => "wrong_answer",
            Self::Silent => "silent",
        }
    }
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.code())
    }
}

/// A call that failed.
#[derive(Debug)]
pub(crate) struct CallError {
    /// Whether the target may have run it.
    pub(crate) verdict: Verdict,
    pub(crate) failure: Failure,
}

impl CallError {
    fn not_run(failure: Failure) -> Self {
        let verdict = Verdict::NotRun;
        Self { verdict, failure }
    }

    pub(crate) fn may_have_run(failure: Failure) -> Self {
        let verdict = Verdict::MayHaveRun;
        Self { verdict, failure }
    }
}

struct Idle {
    sender: SendRequest<Full<Bytes>>,
    task: AbortHandle,
    until: Millis,
    since: Millis,
}

/// An answer whose head has arrived.
pub(crate) struct Call {
    pub(crate) head: Parts,
    pub(crate) body: Incoming,
    pub(crate) conn: Connection,
}

/// A connection that is in use. Dropping it closes it.
pub(crate) struct Connection {
    sender: Option<SendRequest<Full<Bytes>>>,
    task: AbortHandle,
    address: SocketAddr,
    upstream: Arc<Upstream>,
    kept: Millis,
}

impl Connection {
    /// Keeps the connection for another request. Call it after the whole answer was read.
    pub(crate) fn keep(mut self) {
        let Some(sender) = self.sender.take() else {
            return;
        };
        if self.kept == Millis::ZERO || sender.is_closed() {
            self.task.abort();
            return;
        }
        let now = self.upstream.clock.now();
        let idle = Idle {
            sender,
            task: self.task.clone(),
            until: now + self.kept,
            since: now,
        };
        self.upstream.put(self.address, idle);
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        if self.sender.is_some() {
            self.task.abort();
        }
    }
}

/// Connections to targets.
pub(crate) struct Upstream {
    clock: Clock,
    idle: Mutex<HashMap<SocketAddr, Vec<Idle>>>,
}

impl Upstream {
    pub(crate) fn new(clock: Clock) -> Self {
        let idle = Mutex::default();
        Self { clock, idle }
    }

    fn put(&self, address: SocketAddr, idle: Idle) {
        let now = self.clock.now();
        let mut all = self.idle.lock().expect("no thread panics with the lock");
        all.retain(|_, kept| {
            kept.retain(|one| {
                let keep = now < one.until && !one.sender.is_closed();
                if !keep {
                    one.task.abort();
                }
                keep
            });
            !kept.is_empty()
        });
        let kept = all.entry(address).or_default();
        if kept.len() < KEPT_MAX {
            kept.push(idle);
        } else {
            idle.task.abort();
        }
    }

    /// An idle connection that has not been idle for longer than `fresh`.
    fn take(&self, address: SocketAddr, fresh: Millis) -> Option<Idle> {
        let now = self.clock.now();
        let mut all = self.idle.lock().expect("no thread panics with the lock");
        let kept = all.get_mut(&address)?;
        while let Some(idle) = kept.pop() {
            if now < idle.until && now <= idle.since + fresh && idle.sender.is_ready() {
                return Some(idle);
            }
            idle.task.abort();
        }
        None
    }

    async fn connect(
        self: &Arc<Self>,
        address: SocketAddr,
        wait: Millis,
    ) -> Result<Connection, CallError> {
        let unreachable = || CallError::not_run(Failure::Unreachable);
        let stream = timeout(CONNECT.min(wait).duration(), TcpStream::connect(address)).await;
        let stream = stream
            .map_err(|_| unreachable())?
            .map_err(|_| unreachable())?;
        // Without it small writes only wait longer.
        let _ = stream.set_nodelay(true);
        let handshake = http1::handshake(TokioIo::new(stream)).await;
        let (sender, conn) = handshake.map_err(|_| unreachable())?;
        // Its end shows at the sender.
        let task = tokio::spawn(async move { drop(conn.await) });
        Ok(Connection {
            sender: Some(sender),
            task: task.abort_handle(),
            address,
            upstream: Arc::clone(self),
            kept: KEPT,
        })
    }

    /// Sends a request and waits for the head of its answer. A connection that has been idle for
    /// longer than `fresh` is not used again.
    ///
    /// # Errors
    ///
    /// Says whether the target may have run the request.
    pub(crate) async fn call(
        self: &Arc<Self>,
        address: SocketAddr,
        req: Request<Full<Bytes>>,
        fresh: Millis,
        wait: Millis,
    ) -> Result<Call, CallError> {
        let mut conn = match self.take(address, fresh) {
            Some(idle) => Connection {
                sender: Some(idle.sender),
                task: idle.task,
                address,
                upstream: Arc::clone(self),
                kept: KEPT,
            },
            None => self.connect(address, wait).await?,
        };
        let id = req.headers().get(headers::REQUEST_ID).cloned();
        let Some(sender) = conn.sender.as_mut() else {
            return Err(CallError::not_run(Failure::Unreachable));
        };
        let answer = match timeout(wait.duration(), sender.send_request(req)).await {
            Ok(Ok(answer)) => answer,
            Ok(Err(error)) if error.is_canceled() => {
                return Err(CallError::not_run(Failure::Broken));
            }
            Ok(Err(_)) => return Err(CallError::may_have_run(Failure::Broken)),
            Err(_) => return Err(CallError::may_have_run(Failure::Silent)),
        };
        let (head, body) = answer.into_parts();
        if id.is_some() && head.headers.get(headers::REQUEST_ID) != id.as_ref() {
            return Err(CallError::may_have_run(Failure::WrongAnswer));
        }
        conn.kept = if headers::closes_connection(&head.headers) {
            Millis::ZERO
        } else {
            let promised = headers::keep_alive(&head.headers);
            promised.map_or(KEPT, |span| span - KEPT_MARGIN)
        };
        Ok(Call { head, body, conn })
    }
}
