//! Calls that may not be repeated run at most once, and "not run" is true.

use std::{
    collections::HashMap,
    thread,
    time::Duration, //
};

use serde_json::{
    Value,
    json, //
};
use yuccaseam_base::cases;
use yuccaseam_testing::{
    Answer,
    Broken,
    Caller,
    wait_until, //
};

use crate::support::{
    runs,
    with_services, //
};

fn order(caller: &Caller, key: &str, body: &Value) -> Result<Answer, Broken> {
    let caller = caller.clone().with_header("Idempotency-Key", key);
    caller.post("/services/order-desk/orders", body)
}

/// Resends an order until it has an answer other than "still running".
fn settle(caller: &Caller, key: &str, body: &Value) -> Answer {
    let mut settled = None;
    wait_until("the resend is settled", || {
        let Ok(answer) = order(caller, key, body) else {
            return false;
        };
        let code = &answer.json()["error"]["code"];
        if code == "key_in_progress" || code == "no_quorum" || code == "not_ready" {
            return false;
        }
        settled = Some(answer);
        true
    });
    settled.expect("waited for")
}

#[test]
fn a_resend_through_another_entry_gets_the_first_answer() {
    let cluster = with_services(3, &[]);
    let body = json!({"order": "o-1"});
    let first = order(&cluster.caller(0), "k-1", &body).unwrap();
    assert_eq!(first.status, 200, "{}", first.text);
    let second = settle(&cluster.caller(1), "k-1", &body);
    assert_eq!(second.json(), first.json());
    assert_eq!(runs(&cluster.records(), "o-1"), 1);
}

#[test]
fn a_key_with_another_body_is_refused() {
    let cluster = with_services(1, &[]);
    let first = order(&cluster.caller(0), "k-1", &json!({"order": "o-1"})).unwrap();
    assert_eq!(first.status, 200, "{}", first.text);
    let other = order(&cluster.caller(1), "k-1", &json!({"order": "o-2"})).unwrap();
    assert_eq!(
        other.json()["error"]["code"],
        "key_reused",
        "{}",
        other.text
    );
    assert_eq!(other.verdict().as_deref(), Some("not_run"));
    assert_eq!(runs(&cluster.records(), "o-2"), 0);
}

#[test]
fn resends_at_the_same_time_run_once() {
    let cluster = with_services(3, &["--delay-ms", "300"]);
    let body = json!({"order": "o-1"});
    let answers: Vec<Answer> = thread::scope(|scope| {
        let senders: Vec<_> = (0..9)
            .map(|index| {
                let (caller, body) = (cluster.caller(index % 3), &body);
                scope.spawn(move || settle(&caller, "k-1", body))
            })
            .collect();
        let joined = senders.into_iter().map(|sender| sender.join().unwrap());
        joined.collect()
    });
    for answer in &answers {
        assert_eq!(answer.json(), answers[0].json());
    }
    assert_eq!(answers[0].status, 200, "{}", answers[0].text);
    assert_eq!(runs(&cluster.records(), "o-1"), 1);
}

fn fault_runs_once(fault: &str) {
    let mut cluster = with_services(3, &[]);
    let body = json!({"order": "o-1", "fault": fault});
    let first = order(&cluster.caller(0), "k-1", &body).unwrap();
    assert_eq!(
        first.verdict().as_deref(),
        Some("may_have_run"),
        "{}",
        first.text
    );
    for index in [1, 2, 0] {
        let again = settle(&cluster.caller(index), "k-1", &body);
        assert_eq!(
            again.verdict().as_deref(),
            Some("may_have_run"),
            "{}",
            again.text
        );
    }
    assert_eq!(runs(&cluster.records(), "o-1"), 1);
    for target in cluster.targets.values_mut() {
        target.process.kill();
    }
}

cases! { fault_runs_once:
    a_lost_answer_is_not_sent_for_again("lost");
    a_copy_that_dies_with_its_call_is_not_replaced("crash");
}

#[test]
fn an_entry_that_dies_with_a_call_leaves_it_run_once() {
    let mut cluster = with_services(3, &["--delay-ms", "500"]);
    let body = json!({"order": "o-1"});
    let caller = cluster.caller(0);
    let sent = body.clone();
    let sending = thread::spawn(move || order(&caller, "k-1", &sent));
    wait_until("the order runs", || runs(&cluster.records(), "o-1") == 1);
    cluster.daemons[0].kill();
    assert!(
        sending.join().unwrap().is_err(),
        "a killed entry has answered"
    );
    for index in [1, 2] {
        let again = settle(&cluster.caller(index), "k-1", &body);
        assert_ne!(
            again.verdict().as_deref(),
            Some("not_run"),
            "{}",
            again.text
        );
    }
    assert_eq!(runs(&cluster.records(), "o-1"), 1);
}

/// Sends orders while copies of the service and an entry are killed, resends those that are
/// "not run" through another entry, and compares what callers were told with the records.
#[test]
fn what_callers_are_told_agrees_with_the_records() {
    const ORDERS: usize = 120;
    let mut cluster = with_services(3, &["--delay-ms", "30"]);
    let callers: Vec<_> = (0..3).map(|index| cluster.caller(index)).collect();
    let told: HashMap<String, Vec<Option<Answer>>> = thread::scope(|scope| {
        let senders: Vec<_> = (0..ORDERS)
            .map(|index| {
                let callers = &callers;
                scope.spawn(move || {
                    thread::sleep(Duration::from_millis(15 * index as u64));
                    send_until_known(callers, index)
                })
            })
            .collect();
        thread::sleep(Duration::from_millis(500));
        cluster.targets.get_mut("desk0").unwrap().process.kill();
        thread::sleep(Duration::from_millis(500));
        cluster.daemons[2].kill();
        let joined = senders.into_iter().map(|sender| sender.join().unwrap());
        joined.collect()
    });
    let records = cluster.records();
    let mut answered = 0;
    for (order, answers) in &told {
        let ran = runs(&records, order);
        assert!(ran <= 1, "{order} ran {ran} times");
        let last = answers.last().expect("each order was sent");
        let verdict = last.as_ref().and_then(Answer::verdict);
        if verdict.as_deref() == Some("not_run") && answers.iter().all(Option::is_some) {
            assert_eq!(ran, 0, "{order} was told not run: {answers:?}");
        }
        if last.as_ref().is_some_and(|answer| answer.status == 200) {
            assert_eq!(ran, 1, "{order} was answered: {answers:?}");
            answered += 1;
        }
    }
    assert!(
        answered > ORDERS / 2,
        "{answered} of {ORDERS} orders were answered"
    );
}

/// Sends an order, and again through the next entry while its answer is lost or "not run".
fn send_until_known(callers: &[Caller], index: usize) -> (String, Vec<Option<Answer>>) {
    let name = format!("o-{index}");
    let key = format!("k-{index}");
    let body = json!({"order": name});
    let mut answers = Vec::new();
    for attempt in 0..4 {
        let caller = &callers[(index + attempt) % callers.len()];
        let answer = order(caller, &key, &body).ok();
        let verdict = answer.as_ref().and_then(Answer::verdict);
        let known = answer.is_some() && verdict.as_deref() != Some("not_run");
        answers.push(answer);
        if known {
            break;
        }
    }
    (name, answers)
}
