//! Targets that write an earlier refusal once more on a connection that is kept.

use std::{
    io::{
        self,
        Write as _, //
    },
    net::{
        SocketAddr,
        TcpListener,
        TcpStream, //
    },
    sync::{
        Arc,
        Mutex,
        MutexGuard, //
    },
    thread,
    time::{
        Duration,
        Instant, //
    },
};

use http::Method;
use tokio::runtime::Runtime;
use yuccaseam_base::cases;
use yuccaseam_testing::platform::{
    BATCH,
    ONCE,
    PlatformSystem,
    PlatformTarget,
    RESUMABLE,
    SAFE,
    expected_events,
    expected_text, //
};

use super::{
    PATIENCE,
    World,
    job,
    raw_target::{
        Answer,
        End,
        RawRun,
        with_raw_targets, //
    },
    read_request_id, //
};

/// Failure domains, each with one target.
const DOMAINS: [&str; 3] = ["a1", "a2", "b1"];
/// How long a copy is late, so that its connection is idle or in use again.
const COPY_DELAY: Duration = Duration::from_millis(3);
/// Time that a target works on a request.
const WORK: Duration = Duration::from_millis(5);
/// Runs of requests for each copy.
const COPY_INTERVAL: usize = 3;
const EVENTS: usize = 3;
const CALLS: usize = 120;
/// Statuses that promise that the request has not run.
const PROMISES: [u16; 4] = [408, 421, 429, 503];

/// When a target writes the copy.
#[derive(Clone, Copy, PartialEq, Eq)]
enum When {
    /// With the answer of the request before.
    WithAnswer,
    /// Some time after the answer of the request before.
    Idle,
    /// As a request arrives, before its answer.
    OnRequest,
    /// While it works on a request.
    AtWork,
}

/// How a target refuses.
#[derive(Clone, Copy)]
struct Refusal {
    status: &'static str,
    /// Whether the refusal names the request.
    has_id: bool,
}

impl Refusal {
    fn bytes(self, id: &str) -> String {
        let id = if self.has_id {
            format!("Request-Id: {id}\r\n")
        } else {
            String::new()
        };
        format!(
            "HTTP/1.1 {}\r\n{id}Not-Executed: 1\r\nContent-Length: 0\r\n\r\n",
            self.status
        )
    }
}

/// What all targets of a test share.
struct Shared {
    refusal: Refusal,
    when: When,
    /// Whether the copy is of a refusal of the same request, and of any earlier one otherwise.
    same_request: bool,
    refused: Mutex<Vec<String>>,
    runs: Mutex<Vec<String>>,
    /// Requests whose refusal was written once more.
    copies: Mutex<Vec<String>>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().expect("no thread panics with the lock")
}

impl Shared {
    fn runs_of(&self, id: &str) -> usize {
        let runs = lock(&self.runs);
        runs.iter().filter(|run| *run == id).count()
    }

    /// Whether the request is to be refused: once, if copies are of the same request.
    fn refuses(&self, id: &str) -> bool {
        let mut refused = lock(&self.refused);
        let is_new = !refused.iter().any(|refused| refused == id);
        let refuses = if self.same_request {
            is_new
        } else {
            id.starts_with("refused")
        };
        if refuses && is_new {
            refused.push(id.to_owned());
        }
        refuses
    }

    /// A copy of an earlier refusal, if it is time for one.
    fn copy(&self, when: When, id: &str) -> Option<String> {
        let refused = lock(&self.refused);
        let of = if self.same_request {
            refused.iter().find(|refused| *refused == id)
        } else {
            refused.last()
        };
        let is_due = self.same_request || lock(&self.runs).len().is_multiple_of(COPY_INTERVAL);
        let of = of.filter(|_| when == self.when && is_due)?;
        let mut copies = lock(&self.copies);
        // The next run of an item goes well.
        if self.same_request && copies.contains(of) {
            return None;
        }
        copies.push(of.clone());
        Some(self.refusal.bytes(of))
    }

    fn serve(&self, mut stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        while let Some(id) = read_request_id(&mut stream)? {
            if self.refuses(&id) {
                stream.write_all(self.refusal.bytes(&id).as_bytes())?;
                continue;
            }
            lock(&self.runs).push(id.clone());
            if let Some(copy) = self.copy(When::OnRequest, &id) {
                stream.write_all(copy.as_bytes())?;
            }
            thread::sleep(WORK);
            if let Some(copy) = self.copy(When::AtWork, &id) {
                stream.write_all(copy.as_bytes())?;
            }
            let body = expected_events(&id, EVENTS);
            let mut answer = format!(
                "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Signature: s\r\nContent-Length: {}\r\n\
                 \r\n{body}",
                body.len()
            );
            answer.extend(self.copy(When::WithAnswer, &id));
            stream.write_all(answer.as_bytes())?;
            if let Some(copy) = self.copy(When::Idle, &id) {
                thread::sleep(COPY_DELAY);
                stream.write_all(copy.as_bytes())?;
            }
        }
        Ok(())
    }
}

fn listen(shared: &Arc<Shared>) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind(("127.0.0.1", 0))?;
    let address = listener.local_addr()?;
    let shared = Arc::clone(shared);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let shared = Arc::clone(&shared);
            // The other side may close the connection at any time.
            thread::spawn(move || drop(shared.serve(stream)));
        }
    });
    Ok(address)
}

/// Runs a test against a system with three targets that repeat refusals.
fn with_targets<F, T>(shared: Shared, test: F)
where
    F: FnOnce(World, Arc<Shared>) -> T,
    T: Future<Output = ()>,
{
    let runtime = Runtime::new().expect("a runtime starts");
    runtime.block_on(async {
        let system = PlatformSystem::start(3, 3);
        let shared = Arc::new(shared);
        let mut targets = Vec::new();
        for domain in DOMAINS {
            let place = |_| Ok((listen(&shared)?, ()));
            let name = format!("odd-{domain}");
            let control = system.control();
            let target = PlatformTarget::start_behind(&name, "llm", domain, 8, control, place);
            let (target, ()) = target.await.expect("a target starts");
            targets.push(target);
        }
        assert!(system.put_manifest(1).await, "a manifest is accepted");
        let until = Instant::now() + PATIENCE;
        while !system.wait_until_serving().await {
            assert!(Instant::now() < until, "an entry does not serve");
        }
        test(World { system, targets }, shared).await;
    });
}

/// Guards against a promise of "not run" for a request that a target had run, and against a second run
/// of a request that may run once, because of a refusal of another request.
fn copy_of_an_earlier_refusal_ends_no_request(status: &'static str, has_id: bool, when: When) {
    let shared = Shared {
        refusal: Refusal { status, has_id },
        when,
        same_request: false,
        refused: Mutex::default(),
        runs: Mutex::default(),
        copies: Mutex::default(),
    };
    with_targets(shared, async |world, shared| {
        let mut whole = 0;
        for number in 0..CALLS {
            let path = [ONCE, SAFE, ONCE, RESUMABLE][number % 4];
            let kind = if number % 12 == 0 { "refused" } else { "call" };
            let id = format!("{kind}-{number}");
            let reply = world.system.call(0, &id, path).await;
            let reply = reply.expect("an answer comes");
            let runs = shared.runs_of(&id);
            if PROMISES.contains(&reply.status) {
                assert_eq!(runs, 0, "{id} ran, and was refused with {}", reply.status);
            }
            if path == ONCE {
                assert!(runs <= 1, "{id} ran {runs} times");
            }
            if reply.is_whole_success() {
                assert_eq!(reply.body, expected_events(&id, EVENTS));
                whole += 1;
            }
        }
        assert!(!lock(&shared.copies).is_empty(), "no refusal was repeated");
        assert!(whole > CALLS / 10, "only {whole} of {CALLS} calls answered");
    });
}

cases! { copy_of_an_earlier_refusal_ends_no_request:
    copy_of_503_with_the_answer_before("503 Service Unavailable", true, When::WithAnswer);
    copy_of_503_on_an_idle_connection("503 Service Unavailable", true, When::Idle);
    copy_of_503_as_a_request_arrives("503 Service Unavailable", true, When::OnRequest);
    copy_of_503_while_the_target_works("503 Service Unavailable", true, When::AtWork);
    copy_of_503_without_id_with_the_answer_before("503 Service Unavailable", false, When::WithAnswer);
    copy_of_503_without_id_on_an_idle_connection("503 Service Unavailable", false, When::Idle);
    copy_of_503_without_id_as_a_request_arrives("503 Service Unavailable", false, When::OnRequest);
    copy_of_503_without_id_while_the_target_works("503 Service Unavailable", false, When::AtWork);
    copy_of_421_on_an_idle_connection("421 Misdirected Request", true, When::Idle);
    copy_of_421_while_the_target_works("421 Misdirected Request", true, When::AtWork);
    copy_of_421_without_id_while_the_target_works("421 Misdirected Request", false, When::AtWork);
    copy_of_429_as_a_request_arrives("429 Too Many Requests", true, When::OnRequest);
}

/// Guards against lost or doubled output of batch items, whose id stays the same over runs: the refusal of
/// an item's first run is written once more when it runs again.
fn copy_of_the_refusal_of_an_item_changes_no_result(status: &'static str, when: When) {
    let shared = Shared {
        refusal: Refusal {
            status,
            has_id: true,
        },
        when,
        same_request: true,
        refused: Mutex::default(),
        runs: Mutex::default(),
        copies: Mutex::default(),
    };
    with_targets(shared, async |world, shared| {
        let id = "repeated";
        let items = 12;
        let body = job(id, items);
        let reply = world.batch(0, Method::POST, BATCH, id, &body).await;
        assert_eq!(reply.status, 202);
        let page = world.results(1, id, items).await;
        let results = page["results"].as_array().expect("a list of results");
        for item in 0..items {
            let id = format!("{id}-{item}");
            let mut found = results.iter().filter(|result| result["id"] == id.as_str());
            let result = found.next().expect("every item has a result");
            assert!(found.next().is_none(), "{id} is listed twice");
            assert_eq!(result["state"], "completed");
            assert_eq!(result["text"], expected_text(&id, EVENTS).as_str());
        }
        assert!(!lock(&shared.copies).is_empty(), "no refusal was repeated");
    });
}

cases! { copy_of_the_refusal_of_an_item_changes_no_result:
    copy_of_503_of_an_item_with_its_answer("503 Service Unavailable", When::WithAnswer);
    copy_of_503_of_an_item_on_an_idle_connection("503 Service Unavailable", When::Idle);
    copy_of_503_of_an_item_as_it_arrives("503 Service Unavailable", When::OnRequest);
    copy_of_503_of_an_item_while_the_target_works("503 Service Unavailable", When::AtWork);
    copy_of_421_of_an_item_while_the_target_works("421 Misdirected Request", When::AtWork);
    copy_of_421_of_an_item_on_an_idle_connection("421 Misdirected Request", When::Idle);
}

/// A whole answer that says that the request was not run, to requests of this test.
fn success_that_denies_its_run(run: &RawRun) -> Answer {
    let denial = if run.id.starts_with("denied") {
        "Not-Executed: 1\r\n"
    } else {
        ""
    };
    let body = expected_events(&run.id, EVENTS);
    let bytes = format!(
        "HTTP/1.1 200 OK\r\nRequest-Id: {}\r\nResponse-Signature: s\r\n{denial}Content-Length: {}\r\n\
         \r\n{body}",
        run.id,
        body.len()
    );
    Answer {
        bytes,
        end: End::Framed,
    }
}

/// Guards against a second run, and a promise of "not run", after a success that also says that the
/// request was not run.
#[test]
fn success_that_denies_its_run_may_have_run() {
    with_raw_targets(success_that_denies_its_run, async |raw| {
        for number in 0..4 {
            let id = format!("denied-{number}");
            let reply = raw.world.system.call(0, &id, ONCE).await;
            let reply = reply.expect("an answer comes");
            assert!(!PROMISES.contains(&reply.status), "{id}: {}", reply.status);
            assert_eq!(raw.runs_of(&id), 1, "{id}");
        }
    });
}
