//! What was acknowledged outlives the entry that did.

use yuccaseam_testing::{
    Item,
    wait_until, //
};

use crate::support::with_engines;

fn items() -> Vec<Item> {
    let item = |number| Item {
        id: format!("item-{number}"),
        prompt: format!("tender {number}"),
        tokens: 12,
    };
    (0..120).map(item).collect()
}

#[test]
fn a_job_sent_again_after_its_entry_died_is_one_job() {
    let mut cluster = with_engines(3, &[]);
    let items = items();
    let first = cluster.caller(0).create_job("lagging-llm", "k-1", &items);
    cluster.daemons[0].kill();
    let first = first.expect("the entry answers").json();
    let caller = cluster.caller(1);
    let mut second = None;
    wait_until("the job is sent again", || {
        let sent = caller.create_job("lagging-llm", "k-1", &items);
        second = sent.ok().filter(|answer| answer.status == 200);
        second.is_some()
    });
    let second = second.expect("waited for").json();
    assert_eq!(second["id"], first["id"]);
    let jobs = caller.get("/v1/batches").expect("the daemon answers");
    assert_eq!(jobs["data"].as_array().map(Vec::len), Some(1), "{jobs}");

    let job = first["id"].as_str().expect("a job has an identifier");
    let reader = cluster.caller(2);
    wait_until("the job completes", || {
        reader
            .job(job)
            .is_some_and(|state| state["status"] == "completed")
    });
    let results = reader.results(job).expect("results are readable");
    assert_eq!(results.len(), items.len());
    for (item, result) in items.iter().zip(&results) {
        assert!(item.is_answered_by(result), "{result}");
    }
}

#[test]
fn a_job_key_with_other_items_is_refused() {
    let cluster = with_engines(1, &[]);
    let items = items();
    let first = cluster.caller(0).create_job("lagging-llm", "k-1", &items);
    assert_eq!(first.expect("the daemon answers").status, 200);
    let other = cluster
        .caller(1)
        .create_job("lagging-llm", "k-1", &items[1..]);
    let other = other.expect("the daemon answers");
    assert_eq!(
        other.json()["error"]["code"],
        "key_reused",
        "{}",
        other.text
    );
    assert_eq!(other.verdict().as_deref(), Some("not_run"));
    let jobs = cluster.caller(2).get("/v1/batches");
    let jobs = jobs.expect("the daemon answers");
    assert_eq!(jobs["data"].as_array().map(Vec::len), Some(1), "{jobs}");
}
