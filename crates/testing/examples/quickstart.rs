//! The main job of the system on loopback: nine daemons, nine workers of a fake model engine and
//! three copies of a fake order desk, with online questions, an order and a batch job side by
//! side, while a worker and a daemon are killed.
//!
//! Ends with an error if a promise broke.

use std::{
    collections::HashMap,
    fs,
    process::ExitCode,
    thread,
    time::{
        Duration,
        Instant, //
    },
};

use serde_json::{
    Value,
    json, //
};
use yuccaseam_testing::{
    Caller,
    Cluster,
    Entry,
    Figures,
    Item,
    LoadPhase,
    Phase,
    Place,
    Schedule,
    answer,
    run_online,
    team_prompt, //
};

const MODEL: &str = "lagging-llm";

/// The places of the brief: three daemons and three workers in each.
const DOMAINS: [(&str, &str); 3] = [
    ("morava", "brno-a"),
    ("morava", "jihlava-b"),
    ("cechy", "praha-a"),
];

const PER_DOMAIN: usize = 3;

/// The daemon that acknowledges the job and is killed: a voter.
const KILLED_DAEMON: usize = 0;

/// The worker that is killed.
const KILLED_WORKER: &str = "lagging-llm-4";

/// The daemon through which the results are read: in another region.
const READER: usize = 8;

const ITEMS: usize = 2_000;

const ITEM_TOKENS: u32 = 32;

/// How long the job may take.
const JOB_BOUND: Duration = Duration::from_secs(90);

const POLL: Duration = Duration::from_millis(200);

/// Promises that were checked, and those that broke.
#[derive(Debug, Default)]
struct Promises {
    broken: usize,
}

impl Promises {
    fn check(&mut self, kept: bool, promise: &str) {
        let word = if kept { "kept  " } else { "BROKEN" };
        println!("  {word}  {promise}");
        if !kept {
            self.broken += 1;
        }
    }
}

fn main() -> ExitCode {
    let started = Instant::now();
    let mut cluster = start();
    println!(
        "9 daemons, 9 workers of {MODEL} and 3 copies of order-desk are ready after {:.1?}",
        started.elapsed()
    );
    let mut promises = Promises::default();
    ask(&cluster, &mut promises);
    order(&cluster, &mut promises);
    batch(&mut cluster, &mut promises);
    println!("finished after {:.1?}", started.elapsed());
    if promises.broken == 0 {
        println!("every promise was kept");
        return ExitCode::SUCCESS;
    }
    let dir = cluster.keep_dir();
    println!(
        "{} promises broke; logs: {}",
        promises.broken,
        dir.display()
    );
    ExitCode::FAILURE
}

fn start() -> Cluster {
    let mut places = Vec::new();
    for (region, domain) in DOMAINS {
        places.push(Place::new(region, domain).with_disk());
        places.extend(vec![Place::new(region, domain); PER_DOMAIN - 1]);
    }
    let mut cluster = Cluster::start(&places, &[]);
    for (index, (region, domain)) in DOMAINS.iter().enumerate() {
        let place = Place::new(region, domain);
        for worker in 0..PER_DOMAIN {
            let name = format!("{MODEL}-{}", index * PER_DOMAIN + worker + 1);
            cluster.start_engine(&name, &place, &["--slots", "8"]);
        }
        let name = format!("order-desk-{}", index + 1);
        cluster.start_service(&name, &place, &[]);
    }
    cluster.wait_until_ready();
    cluster
}

/// A foreman's question, answered as a stream.
fn ask(cluster: &Cluster, promises: &mut Promises) {
    println!("a streamed question through {}:", cluster.daemons[1].name);
    let prompt = "Which lagging suits a DN 150 heating pipe in an open trench at -12 C?";
    let body = json!({"model": MODEL, "prompt": prompt, "max_tokens": 40, "stream": true});
    let got = cluster.caller(1).stream("/v1/completions", &body);
    let Ok(got) = got else {
        return promises.check(false, "the question is answered");
    };
    let is_whole = got.done && got.text == answer(prompt, 0, 40);
    promises.check(is_whole, "the answer is whole and the caller's own");
    let first = got.first_token.unwrap_or_default();
    println!("  {} tokens, the first after {first:.1?}", got.tokens);
}

/// An order, sent again through another daemon as if its answer had been lost.
fn order(cluster: &Cluster, promises: &mut Promises) {
    println!(
        "an order through {}, and again through {}:",
        cluster.daemons[2].name, cluster.daemons[READER].name
    );
    let body = json!({"order": "pipe-run-17", "metres": 240});
    let send = |index| {
        let caller = cluster.caller(index);
        let caller = caller.with_header("Idempotency-Key", "foreman-7-order-17");
        caller.post("/services/order-desk/orders", &body)
    };
    let (Ok(first), Ok(second)) = (send(2), send(READER)) else {
        return promises.check(false, "the order is answered");
    };
    println!("  answer: {}", first.text.trim());
    promises.check(first.status == 200, "the order is accepted");
    promises.check(
        second.json() == first.json(),
        "the resend gets the first answer",
    );
    let runs = starts(&cluster.records(), "pipe-run-17");
    promises.check(runs == 1, "the order desks' records show one run");
}

/// A job of tender summaries beside online questions, while a worker and the daemon that accepted
/// the job are killed.
fn batch(cluster: &mut Cluster, promises: &mut Promises) {
    let items = items();
    let file = cluster.dir().join("tender-summaries.jsonl");
    let lines: Vec<_> = items.iter().map(Item::line).collect();
    fs::write(&file, lines.join("\n")).expect("the temporary folder can be written");
    println!(
        "a job of {ITEMS} items through {}:",
        cluster.daemons[KILLED_DAEMON].name
    );
    let entry = cluster.caller(KILLED_DAEMON);
    let created = Instant::now();
    let accepted = entry.create_job(MODEL, "tender-2026-12", &items);
    let Some(job) = accepted.ok().and_then(|answer| job_id(&answer.json())) else {
        return promises.check(false, "the job is accepted");
    };
    println!(
        "  job {job} is acknowledged after {:.1?}",
        created.elapsed()
    );
    let reader = cluster.caller(READER);
    let others = others(cluster);
    let online = thread::spawn(move || run_online(&questions(), &others, MODEL));
    wait_for_share(&reader, &job, created, 10);
    cluster
        .targets
        .get_mut(KILLED_WORKER)
        .expect("started")
        .process
        .kill();
    println!("  killed the worker {KILLED_WORKER}");
    wait_for_share(&reader, &job, created, 30);
    cluster.daemons[KILLED_DAEMON].kill();
    println!(
        "  killed the daemon {}",
        cluster.daemons[KILLED_DAEMON].name
    );
    let resent = cluster
        .caller(1)
        .create_job(MODEL, "tender-2026-12", &items);
    let resent = resent.ok().and_then(|answer| job_id(&answer.json()));
    promises.check(
        resent.as_ref() == Some(&job),
        "the job sent again is the same job",
    );
    let ended = wait_for_end(&reader, &job, created);
    promises.check(ended.is_some(), "the job completes");
    if let Some(time) = ended {
        let rate = ITEMS as f64 / time.as_secs_f64();
        println!("  completed after {time:.1?}: {rate:.0} items a second");
    }
    check_results(&reader, &job, &items, promises);
    let figures = online.join().expect("callers don't panic");
    check_online(&figures[0], promises);
}

fn items() -> Vec<Item> {
    let item = |number| Item {
        id: format!("tender-{number}"),
        prompt: team_prompt(2_000, number as u64),
        tokens: ITEM_TOKENS,
    };
    (0..ITEMS).map(item).collect()
}

/// Questions that arrive while the job runs.
fn questions() -> Schedule {
    let phases = vec![LoadPhase {
        name: "beside the job".to_owned(),
        length: Duration::from_secs(20),
        rate: 15.0,
    }];
    Schedule {
        seed: 17,
        phases,
        tokens: 40,
    }
}

/// Callers of every daemon but the one that is killed, as behind a balancer.
fn others(cluster: &Cluster) -> Vec<Caller> {
    let indexes = 0..cluster.daemons.len();
    let others = indexes.filter(|&index| index != KILLED_DAEMON);
    others.map(|index| cluster.caller(index)).collect()
}

fn check_results(reader: &Caller, job: &str, items: &[Item], promises: &mut Promises) {
    let results = reader.results(job).unwrap_or_default();
    println!("  {} results read through another daemon", results.len());
    let mut found: HashMap<&str, Vec<&Value>> = HashMap::new();
    for result in &results {
        let id = result["custom_id"].as_str().unwrap_or_default();
        found.entry(id).or_default().push(result);
    }
    let once = |item: &&Item| {
        found
            .get(item.id.as_str())
            .is_some_and(|all| all.len() == 1)
    };
    let read_once = items.iter().filter(once).count();
    promises.check(read_once == ITEMS, "each item has one result");
    let right = |item: &&Item| {
        let result = found.get(item.id.as_str()).and_then(|all| all.first());
        result.is_some_and(|result| item.is_answered_by(result))
    };
    let right = items.iter().filter(right).count();
    promises.check(right == ITEMS, "each result is whole and its own item's");
}

fn check_online(figures: &Figures, promises: &mut Promises) {
    let report = figures.report();
    let first = report.first_token_ms;
    let between = report.between_tokens_ms;
    println!("online questions beside the job:");
    println!("  outcomes: {:?}", report.outcomes);
    println!(
        "  first token: p50 {:.0} ms, p95 {:.0} ms, p99 {:.0} ms",
        first.p50, first.p95, first.p99
    );
    println!(
        "  between tokens: p50 {:.1} ms, p95 {:.1} ms, p99 {:.1} ms",
        between.p50, between.p95, between.p99
    );
    let whole = figures.count("whole") as usize;
    let all = questions().arrivals().len();
    promises.check(whole == all, "each question is answered whole");
}

fn job_id(job: &Value) -> Option<String> {
    job["id"].as_str().map(str::to_owned)
}

/// Waits until this share of the items, in hundredths, has completed.
fn wait_for_share(reader: &Caller, job: &str, created: Instant, percent: usize) {
    while created.elapsed() < JOB_BOUND {
        let state = reader.job(job).unwrap_or_default();
        let completed = state["completed"].as_u64().unwrap_or(0) as usize;
        if completed * 100 >= ITEMS * percent {
            println!("  {completed} items have completed");
            return;
        }
        thread::sleep(POLL);
    }
}

fn wait_for_end(reader: &Caller, job: &str, created: Instant) -> Option<Duration> {
    while created.elapsed() < JOB_BOUND {
        let state = reader.job(job).unwrap_or_default();
        if state["status"] == "completed" {
            return Some(created.elapsed());
        }
        thread::sleep(POLL);
    }
    None
}

fn starts(records: &[Entry], subject: &str) -> usize {
    let started = |entry: &&Entry| entry.phase == Phase::Start && entry.subject == subject;
    records.iter().filter(started).count()
}
