//! Each caller gets its own whole answer, and a cut stream never looks complete.

use std::{
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
    Entry,
    Phase,
    Streamed,
    answer,
    wait_until, //
};

use crate::support::{
    question,
    with_engines, //
};

/// How long a caller may wait for the end of a stream that is cut: well under the bound of the
/// test's caller, and over every bound of the daemon.
const CUT_BOUND: Duration = Duration::from_secs(45);

/// The names of the targets that run a call, by their own records.
fn runners(records: &[Entry], prompt: &str) -> Vec<String> {
    let started = |entry: &&Entry| entry.phase == Phase::Start && entry.subject == prompt;
    let targets = records.iter().filter(started);
    targets.map(|entry| entry.target.clone()).collect()
}

#[test]
fn concurrent_callers_get_their_own_answers() {
    let cluster = with_engines(3, &[]);
    thread::scope(|scope| {
        for index in 0..60 {
            let caller = cluster.caller(index % 3);
            scope.spawn(move || {
                let prompt = format!("question {index}");
                let tokens = 10 + index as u32;
                let got = caller.stream("/v1/completions", &question(&prompt, tokens));
                let got = got.unwrap();
                assert_eq!(got.text, answer(&prompt, 0, tokens), "{got:?}");
                assert!(got.done);
            });
        }
    });
}

#[test]
fn a_stream_outlives_its_worker() {
    let mut cluster = with_engines(3, &[]);
    let caller = cluster.caller(0);
    let asking = thread::spawn(move || caller.stream("/v1/completions", &question("pipe", 300)));
    let mut target = None;
    wait_until("a worker runs the question", || {
        target = runners(&cluster.records(), "pipe").pop();
        target.is_some()
    });
    let target = target.expect("waited for");
    cluster.targets.get_mut(&target).unwrap().process.kill();
    let got: Streamed = asking.join().unwrap().unwrap();
    assert!(got.done, "{:?}", got.error);
    assert_eq!(got.text, answer("pipe", 0, 300));
    assert_eq!(runners(&cluster.records(), "pipe").len(), 2);
}

/// Asks the only worker and kills it while it answers.
fn ask_and_kill(mut body: Value, stream: bool) -> (Streamed, Duration) {
    let mut cluster = with_engines(1, &[]);
    let caller = cluster.caller(0);
    let start = Instant::now();
    body["stream"] = json!(stream);
    let asking = thread::spawn(move || caller.stream("/v1/completions", &body));
    wait_until("a worker runs the question", || {
        !runners(&cluster.records(), "pipe").is_empty()
    });
    cluster.targets.get_mut("w0").unwrap().process.kill();
    (asking.join().unwrap().unwrap(), start.elapsed())
}

#[test]
fn a_stream_that_no_worker_can_go_on_with_ends_as_cut() {
    let (got, _) = ask_and_kill(question("pipe", 2_000), true);
    assert!(!got.done, "a cut stream has an end mark");
    assert!(answer("pipe", 0, 2_000).starts_with(&got.text));
    let error = got.error.expect("a cut stream ends with an error event");
    assert_eq!(error["error"]["verdict"], "may_have_run", "{error}");
}

#[test]
fn a_cut_stream_leaves_no_caller_waiting() {
    let (_, waited) = ask_and_kill(question("pipe", 2_000), true);
    assert!(waited < CUT_BOUND, "the caller waited {waited:?}");
}

#[test]
fn a_lost_answer_is_not_called_not_run() {
    let (got, _) = ask_and_kill(question("pipe", 2_000), false);
    let error = got.error.expect("a lost answer is an error");
    assert_eq!(error["error"]["verdict"], "may_have_run", "{error}");
}

#[test]
fn a_call_ends_at_its_target_when_its_caller_hangs_up() {
    let cluster = with_engines(1, &[]);
    let caller = cluster.caller(0);
    let body = question("pipe", 100_000);
    let got = caller.stream_while("/v1/completions", &body, |got| got.tokens < 3);
    assert!(!got.unwrap().done);
    wait_until("the call is cancelled at the worker", || {
        let records = cluster.records();
        records.iter().any(|entry| entry.phase == Phase::Cancel)
    });
}
