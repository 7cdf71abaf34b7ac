//! Jobs end once and whole, whatever dies meanwhile.

use std::{
    collections::{
        BTreeMap,
        BTreeSet, //
    },
    thread,
};

use serde_json::{
    Value,
    json, //
};
use yuccaseam_base::Millis;
use yuccaseam_testing::{
    Caller,
    Cluster,
    Entry,
    Item,
    Phase,
    Place,
    Signal,
    wait_until, //
};

use crate::support::{
    self,
    runs, //
};

/// Within this time a cancel stops running streams, by the users' promise.
const CANCEL_BOUND: Millis = Millis(2_000);
/// Within this time after the end of its leases an owner has stopped what it runs.
const STOP_BOUND: Millis = Millis(1_000);
/// How long owners keep leases in these tests, in milliseconds.
const LEASE_MS: u64 = 2_000;

/// Three voters and two daemons without a disk, of which any may own a target.
fn start(engines: usize) -> Cluster {
    let more = ["brno-a", "jihlava-b"].map(|domain| Place::new("morava", domain));
    start_with(more, engines)
}

/// Three voters and two daemons without a disk at certain places.
fn start_with(more: [Place; 2], engines: usize) -> Cluster {
    let mut places = support::places();
    places.extend(more);
    let mut cluster = Cluster::start(&places, &[]);
    for index in 0..engines {
        cluster.start_engine(&format!("w{index}"), &places[index % places.len()], &[]);
    }
    cluster.wait_until_ready();
    set_default(&cluster.caller(0), "lease_ms", LEASE_MS);
    set_default(&cluster.caller(0), "chunk_items", 20);
    for index in 0..cluster.daemons.len() {
        let caller = cluster.caller(index);
        wait_until("the configuration is in force", || {
            let status = caller.get("/admin/v1/status").unwrap_or_default();
            status["revision"] == 2
        });
    }
    cluster
}

fn set_default(caller: &Caller, setting: &str, value: u64) {
    let current = caller
        .get("/admin/v1/configuration")
        .expect("the daemon answers");
    let body = json!({
        "request": format!("{setting} {value}"),
        "expected": current["revision"],
        "author": "test",
        "changes": [{ "set_default": { "setting": setting, "value": value } }],
    });
    let answer = caller.call("POST", "/admin/v1/configuration", &body.to_string());
    let answer = answer.expect("the daemon answers");
    assert_eq!(answer.status, 200, "{}", answer.text);
}

/// The voter that leads.
fn leader(cluster: &Cluster) -> usize {
    let leads = |index: &usize| {
        let status = cluster.caller(*index).get("/admin/v1/status");
        status.is_some_and(|status| status["replica"]["leads"] == true)
    };
    let mut found = None;
    wait_until("a voter leads", || {
        found = (0..3).find(leads);
        found.is_some()
    });
    found.expect("waited for")
}

fn items(count: u32, tokens: u32) -> Vec<Item> {
    let item = |number| Item {
        id: format!("item-{number}"),
        prompt: format!("tender {number}"),
        tokens,
    };
    (0..count).map(item).collect()
}

fn create(cluster: &Cluster, items: &[Item]) -> String {
    let answer = cluster.caller(0).create_job("lagging-llm", "job", items);
    let answer = answer.expect("the daemon answers");
    assert_eq!(answer.status, 200, "{}", answer.text);
    id_of(&answer.json())
}

fn id_of(job: &Value) -> String {
    job["id"]
        .as_str()
        .expect("a job has an identifier")
        .to_owned()
}

fn wait_for_done(caller: &Caller, job: &str, at_least: u64) {
    wait_until(&format!("{at_least} items are done"), || {
        let status = caller.job(job).unwrap_or_default();
        status["completed"].as_u64() >= Some(at_least)
    });
}

fn wait_for_end(caller: &Caller, job: &str) -> Value {
    wait_until("the job ends", || {
        let status = caller.job(job).unwrap_or_default();
        status["status"] == "completed"
    });
    caller.job(job).expect("the daemon answers")
}

/// Waits until every stream that started has ended at its engine; when the last one did.
fn wait_for_streams(cluster: &Cluster) -> Millis {
    let ended = |entry: &&Entry| matches!(entry.phase, Phase::Finish | Phase::Cancel);
    wait_until("every stream has ended at its engine", || {
        let records = cluster.records();
        let mut started = records.iter().filter(|entry| entry.phase == Phase::Start);
        let ended: BTreeSet<_> = records
            .iter()
            .filter(ended)
            .map(|entry| &entry.id)
            .collect();
        started.all(|entry| ended.contains(&entry.id))
    });
    let records = cluster.records();
    let last = records.iter().filter(ended).map(|entry| entry.at).max();
    last.expect("streams ran")
}

/// Checks that every item has just one result, its own and whole.
fn assert_results(caller: &Caller, job: &str, items: &[Item], failed: &BTreeSet<String>) {
    let results = caller.results(job).expect("results are readable");
    assert_eq!(results.len(), items.len());
    let mut texts = BTreeMap::new();
    for line in &results {
        let id = line["custom_id"].as_str().unwrap_or_default().to_owned();
        let text = line["response"]["body"]["choices"][0]["text"].as_str();
        assert_eq!(texts.insert(id, text), None, "two results of one item");
    }
    for item in items.iter().filter(|item| !failed.contains(&item.id)) {
        assert_eq!(
            texts[&item.id],
            Some(item.expected().as_str()),
            "{}",
            item.id
        );
    }
}

#[test]
fn a_job_ends_with_every_result_in_order() {
    let cluster = start(2);
    let items = items(100, 10);
    let job = create(&cluster, &items);
    let caller = cluster.caller(1);
    let status = wait_for_end(&caller, &job);
    assert_eq!(
        (&status["completed"], &status["failed"]),
        (&json!(100), &json!(0))
    );
    assert_results(&caller, &job, &items, &BTreeSet::new());
    let again = create(&cluster, &items);
    assert_eq!(again, job, "a resend is the same job");
    let results = caller.results(&job).expect("results are readable");
    let numbers: Vec<_> = results
        .iter()
        .filter_map(|line| line["item"].as_u64())
        .collect();
    assert!(numbers.is_sorted(), "{numbers:?}");
}

#[test]
fn a_killed_worker_costs_no_item() {
    let mut cluster = start(2);
    let items = items(200, 20);
    let job = create(&cluster, &items);
    let caller = cluster.caller(0);
    wait_for_done(&caller, &job, 20);
    cluster
        .targets
        .get_mut("w0")
        .expect("it was started")
        .process
        .kill();
    let status = wait_for_end(&caller, &job);
    assert_eq!(
        (&status["completed"], &status["failed"]),
        (&json!(200), &json!(0))
    );
    assert_results(&caller, &job, &items, &BTreeSet::new());
}

#[test]
fn killed_owners_cost_no_item_and_their_targets_work_on() {
    let mut cluster = start(3);
    let items = items(1_200, 60);
    let job = create(&cluster, &items);
    let caller = cluster.caller(0);
    wait_for_done(&caller, &job, 20);
    cluster.daemons[3].kill();
    cluster.daemons[4].kill();
    let killed_at = Millis::unix_now();
    wait_until("every target has new work", || {
        let records = cluster.records();
        let new = |entry: &&Entry| entry.phase == Phase::Start && entry.at > killed_at;
        let busy: BTreeSet<_> = records
            .iter()
            .filter(new)
            .map(|entry| &entry.target)
            .collect();
        busy.len() == 3
    });
    let status = wait_for_end(&caller, &job);
    assert_eq!(
        (&status["completed"], &status["failed"]),
        (&json!(1_200), &json!(0))
    );
    assert_results(&caller, &job, &items, &BTreeSet::new());
}

#[test]
fn a_killed_leader_costs_no_item() {
    let mut cluster = start(2);
    let items = items(300, 40);
    let job = create(&cluster, &items);
    wait_for_done(&cluster.caller(0), &job, 20);
    let lost = leader(&cluster);
    cluster.daemons[lost].kill();
    let caller = cluster.caller((lost + 1) % 3);
    let status = wait_for_end(&caller, &job);
    assert_eq!(
        (&status["completed"], &status["failed"]),
        (&json!(300), &json!(0))
    );
    assert_results(&caller, &job, &items, &BTreeSet::new());
}

#[test]
fn batch_stops_by_its_leases_without_a_quorum() {
    let mut cluster = start(2);
    let items = items(200, 1_000);
    create(&cluster, &items);
    wait_until("streams run", || {
        let records = cluster.records();
        records
            .iter()
            .filter(|entry| entry.phase == Phase::Start)
            .count()
            > 8
    });
    cluster.daemons[0].kill();
    cluster.daemons[1].kill();
    let killed_at = Millis::unix_now();
    let took = wait_for_streams(&cluster) - killed_at;
    assert!(
        took <= Millis(LEASE_MS) + STOP_BOUND,
        "streams ran on for {took}"
    );
}

#[test]
fn batch_yields_to_a_burst_and_resumes_where_it_stopped() {
    let cluster = start(1);
    let items = items(24, 400);
    let job = create(&cluster, &items);
    let caller = cluster.caller(1);
    wait_until("batch runs", || {
        let records = cluster.records();
        records
            .iter()
            .filter(|entry| entry.phase == Phase::Start)
            .count()
            >= 6
    });
    thread::scope(|scope| {
        let ask = |number: usize| {
            let caller = cluster.caller(number % 3);
            let question = support::question(&format!("trench {number}"), 40);
            caller.stream("/v1/completions", &question)
        };
        let burst: Vec<_> = (0..16)
            .map(|number| scope.spawn(move || ask(number)))
            .collect();
        for answer in burst {
            let answer = answer.join().expect("the caller does not panic");
            assert!(
                answer.is_ok_and(|answer| answer.done),
                "an online answer is not whole"
            );
        }
    });
    let status = wait_for_end(&caller, &job);
    assert_eq!(
        (&status["completed"], &status["failed"]),
        (&json!(24), &json!(0))
    );
    assert_results(&caller, &job, &items, &BTreeSet::new());
    let records = cluster.records();
    let of_batch = |entry: &&Entry| entry.subject.starts_with("tender");
    let paused = records
        .iter()
        .filter(of_batch)
        .filter(|entry| entry.phase == Phase::Cancel);
    assert!(paused.count() > 0, "the burst paused nothing");
    let resumed = |entry: &&Entry| entry.phase == Phase::Start && entry.from > 0;
    assert!(
        records.iter().filter(of_batch).filter(resumed).count() > 0,
        "nothing resumed"
    );
}

#[test]
fn a_poison_item_fails_alone() {
    let mut cluster = start(1);
    let mut items = items(40, 10);
    items[7].prompt = "POISON-KILL".to_owned();
    let job = create(&cluster, &items);
    let caller = cluster.caller(0);
    let place = Place::new("morava", "brno-a");
    wait_until("the job ends", || {
        let target = cluster.targets.get_mut("w0").expect("it was started");
        if !target.process.is_running() {
            cluster.start_engine("w0", &place, &[]);
        }
        caller.job(&job).unwrap_or_default()["status"] == "completed"
    });
    let status = caller.job(&job).expect("the daemon answers");
    assert_eq!(
        (&status["completed"], &status["failed"]),
        (&json!(39), &json!(1))
    );
    let failed = BTreeSet::from([items[7].id.clone()]);
    assert_results(&caller, &job, &items, &failed);
    let results = caller.results(&job).expect("results are readable");
    assert_eq!(results[7]["error"]["code"], "item_attempts_spent");
}

#[test]
fn a_cancel_stops_running_streams_and_survives_its_leader() {
    let mut cluster = start(2);
    let items = items(100, 2_000);
    let job = create(&cluster, &items);
    let caller = cluster.caller(0);
    wait_until("streams run", || {
        let records = cluster.records();
        records
            .iter()
            .filter(|entry| entry.phase == Phase::Start)
            .count()
            > 8
    });
    let answer = caller.call("POST", &format!("/v1/batches/{job}/cancel"), "");
    assert_eq!(answer.expect("the daemon answers").status, 200);
    let cancelled_at = Millis::unix_now();
    wait_until("the job is cancelled", || {
        caller.job(&job).unwrap_or_default()["status"] == "cancelled"
    });
    let took = wait_for_streams(&cluster) - cancelled_at;
    assert!(took <= CANCEL_BOUND, "streams ran on for {took}");
    let lost = leader(&cluster);
    cluster.daemons[lost].kill();
    let other = cluster.caller((lost + 1) % 3);
    wait_until("another voter leads", || other.job(&job).is_some());
    let status = other.job(&job).expect("the daemon answers");
    assert_eq!(status["status"], "cancelled");
}

/// Starts copies of `order-desk` at a place, and a job of this many slow orders. `fault` names what
/// goes wrong with an order.
fn start_orders(
    cluster: &mut Cluster,
    place: &Place,
    desks: usize,
    orders: u32,
    fault: fn(u32) -> &'static str,
) -> String {
    for desk in 0..desks {
        cluster.start_service(&format!("desk{desk}"), place, &["--delay-ms", "200"]);
    }
    cluster.wait_until_ready();
    let line = |number| {
        let body = json!({ "order": order(number), "fault": fault(number) });
        json!({ "custom_id": order(number), "url": "/orders", "body": body }).to_string()
    };
    let lines: Vec<String> = (0..orders).map(line).collect();
    let caller = cluster.caller(1);
    let answer = caller.call("POST", "/v1/batches?service=order-desk", &lines.join("\n"));
    id_of(&answer.expect("the daemon answers").json())
}

fn order(number: u32) -> String {
    format!("order-{number}")
}

/// Checks that no order ran twice, that each with a result ran, and that all others are of unknown
/// outcome.
fn assert_run_once(cluster: &Cluster, job: &str, orders: u32) {
    let records = cluster.records();
    for number in 0..orders {
        let order = order(number);
        assert!(runs(&records, &order) <= 1, "{order} ran twice");
    }
    let results = cluster
        .caller(1)
        .results(job)
        .expect("results are readable");
    assert_eq!(results.len(), orders as usize);
    for line in results {
        let order = line["custom_id"].as_str().unwrap_or_default();
        if line["error"].is_null() {
            assert_eq!(
                runs(&records, order),
                1,
                "{order} has a result and did not run"
            );
            assert_eq!(line["response"]["body"]["order"], order);
        } else {
            assert_eq!(line["error"]["code"], "outcome_unknown", "{line}");
        }
    }
}

#[test]
fn calls_that_may_not_be_repeated_run_once() {
    let fault = |number| match number {
        13 => "lost",
        30 => "crash",
        _ => "none",
    };
    let mut cluster = start(0);
    let place = Place::new("morava", "brno-a");
    let job = start_orders(&mut cluster, &place, 2, 60, fault);
    let status = wait_for_end(&cluster.caller(1), &job);
    assert!(status["failed"].as_u64() >= Some(2), "{status}");
    assert_run_once(&cluster, &job, 60);
}

/// Calls that have begun and not ended at their targets.
fn calls_under_way(cluster: &Cluster) -> usize {
    let records = cluster.records();
    let count = |phase| records.iter().filter(|entry| entry.phase == phase).count();
    count(Phase::Start) - count(Phase::Finish)
}

/// Freezes daemons that own every target at a moment at which a call is under way. No result of it
/// arrives before they go on.
fn freeze_during_a_call(cluster: &mut Cluster, daemons: [usize; 2]) {
    loop {
        wait_until("a call is under way", || calls_under_way(cluster) > 0);
        signal(cluster, daemons, Signal::Stop);
        if calls_under_way(cluster) > 0 {
            return;
        }
        signal(cluster, daemons, Signal::Cont);
    }
}

fn signal(cluster: &mut Cluster, daemons: [usize; 2], signal: Signal) {
    for index in daemons {
        let process = cluster.daemons[index].process.as_mut();
        process.expect("the daemon runs").signal(signal);
    }
}

#[test]
fn frozen_owners_run_no_call_twice_and_their_late_results_count() {
    let owners = [3, 4];
    // Only these daemons are in this failure domain, so they own the targets there.
    let place = Place::new("morava", "ostrava-a");
    let mut cluster = start_with([place.clone(), place.clone()], 0);
    let job = start_orders(&mut cluster, &place, 4, 400, |_| "none");
    let caller = cluster.caller(1);
    wait_for_done(&caller, &job, 10);
    freeze_during_a_call(&mut cluster, owners);
    let before = wait_for_end(&caller, &job);
    assert!(
        before["failed"].as_u64() > Some(0),
        "the frozen daemons ran nothing"
    );
    signal(&mut cluster, owners, Signal::Cont);
    wait_for_done(&caller, &job, before["completed"].as_u64().unwrap_or(0) + 1);
    assert_run_once(&cluster, &job, 400);
}
