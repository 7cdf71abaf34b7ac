//! Clients that run during the faults: callers, a batch client, and an operator reading the manifest.

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
    cluster::Cluster,
    ledger::{
        AllowedRuns,
        Ledger,
        Outcome, //
    },
    prompts::Prompt,
};

/// Number of events in each stream, as configured for the targets.
const STREAM_EVENTS: usize = 20;
/// How long a client waits for a response.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);
/// Pause of a caller between two requests.
const REQUEST_PAUSE: Duration = Duration::from_millis(40);
/// Number of items in each job.
const JOB_ITEMS: usize = 6;
/// Number of sound requests that share parts with tainted ones, sent after the faults.
const SOUND_REQUESTS: usize = 20;
/// How many of them must be served at the first attempt.
const MIN_SOUND_SERVED: usize = SOUND_REQUESTS / 2;
/// Time allowed after the faults for accepted jobs to complete.
const COMPLETION_TIMEOUT: Duration = Duration::from_secs(25);

/// Sends requests one after another until `stop` is set.
pub(crate) async fn send_requests(
    cluster: Arc<Cluster>,
    ledger: Arc<Ledger>,
    caller: usize,
    stop: Arc<AtomicBool>,
) {
    for number in 0_usize.. {
        if stop.load(Ordering::Relaxed) {
            return;
        }
        let (prefix, allowed) = match number % 3 {
            0 => (ONCE, AllowedRuns::Once),
            1 => (RESUMABLE, AllowedRuns::Unlimited),
            _ => (SAFE, AllowedRuns::Unlimited),
        };
        let has_prompt = caller.is_multiple_of(2);
        let prompt = has_prompt.then(|| Prompt::next(caller, number, cluster.deadly_parts()));
        let deadly = prompt.as_ref().and_then(Prompt::deadly);
        if deadly.is_some() {
            ledger.count_event("tainted requests");
        }
        // The id shows the part to the check of the targets' runs.
        let id = format!("{}-{caller}-{number}", deadly.unwrap_or("c"));
        let entry = caller + number;
        let path = format!("{prefix}{number}");
        let reply = send_request(&cluster, entry, &path, &id, prompt).await;
        let outcome = reply.map_or(Outcome::Unknown, |reply| {
            check_response(&ledger, &id, prefix, &reply)
        });
        ledger.record_outcome(&id, allowed, outcome);
        sleep(REQUEST_PAUSE).await;
    }
}

/// Checks that requests are served whose prompts have all parts of tainted ones but the deadly part.
pub(crate) async fn check_sound_prompts(cluster: &Cluster, ledger: &Ledger) {
    let mut served = 0;
    for number in 0..SOUND_REQUESTS {
        let prompt = Some(Prompt::sound(number, number));
        let id = format!("sound-{number}");
        let reply = send_request(cluster, number, &format!("{ONCE}{number}"), &id, prompt).await;
        served += usize::from(reply.is_some_and(|reply| reply.is_whole_success()));
        sleep(REQUEST_PAUSE).await;
    }
    if served < MIN_SOUND_SERVED {
        ledger.record_violation(format!(
            "{served} of {SOUND_REQUESTS} sound requests that share parts with tainted ones were served"
        ));
    }
}

async fn send_request(
    cluster: &Cluster,
    entry: usize,
    path: &str,
    id: &str,
    prompt: Option<Prompt>,
) -> Option<Reply> {
    let address = cluster.callers[entry % cluster.callers.len()];
    let prompt = prompt.map(|prompt| prompt.header());
    let mut headers = vec![("host", HOST), ("request-id", id), ("deadline-ms", "5000")];
    headers.extend(prompt.iter().map(|parts| ("prompt-prefix", parts.as_str())));
    let sent = send(
        address,
        Method::POST,
        path,
        &headers,
        "body",
        REQUEST_TIMEOUT,
    );
    sent.await.ok()
}

/// Checks a response and returns the outcome that it reports.
fn check_response(ledger: &Ledger, id: &str, prefix: &str, reply: &Reply) -> Outcome {
    match reply.status {
        200 if reply.complete => {
            let expected = if prefix == SAFE {
                format!("answer to {id}")
            } else {
                expected_events(id, STREAM_EVENTS)
            };
            if reply.body != expected {
                ledger.record_violation(format!(
                    "{id} got an unexpected response body: {:?}",
                    reply.body
                ));
            }
            if !reply.is_signed() {
                ledger.record_violation(format!("{id} got an unsigned success response"));
            }
            Outcome::Complete
        }
        200 => {
            if !expected_events(id, STREAM_EVENTS).starts_with(&reply.body) && prefix != SAFE {
                ledger.record_violation(format!("{id} got unexpected events: {:?}", reply.body));
            }
            Outcome::Unknown
        }
        429 | 503 => Outcome::NotRun,
        404 => {
            ledger.record_violation(format!(
                "{id} got 404 for a route that is in every manifest"
            ));
            Outcome::Unknown
        }
        _ => Outcome::Unknown,
    }
}

/// Submits jobs and reads their results until `stop` is set. Returns the accepted jobs.
pub(crate) async fn submit_jobs(
    cluster: Arc<Cluster>,
    ledger: Arc<Ledger>,
    stop: Arc<AtomicBool>,
) -> Vec<Job> {
    let mut jobs: Vec<Job> = Vec::new();
    for number in 0_usize.. {
        if stop.load(Ordering::Relaxed) {
            break;
        }
        let id = format!("j{number}");
        let entry = number % cluster.callers.len();
        let body = job_body(&id);
        let reply = send_job_request(
            &cluster,
            entry,
            Method::POST,
            &format!("{BATCH}{id}"),
            &id,
            &body,
        )
        .await;
        if reply.is_some_and(|reply| reply.status == 202) {
            ledger.count_event("jobs accepted");
            jobs.push(Job::new(id));
        }
        if let Some(job) = jobs.last_mut() {
            job.read(&cluster, &ledger, number).await;
        }
        sleep(Duration::from_millis(500)).await;
    }
    jobs
}

/// An accepted job.
pub(crate) struct Job {
    id: String,
    /// First result read at each position.
    seen: BTreeMap<usize, Value>,
}

impl Job {
    fn new(id: String) -> Self {
        let seen = BTreeMap::new();
        Self { id, seen }
    }

    /// Reads the job's results from the start. Returns whether all are available.
    async fn read(&mut self, cluster: &Cluster, ledger: &Ledger, entry: usize) -> bool {
        let path = format!("/lots/{}?after=0", self.id);
        let reply = send_job_request(cluster, entry, Method::GET, &path, "-", "").await;
        let Some(reply) = reply.filter(|reply| reply.complete) else {
            return false;
        };
        if reply.status == 404 {
            ledger.record_violation(format!(
                "job {} was accepted, but reading it gives 404",
                self.id
            ));
        }
        if reply.status != 200 {
            return false;
        }
        let Ok(page) = serde_json::from_str::<Value>(&reply.body) else {
            ledger.record_violation(format!("job {}: result page is not valid JSON", self.id));
            return false;
        };
        let results = page["results"].as_array().cloned().unwrap_or_default();
        for (position, result) in results.iter().enumerate() {
            let first_seen = self.seen.entry(position).or_insert_with(|| result.clone());
            if first_seen != result {
                ledger.record_violation(format!(
                    "job {}: result at position {position} changed",
                    self.id
                ));
            }
        }
        results.len() == JOB_ITEMS
    }

    fn check_results(&self, ledger: &Ledger) {
        for result in self.seen.values() {
            let id = result["id"].as_str().unwrap_or_default();
            if result["state"] != "completed" || result["text"] != expected_text(id, STREAM_EVENTS)
            {
                ledger.record_violation(format!("job {}: unexpected result {result}", self.id));
            }
        }
    }
}

/// Waits until every accepted job is complete, and checks the results.
pub(crate) async fn check_jobs(cluster: &Cluster, ledger: &Ledger, jobs: Vec<Job>) {
    let deadline = Instant::now() + COMPLETION_TIMEOUT;
    for mut job in jobs {
        let mut attempt = 0;
        while !job.read(cluster, ledger, attempt).await {
            if Instant::now() > deadline {
                ledger.record_violation(format!("job {} did not complete in time", job.id));
                break;
            }
            attempt += 1;
            sleep(Duration::from_millis(200)).await;
        }
        job.check_results(ledger);
    }
}

/// Polls the manifest version until `stop` is set, and checks that it is never older than a version
/// acknowledged before the read.
pub(crate) async fn read_manifest(
    cluster: Arc<Cluster>,
    ledger: Arc<Ledger>,
    stop: Arc<AtomicBool>,
) {
    for attempt in 0_usize.. {
        if stop.load(Ordering::Relaxed) {
            return;
        }
        let acknowledged = ledger.highest_acknowledged();
        let address = cluster.control[attempt % cluster.control.len()];
        if let Some(version) = PlatformSystem::read_version_at(address).await {
            ledger.count_event("manifest reads");
            if version < acknowledged {
                ledger.record_violation(format!(
                    "version {version} was read after {acknowledged} was acknowledged"
                ));
            }
        }
        sleep(Duration::from_millis(100)).await;
    }
}

async fn send_job_request(
    cluster: &Cluster,
    entry: usize,
    method: Method,
    path: &str,
    id: &str,
    body: &str,
) -> Option<Reply> {
    let address = cluster.callers[entry % cluster.callers.len()];
    let headers = [("host", HOST), ("request-id", id)];
    send(address, method, path, &headers, body, REQUEST_TIMEOUT)
        .await
        .ok()
}

fn job_body(id: &str) -> String {
    let items: Vec<_> = (0..JOB_ITEMS)
        .map(|index| {
            format!(
                r#"{{"id":"{id}-{index}","path":"{BATCH}{id}/{index}","body":"aGk=","tokens":10}}"#
            )
        })
        .collect();
    format!(r#"{{"items":[{}]}}"#, items.join(","))
}
