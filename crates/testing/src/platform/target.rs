//! A target that speaks the platform's protocol.

use std::{
    collections::HashMap,
    convert::Infallible,
    io,
    net::SocketAddr,
    sync::{
        Arc,
        Mutex,
        MutexGuard,
        atomic::{
            AtomicU64,
            Ordering, //
        }, //
    },
    time::{
        Duration,
        SystemTime,
        UNIX_EPOCH, //
    },
};

use bytes::Bytes;
use futures_util::stream;
use http::{
    HeaderMap,
    Method,
    Request,
    Response,
    StatusCode, //
};
use http_body_util::{
    BodyExt as _,
    Full,
    StreamBody,
    combinators::UnsyncBoxBody, //
};
use hyper::{
    body::{
        Frame,
        Incoming, //
    },
    server::conn::http1,
    service::service_fn, //
};
use hyper_util::rt::TokioIo;
use tokio::{
    net::TcpListener,
    task::AbortHandle, //
};

use super::{
    SAFE,
    caller::send,
    event, //
};

type Body = UnsyncBoxBody<Bytes, io::Error>;

/// How often a target announces itself.
const ANNOUNCE: Duration = Duration::from_millis(300);
/// How long an announcement may take.
const ANNOUNCED: Duration = Duration::from_secs(1);
/// Requests beyond its slots that a target takes.
const QUEUED: usize = 24;

/// What a target does with requests.
#[derive(Clone, Debug)]
pub struct Behaviour {
    /// Events of each stream.
    pub events: usize,
    /// Time between events.
    pub pause: Duration,
    /// Turns every request away as not run.
    pub rejects: bool,
    /// Breaks each stream after this many of its events.
    pub breaks_after: Option<usize>,
    /// Answers 500 to items whose path ends like this.
    pub poisoned: Option<&'static str>,
}

impl Default for Behaviour {
    fn default() -> Self {
        Self {
            events: 5,
            pause: Duration::from_millis(10),
            rejects: false,
            breaks_after: None,
            poisoned: None,
        }
    }
}

/// One run of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Run {
    /// The request.
    pub id: String,
    /// Its path.
    pub path: String,
    /// The event that it was asked to go on after.
    pub after: Option<usize>,
    /// The time that its sender gave it, in ms.
    pub time_left: Option<u64>,
}

struct Shared {
    name: String,
    slots: usize,
    behaviour: Mutex<Behaviour>,
    runs: Mutex<Vec<Run>>,
    running: Mutex<HashMap<u64, String>>,
    next: AtomicU64,
    state: Mutex<&'static str>,
}

impl Shared {
    fn behaviour(&self) -> Behaviour {
        lock(&self.behaviour).clone()
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().expect("no thread panics with the lock")
}

/// Counts a request as running while it lives.
struct Running {
    shared: Arc<Shared>,
    number: u64,
}

impl Drop for Running {
    fn drop(&mut self) {
        lock(&self.shared.running).remove(&self.number);
    }
}

/// A target that speaks the platform's protocol. It ends when it is dropped.
pub struct PlatformTarget {
    shared: Arc<Shared>,
    address: SocketAddr,
    tasks: Vec<AbortHandle>,
}

impl PlatformTarget {
    /// Starts a target of a service and announces it to instances in turn.
    ///
    /// # Errors
    ///
    /// Fails if no address can be had.
    pub async fn start(
        name: &str,
        service: &str,
        domain: &str,
        slots: usize,
        control: Vec<SocketAddr>,
    ) -> io::Result<Self> {
        let place = |address| Ok((address, ()));
        let (target, ()) = Self::start_behind(name, service, domain, slots, control, place).await?;
        Ok(target)
    }

    /// Starts a target that announces another address than its own, such as that of a proxy, which
    /// `place` makes.
    ///
    /// # Errors
    ///
    /// Fails if no address can be had.
    pub async fn start_behind<F, P>(
        name: &str,
        service: &str,
        domain: &str,
        slots: usize,
        control: Vec<SocketAddr>,
        place: F,
    ) -> io::Result<(Self, P)>
    where
        F: FnOnce(SocketAddr) -> io::Result<(SocketAddr, P)>,
    {
        let listener = TcpListener::bind(("127.0.0.1", 0)).await?;
        let address = listener.local_addr()?;
        let (announced, proxy) = place(address)?;
        let shared = Arc::new(Shared {
            name: name.to_owned(),
            slots,
            behaviour: Mutex::default(),
            runs: Mutex::default(),
            running: Mutex::default(),
            next: AtomicU64::new(0),
            state: Mutex::new("ready"),
        });
        let serving = tokio::spawn(serve(listener, Arc::clone(&shared)));
        let place = format!(r#""service":"{service}","address":"{announced}","zone":"{domain}""#);
        let announcing = tokio::spawn(announce(Arc::clone(&shared), place, control));
        let target = Self {
            shared,
            address,
            tasks: vec![serving.abort_handle(), announcing.abort_handle()],
        };
        Ok((target, proxy))
    }

    /// Where it takes requests.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Changes what it does with requests from now on.
    pub fn behave(&self, behaviour: Behaviour) {
        *lock(&self.shared.behaviour) = behaviour;
    }

    /// Announces from now on that it drains.
    pub fn drain(&self) {
        *lock(&self.shared.state) = "draining";
    }

    /// Every run so far.
    pub fn runs(&self) -> Vec<Run> {
        lock(&self.shared.runs).clone()
    }

    /// The requests that it works on now.
    pub fn running(&self) -> Vec<String> {
        lock(&self.shared.running).values().cloned().collect()
    }
}

impl Drop for PlatformTarget {
    fn drop(&mut self) {
        for task in &self.tasks {
            task.abort();
        }
    }
}

async fn announce(shared: Arc<Shared>, place: String, control: Vec<SocketAddr>) {
    let born = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
        .as_millis();
    let path = format!("/Instances.Heartbeat/{}", shared.name);
    let mut turn = shared.name.len();
    for number in 1_u64.. {
        let state = *lock(&shared.state);
        let body = format!(
            r#"{{{place},"version":"v1","slots":{},"state":"{state}","cold_remaining_ms":0,
                "sequence":{number},"born":{born}}}"#,
            shared.slots
        );
        for _ in 0..control.len() {
            let to = control[turn % control.len()];
            let headers = [("host", "control"), ("content-type", "application/json")];
            let sent = send(to, Method::POST, &path, &headers, &body, ANNOUNCED).await;
            if sent.is_ok_and(|reply| reply.status == 200) {
                break;
            }
            turn += 1;
        }
        tokio::time::sleep(ANNOUNCE).await;
    }
}

async fn serve(listener: TcpListener, shared: Arc<Shared>) {
    let mut connections = tokio::task::JoinSet::new();
    while let Ok((stream, _)) = listener.accept().await {
        let shared = Arc::clone(&shared);
        connections.spawn(async move {
            let service = service_fn(move |req| {
                let shared = Arc::clone(&shared);
                async move { Ok::<_, Infallible>(answer(shared, req).await) }
            });
            // A caller that breaks its connection is part of the tests.
            let conn = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
            drop(conn.await);
        });
    }
}

fn text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name).and_then(|value| value.to_str().ok())
}

fn plain(status: StatusCode, body: &str) -> Response<Body> {
    let body = Full::new(Bytes::from(body.to_owned()));
    let mut answer = Response::new(body.map_err(|never| match never {}).boxed_unsync());
    *answer.status_mut() = status;
    answer
}

fn not_run(status: StatusCode, id: &str) -> Response<Body> {
    let mut answer = plain(status, "");
    let headers = answer.headers_mut();
    headers.insert("not-executed", http::HeaderValue::from_static("1"));
    if let Ok(id) = id.parse() {
        headers.insert("request-id", id);
    }
    answer
}

fn signed(mut answer: Response<Body>, id: &str) -> Response<Body> {
    let headers = answer.headers_mut();
    headers.insert("response-signature", http::HeaderValue::from_static("s"));
    if let Ok(id) = id.parse() {
        headers.insert("request-id", id);
    }
    answer
}

async fn answer(shared: Arc<Shared>, req: Request<Incoming>) -> Response<Body> {
    let (head, body) = req.into_parts();
    let id = text(&head.headers, "request-id")
        .unwrap_or_default()
        .to_owned();
    let expected = text(&head.headers, "expect-instance");
    if expected.is_some_and(|expected| expected != shared.name) {
        return not_run(StatusCode::MISDIRECTED_REQUEST, &id);
    }
    let behaviour = shared.behaviour();
    let is_full = lock(&shared.running).len() >= shared.slots + QUEUED;
    if behaviour.rejects || is_full {
        return not_run(StatusCode::SERVICE_UNAVAILABLE, &id);
    }
    if body.collect().await.is_err() {
        return not_run(StatusCode::BAD_REQUEST, &id);
    }
    let after = text(&head.headers, "last-event-id").and_then(|text| text.parse().ok());
    let run = Run {
        id: id.clone(),
        path: head.uri.path().to_owned(),
        after,
        time_left: text(&head.headers, "deadline-ms").and_then(|text| text.parse().ok()),
    };
    let number = shared.next.fetch_add(1, Ordering::Relaxed);
    lock(&shared.runs).push(run);
    lock(&shared.running).insert(number, id.clone());
    let running = Running { shared, number };
    let path = head.uri.path();
    if behaviour.poisoned.is_some_and(|end| path.ends_with(end)) {
        return signed(plain(StatusCode::INTERNAL_SERVER_ERROR, "poisoned"), &id);
    }
    if path.starts_with(SAFE) {
        tokio::time::sleep(behaviour.pause).await;
        return signed(plain(StatusCode::OK, &format!("answer to {id}")), &id);
    }
    signed(events(running, &id, after.unwrap_or(0), behaviour), &id)
}

fn events(running: Running, id: &str, after: usize, behaviour: Behaviour) -> Response<Body> {
    let state = (running, id.to_owned(), after + 1);
    let broken_from = behaviour.breaks_after.map(|count| after + count + 1);
    let pieces = stream::unfold(Some(state), move |state| {
        let (events, pause) = (behaviour.events, behaviour.pause);
        async move {
            let (running, id, number) = state?;
            if number > events {
                return None;
            }
            tokio::time::sleep(pause).await;
            if broken_from == Some(number) {
                return Some((Err(io::Error::other("broken")), None));
            }
            let piece = Frame::data(Bytes::from(event(&id, number)));
            Some((Ok(piece), Some((running, id, number + 1))))
        }
    });
    let mut answer = Response::new(StreamBody::new(pieces).boxed_unsync());
    let kind = http::HeaderValue::from_static("text/event-stream");
    answer.headers_mut().insert("content-type", kind);
    answer
}
