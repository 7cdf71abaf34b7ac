//! Targets that leave and daemons that stop cut nothing and get nothing new.

use std::{
    thread,
    time::Duration, //
};

use yuccaseam_base::Millis;
use yuccaseam_testing::{
    Figures,
    LoadPhase,
    Phase,
    Schedule,
    Signal,
    run_online,
    wait_until, //
};

use crate::support::{
    question,
    with_engines, //
};

/// From when on a leaving target may get no new work, by the users' promise.
const LEAVING_BOUND: Millis = Millis(3_000);

/// Calls that have not reached a target yet when a daemon is told to stop.
const STILL_TO_COME: usize = 5;

fn load(seed: u64, secs: u64) -> Schedule {
    let phases = vec![LoadPhase {
        name: "steady".to_owned(),
        length: Duration::from_secs(secs),
        rate: 40.0,
    }];
    Schedule {
        seed,
        phases,
        tokens: 60,
    }
}

fn assert_all_whole(schedule: &Schedule, figures: &[Figures]) {
    let report = figures[0].report();
    let whole = figures[0].count("whole") as usize;
    assert_eq!(whole, schedule.arrivals().len(), "{:?}", report.outcomes);
}

#[test]
fn a_leaving_target_gets_no_new_work_and_ends_its_streams() {
    let mut cluster = with_engines(3, &[]);
    let callers: Vec<_> = (0..3).map(|index| cluster.caller(index)).collect();
    let schedule = load(11, 8);
    let figures = thread::scope(|scope| {
        let running = scope.spawn(|| run_online(&schedule, &callers, "lagging-llm"));
        thread::sleep(Duration::from_secs(1));
        let leaver = cluster.targets.get_mut("w0").unwrap();
        leaver.process.signal(Signal::Term);
        assert!(leaver.process.wait_for_end().success());
        running.join().unwrap()
    });
    assert_all_whole(&schedule, &figures);
    let records = cluster.records();
    let of_leaver = || records.iter().filter(|entry| entry.target == "w0");
    let late = of_leaver()
        .filter(|entry| entry.phase == Phase::Arrive && entry.leaving_for > Some(LEAVING_BOUND));
    assert_eq!(late.count(), 0, "new work after the bound");
    let cut = of_leaver().filter(|entry| entry.phase == Phase::Cancel);
    assert_eq!(cut.count(), 0, "a stream was cut at the leaving target");
    let served = of_leaver().filter(|entry| entry.phase == Phase::Finish);
    assert!(
        served.count() > 0,
        "the target served nothing before it left"
    );
}

#[test]
fn a_planned_stop_cuts_no_stream() {
    let mut cluster = with_engines(3, &["--drain-delay", "500"]);
    let stopping = [cluster.caller(0)];
    // Every call of this schedule arrives before the daemon refuses new calls, the last streams
    // end well after that.
    let mut schedule = load(12, 1);
    schedule.tokens = 400;
    let arrivals = schedule.arrivals().len();
    let figures = thread::scope(|scope| {
        let running = scope.spawn(|| run_online(&schedule, &stopping, "lagging-llm"));
        wait_until("most calls have reached a target", || {
            let records = cluster.records();
            let arrived = records.iter().filter(|entry| entry.phase == Phase::Arrive);
            arrived.count() >= arrivals - STILL_TO_COME
        });
        let process = cluster.daemons[0].process.as_mut().unwrap();
        process.signal(Signal::Term);
        let status = process.wait_for_end();
        assert!(status.success(), "{status}:\n{}", process.log());
        running.join().unwrap()
    });
    assert_all_whole(&schedule, &figures);
}

#[test]
fn a_stopping_daemon_leaves_the_balancer_and_refuses_as_not_run() {
    let mut cluster = with_engines(1, &["--drain-delay", "300"]);
    let caller = cluster.caller(0);
    let long = cluster.caller(0);
    let body = question("long", 600);
    let asking = thread::spawn(move || long.stream("/v1/completions", &body));
    wait_until("the long call runs", || !cluster.records().is_empty());
    let process = cluster.daemons[0].process.as_mut().unwrap();
    process.signal(Signal::Term);
    wait_until("readiness is off", || {
        let answer = caller.call("GET", "/readyz", "").unwrap();
        answer.status == 503
    });
    let ask = question("late", 1);
    wait_until("new calls are refused", || {
        let answer = caller.post("/v1/completions", &ask).unwrap();
        answer.json()["error"]["code"] == "stopping"
    });
    let answer = caller.post("/v1/completions", &ask).unwrap();
    assert_eq!(answer.verdict().as_deref(), Some("not_run"));
    let late = cluster.records().len();
    let answer = caller.post("/v1/completions", &ask).unwrap();
    assert_eq!(answer.status, 503);
    assert!(asking.join().unwrap().unwrap().done);
    let of_late = cluster.records()[late..]
        .iter()
        .filter(|entry| entry.subject == "late" && entry.phase == Phase::Start)
        .count();
    assert_eq!(of_late, 0, "a call refused as not run has run");
}
