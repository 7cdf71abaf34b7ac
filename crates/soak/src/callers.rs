//! Callers, a batch client and an operator that reads the manifest, all while faults happen.

use std::{
    collections::BTreeMap,
    sync::{
        Arc,
        atomic::{
            AtomicBool,
            Ordering, //
        },
    },
    time::Duration,
};

use http::Method;
use serde_json::Value;
use tokio::time::{
    Instant,
    sleep, //
};
use yuccaseam_testing::platform::{
    BATCH,
    HOST,
    ONCE,
    PlatformSystem,
    RESUMABLE,
    Reply,
    SAFE,
    expected_events,
    expected_text,
    send, //
};

use crate::{
    ledger::{
        Allowed,
        Ledger,
        Told, //
    },
    world::World,
};

/// Events of each stream, as the targets of a run make them.
const EVENTS: usize = 20;
/// How long a caller waits.
const PATIENCE: Duration = Duration::from_secs(5);
/// The pause of a caller between two requests.
const PAUSE: Duration = Duration::from_millis(40);
/// Items of each job.
const ITEMS: usize = 6;
/// How long after the faults a job may take.
const FINISH: Duration = Duration::from_secs(25);

/// Sends one request after another until the run ends.
pub(crate) async fn call(
    world: Arc<World>,
    ledger: Arc<Ledger>,
    caller: usize,
    stop: Arc<AtomicBool>,
) {
    for number in 0_usize.. {
        if stop.load(Ordering::Relaxed) {
            return;
        }
        let (prefix, allowed) = match number % 3 {
            0 => (ONCE, Allowed::Once),
            1 => (RESUMABLE, Allowed::Often),
            _ => (SAFE, Allowed::Often),
        };
        let id = format!("c{caller}-{number}");
        let to = world.callers[(caller + number) % world.callers.len()];
        let headers = [
            ("host", HOST),
            ("request-id", id.as_str()),
            ("deadline-ms", "5000"),
        ];
        let path = format!("{prefix}{number}");
        let reply = send(to, Method::POST, &path, &headers, "body", PATIENCE).await;
        let told = match reply {
            Ok(reply) => check(&ledger, &id, prefix, &reply),
            Err(_) => Told::Unknown,
        };
        ledger.told(&id, allowed, told);
        sleep(PAUSE).await;
    }
}

/// Checks an answer and says what its caller was told.
fn check(ledger: &Ledger, id: &str, prefix: &str, reply: &Reply) -> Told {
    match reply.status {
        200 if reply.complete => {
            let expected = if prefix == SAFE {
                format!("answer to {id}")
            } else {
                expected_events(id, EVENTS)
            };
            if reply.body != expected {
                ledger.violation(format!("{id} got another answer: {:?}", reply.body));
            }
            if !reply.is_signed() {
                ledger.violation(format!("{id} got a success without a signature"));
            }
            Told::Whole
        }
        200 => {
            if !expected_events(id, EVENTS).starts_with(&reply.body) && prefix != SAFE {
                ledger.violation(format!(
                    "{id} got events that are not its own: {:?}",
                    reply.body
                ));
            }
            Told::Unknown
        }
        429 | 503 => Told::NotRun,
        404 => {
            ledger.violation(format!("{id} got 404 on a route that every manifest has"));
            Told::Unknown
        }
        _ => Told::Unknown,
    }
}

/// Hands jobs in, reads them while faults happen, and checks each after the faults have ended.
pub(crate) async fn submit(
    world: Arc<World>,
    ledger: Arc<Ledger>,
    stop: Arc<AtomicBool>,
) -> Vec<Job> {
    let mut jobs: Vec<Job> = Vec::new();
    for number in 0_usize.. {
        if stop.load(Ordering::Relaxed) {
            break;
        }
        let id = format!("j{number}");
        let to = number % world.callers.len();
        let body = job_body(&id);
        let reply = lot(
            &world,
            to,
            Method::POST,
            &format!("{BATCH}{id}"),
            &id,
            &body,
        )
        .await;
        if reply.is_some_and(|reply| reply.status == 202) {
            ledger.count("jobs accepted");
            jobs.push(Job::new(id));
        }
        if let Some(job) = jobs.last_mut() {
            job.read(&world, &ledger, number).await;
        }
        sleep(Duration::from_millis(500)).await;
    }
    jobs
}

/// A job that was accepted.
pub(crate) struct Job {
    id: String,
    /// What was read at each position.
    seen: BTreeMap<usize, Value>,
}

impl Job {
    fn new(id: String) -> Self {
        let seen = BTreeMap::new();
        Self { id, seen }
    }

    /// Reads the job from the start. True if all of it is there.
    async fn read(&mut self, world: &World, ledger: &Ledger, entry: usize) -> bool {
        let path = format!("/lots/{}?after=0", self.id);
        let reply = lot(world, entry, Method::GET, &path, "-", "").await;
        let Some(reply) = reply.filter(|reply| reply.complete) else {
            return false;
        };
        if reply.status == 404 {
            ledger.violation(format!("job {} was accepted and is not there", self.id));
        }
        if reply.status != 200 {
            return false;
        }
        let Ok(page) = serde_json::from_str::<Value>(&reply.body) else {
            ledger.violation(format!("job {}: a page is no JSON", self.id));
            return false;
        };
        let results = page["results"].as_array().cloned().unwrap_or_default();
        for (position, result) in results.iter().enumerate() {
            let before = self.seen.entry(position).or_insert_with(|| result.clone());
            if before != result {
                ledger.violation(format!("job {}: position {position} changed", self.id));
            }
        }
        results.len() == ITEMS
    }

    fn check_texts(&self, ledger: &Ledger) {
        for result in self.seen.values() {
            let id = result["id"].as_str().unwrap_or_default();
            if result["state"] != "completed" || result["text"] != expected_text(id, EVENTS) {
                ledger.violation(format!("job {}: wrong result {result}", self.id));
            }
        }
    }
}

/// Waits until every accepted job is whole, and checks its results.
pub(crate) async fn settle(world: &World, ledger: &Ledger, jobs: Vec<Job>) {
    let until = Instant::now() + FINISH;
    for mut job in jobs {
        let mut turn = 0;
        while !job.read(world, ledger, turn).await {
            if Instant::now() > until {
                ledger.violation(format!("job {} is not done", job.id));
                break;
            }
            turn += 1;
            sleep(Duration::from_millis(200)).await;
        }
        job.check_texts(ledger);
    }
}

/// Reads the manifest again and again: it is never older than what was acknowledged before.
pub(crate) async fn read_manifest(world: Arc<World>, ledger: Arc<Ledger>, stop: Arc<AtomicBool>) {
    for turn in 0_usize.. {
        if stop.load(Ordering::Relaxed) {
            return;
        }
        let floor = ledger.highest();
        let to = world.control[turn % world.control.len()];
        if let Some(version) = PlatformSystem::read_version_at(to).await {
            ledger.count("manifest reads");
            if version < floor {
                ledger.violation(format!(
                    "version {version} was read after {floor} was acknowledged"
                ));
            }
        }
        sleep(Duration::from_millis(100)).await;
    }
}

async fn lot(
    world: &World,
    entry: usize,
    method: Method,
    path: &str,
    id: &str,
    body: &str,
) -> Option<Reply> {
    let to = world.callers[entry % world.callers.len()];
    let headers = [("host", HOST), ("request-id", id)];
    send(to, method, path, &headers, body, PATIENCE).await.ok()
}

fn job_body(id: &str) -> String {
    let items: Vec<_> = (0..ITEMS)
        .map(|at| {
            format!(r#"{{"id":"{id}-{at}","path":"{BATCH}{id}/{at}","body":"aGk=","tokens":10}}"#)
        })
        .collect();
    format!(r#"{{"items":[{}]}}"#, items.join(","))
}
