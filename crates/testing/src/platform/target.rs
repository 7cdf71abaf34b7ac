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
            AtomicBool,
            AtomicU64,
            Ordering, //
        }, //
    },
    time::{
        Duration,
        Instant,
        SystemTime,
        UNIX_EPOCH, //
    },
};

use bytes::Bytes;
use futures_util::{
    stream, //
};
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
    sync::Notify,
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
/// Default time from a request that crashes a target to the crash.
const CRASH_DELAY: Duration = Duration::from_millis(20);
/// How long a target that crashed is down.
const DOWNTIME: Duration = Duration::from_millis(1_000);

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
    /// Says nothing for a while in each run.
    pub silence: Option<Silence>,
    /// Answers 500 to items whose path ends like this.
    pub poisoned: Option<&'static str>,
    /// Crashes as it begins to answer a request whose prompt has one of these parts before its last one,
    /// and starts again under another name.
    pub crashing_parts: &'static [&'static str],
    /// Crashes as it begins to answer a request with one of these bodies, likewise.
    pub crashing_bodies: &'static [&'static str],
    /// Events that it sends at once before it crashes.
    pub events_before_crash: usize,
    /// Time from a request that crashes it to the crash. Until then it sends further events, with its usual
    /// pause before each.
    pub crash_delay: Duration,
    /// Says in every answer that it leaves.
    pub leaving: bool,
    /// Least length of an answer that is no stream.
    pub answer_bytes: usize,
}

impl Default for Behaviour {
    fn default() -> Self {
        Self {
            events: 5,
            pause: Duration::from_millis(10),
            rejects: false,
            breaks_after: None,
            silence: None,
            poisoned: None,
            crashing_parts: &[],
            crashing_bodies: &[],
            events_before_crash: 0,
            crash_delay: CRASH_DELAY,
            leaving: false,
            answer_bytes: 0,
        }
    }
}

/// A pause of a sound target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Silence {
    /// What comes after it.
    pub before: SilenceBefore,
    /// How long it is.
    pub lasts: Duration,
}

/// What a silent target sends next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SilenceBefore {
    /// The head of its response.
    Head,
    /// The event with this number.
    Event(usize),
}

impl Behaviour {
    async fn pause_before(&self, next: SilenceBefore) {
        if let Some(silence) = self.silence.filter(|silence| silence.before == next) {
            tokio::time::sleep(silence.lasts).await;
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
    /// When it reached the target.
    pub at: Instant,
    /// The team that it was sent for.
    pub team: Option<String>,
    /// The credentials that came with it.
    pub credentials: Option<String>,
}

/// One crash of a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Crash {
    /// When the target went down.
    pub at: Instant,
    /// The part of a prompt, or the body, that caused it.
    pub cause: &'static str,
}

/// One start of a target.
#[derive(Clone)]
struct Incarnation {
    name: String,
    /// Time since the Unix epoch.
    started_at: Duration,
}

impl Incarnation {
    fn new(name: String) -> Self {
        let started_at = SystemTime::now().duration_since(UNIX_EPOCH);
        Self {
            name,
            started_at: started_at.unwrap_or_default(),
        }
    }
}

struct Shared {
    name: String,
    incarnation: Mutex<Incarnation>,
    crashes: Mutex<Vec<Crash>>,
    crash: Notify,
    is_down: AtomicBool,
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

    fn current_name(&self) -> String {
        lock(&self.incarnation).name.clone()
    }

    fn restart(&self) {
        let starts = lock(&self.crashes).len();
        *lock(&self.incarnation) = Incarnation::new(format!("{}-{starts}", self.name));
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
    serving: AbortHandle,
    announcing: AbortHandle,
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
            incarnation: Mutex::new(Incarnation::new(name.to_owned())),
            crashes: Mutex::default(),
            crash: Notify::new(),
            is_down: AtomicBool::new(false),
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
            serving: serving.abort_handle(),
            announcing: announcing.abort_handle(),
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

    /// Announces nothing from now on, but goes on to serve.
    pub fn stop_announcing(&self) {
        self.announcing.abort();
    }

    /// Every run so far.
    pub fn runs(&self) -> Vec<Run> {
        lock(&self.shared.runs).clone()
    }

    /// Every crash so far.
    pub fn crashes(&self) -> Vec<Crash> {
        lock(&self.shared.crashes).clone()
    }

    /// The requests that it works on now.
    pub fn running(&self) -> Vec<String> {
        lock(&self.shared.running).values().cloned().collect()
    }
}

impl Drop for PlatformTarget {
    fn drop(&mut self) {
        self.serving.abort();
        self.announcing.abort();
    }
}

async fn announce(shared: Arc<Shared>, place: String, control: Vec<SocketAddr>) {
    let mut turn = shared.name.len();
    for number in 1_u64.. {
        if shared.is_down.load(Ordering::Relaxed) {
            tokio::time::sleep(ANNOUNCE).await;
            continue;
        }
        let Incarnation { name, started_at } = lock(&shared.incarnation).clone();
        let path = format!("/Instances.Heartbeat/{name}");
        let born = started_at.as_millis();
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

async fn serve(mut listener: TcpListener, shared: Arc<Shared>) {
    loop {
        let Ok(address) = listener.local_addr() else {
            return;
        };
        tokio::select! {
            () = serve_until_crash(listener, &shared) => return,
            () = shared.crash.notified() => {}
        }
        tokio::time::sleep(DOWNTIME).await;
        let Ok(again) = TcpListener::bind(address).await else {
            return;
        };
        listener = again;
        shared.restart();
        shared.is_down.store(false, Ordering::Relaxed);
    }
}

/// Serves connections, which break when this future is dropped.
async fn serve_until_crash(listener: TcpListener, shared: &Arc<Shared>) {
    let mut connections = tokio::task::JoinSet::new();
    while let Ok((stream, _)) = listener.accept().await {
        let shared = Arc::clone(shared);
        connections.spawn(async move {
            let service = service_fn(move |req| {
                let shared = Arc::clone(&shared);
                async move { Ok::<_, Infallible>(answer_with_state(shared, req).await) }
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

/// Answers a request, and adds whether the target leaves.
async fn answer_with_state(shared: Arc<Shared>, req: Request<Incoming>) -> Response<Body> {
    let is_leaving = shared.behaviour().leaving;
    let mut answer = answer(shared, req).await;
    if is_leaving {
        let value = http::HeaderValue::from_static("1");
        answer.headers_mut().insert("server-leaving", value);
    }
    answer
}

async fn answer(shared: Arc<Shared>, req: Request<Incoming>) -> Response<Body> {
    let (head, body) = req.into_parts();
    let id = text(&head.headers, "request-id")
        .unwrap_or_default()
        .to_owned();
    let expected = text(&head.headers, "expect-instance");
    if expected.is_some_and(|expected| expected != shared.current_name()) {
        return not_run(StatusCode::MISDIRECTED_REQUEST, &id);
    }
    let behaviour = shared.behaviour();
    let is_full = lock(&shared.running).len() >= shared.slots + QUEUED;
    if behaviour.rejects || is_full {
        return not_run(StatusCode::SERVICE_UNAVAILABLE, &id);
    }
    let Ok(body) = body.collect().await else {
        return not_run(StatusCode::BAD_REQUEST, &id);
    };
    let body = body.to_bytes();
    let after = text(&head.headers, "last-event-id").and_then(|text| text.parse().ok());
    let run = Run {
        id: id.clone(),
        path: head.uri.path().to_owned(),
        after,
        time_left: text(&head.headers, "deadline-ms").and_then(|text| text.parse().ok()),
        at: Instant::now(),
        team: text(&head.headers, "tenant").map(str::to_owned),
        credentials: text(&head.headers, "authorization").map(str::to_owned),
    };
    let number = shared.next.fetch_add(1, Ordering::Relaxed);
    lock(&shared.runs).push(run);
    lock(&shared.running).insert(number, id.clone());
    let running = Running { shared, number };
    let mut crashing_parts = behaviour.crashing_parts.iter();
    if let Some(part) = crashing_parts.find(|part| has_shared_part(&head.headers, part)) {
        return crash(running, &id, part, after.unwrap_or(0), &behaviour);
    }
    let mut crashing_bodies = behaviour.crashing_bodies.iter();
    if let Some(deadly) = crashing_bodies.find(|deadly| body == deadly.as_bytes()) {
        return crash(running, &id, deadly, after.unwrap_or(0), &behaviour);
    }
    let path = head.uri.path();
    if behaviour.poisoned.is_some_and(|end| path.ends_with(end)) {
        return signed(plain(StatusCode::INTERNAL_SERVER_ERROR, "poisoned"), &id);
    }
    behaviour.pause_before(SilenceBefore::Head).await;
    if path.starts_with(SAFE) {
        tokio::time::sleep(behaviour.pause).await;
        let mut answer = format!("answer to {id}");
        let padding = behaviour.answer_bytes.saturating_sub(answer.len());
        answer.push_str(&" ".repeat(padding));
        return signed(plain(StatusCode::OK, &answer), &id);
    }
    signed(events(running, &id, after.unwrap_or(0), behaviour), &id)
}

/// Whether a part of the prompt before the last one has this id.
fn has_shared_part(headers: &HeaderMap, id: &str) -> bool {
    let prompt = text(headers, "prompt-prefix").unwrap_or_default();
    let shared = prompt.rsplit_once(',').map_or("", |(shared, _)| shared);
    let mut ids = shared.split(',').map(|part| part.split(':').next());
    ids.any(|part| part == Some(id))
}

/// Begins a response, and crashes after some of its events.
fn crash(
    running: Running,
    id: &str,
    cause: &'static str,
    after: usize,
    behaviour: &Behaviour,
) -> Response<Body> {
    let shared = Arc::clone(&running.shared);
    let delay = behaviour.crash_delay;
    tokio::spawn(async move {
        tokio::time::sleep(delay).await;
        drop(running);
        if !shared.is_down.swap(true, Ordering::Relaxed) {
            let at = Instant::now();
            lock(&shared.crashes).push(Crash { at, cause });
            shared.crash.notify_one();
        }
    });
    // With the default delay, a target that sends no events at once sends none.
    let sends_on = delay > CRASH_DELAY;
    let at_once = after + behaviour.events_before_crash;
    let (request_id, id, pause) = (id, id.to_owned(), behaviour.pause);
    let pieces = stream::unfold(after + 1, move |number| {
        let id = id.clone();
        async move {
            if number > at_once {
                if !sends_on {
                    std::future::pending::<()>().await;
                }
                tokio::time::sleep(pause).await;
            }
            let piece = Frame::data(Bytes::from(event(&id, number)));
            Some((Ok::<_, io::Error>(piece), number + 1))
        }
    });
    signed(
        Response::new(StreamBody::new(pieces).boxed_unsync()),
        request_id,
    )
}

fn events(running: Running, id: &str, after: usize, behaviour: Behaviour) -> Response<Body> {
    let state = (running, id.to_owned(), after + 1);
    let broken_from = behaviour.breaks_after.map(|count| after + count + 1);
    let pieces = stream::unfold(Some(state), move |state| {
        let behaviour = behaviour.clone();
        async move {
            let (running, id, number) = state?;
            if number > behaviour.events {
                return None;
            }
            tokio::time::sleep(behaviour.pause).await;
            behaviour.pause_before(SilenceBefore::Event(number)).await;
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
