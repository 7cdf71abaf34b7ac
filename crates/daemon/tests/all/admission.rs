//! Permits: owners that are lost, teams that flood, refusals that are true.

use std::thread;

use yuccaseam_base::cases;
use yuccaseam_testing::{
    Caller,
    Cluster,
    Phase,
    Signal,
    Streamed,
    answer,
    wait_until, //
};

use crate::support::{
    places,
    question,
    runs, //
};

/// Three daemons and one engine with few slots.
fn with_one_engine(slots: &str, step_us: &str) -> Cluster {
    let places = places();
    let mut cluster = Cluster::start(&places, &[]);
    let flags = ["--slots", slots, "--step-us", step_us];
    cluster.start_engine("w0", &places[0], &flags);
    cluster.wait_until_ready();
    cluster
}

fn ask(caller: &Caller, prompt: &str, tokens: u32) -> Streamed {
    let got = caller.stream("/v1/completions", &question(prompt, tokens));
    got.expect("the entry answers")
}

/// One of the three daemons owns the engine. Each is lost in one case, so that in one of them the
/// owner is lost while online requests hold permits and wait for them.
fn online_outlives_the_loss_of_a_daemon(lost: usize, frozen: bool) {
    let mut cluster = with_one_engine("2", "8000");
    let others: Vec<_> = (0..3).filter(|index| *index != lost).collect();
    let callers: Vec<_> = others.iter().map(|index| cluster.caller(*index)).collect();
    thread::scope(|scope| {
        let mut asking = Vec::new();
        for number in 0..8 {
            let caller = &callers[number % callers.len()];
            asking.push(scope.spawn(move || ask(caller, &format!("q{number}"), 60)));
        }
        wait_until("a question runs", || !cluster.records().is_empty());
        if frozen {
            let process = cluster.daemons[lost].process.as_mut().expect("it runs");
            process.signal(Signal::Stop);
        } else {
            cluster.daemons[lost].kill();
        }
        for (number, asked) in asking.into_iter().enumerate() {
            let got = asked.join().unwrap();
            assert!(got.done, "q{number}: {got:?}");
            assert_eq!(got.text, answer(&format!("q{number}"), 0, 60));
        }
    });
}

cases! { online_outlives_the_loss_of_a_daemon:
    the_first_is_killed(0, false);
    the_second_is_killed(1, false);
    the_third_is_killed(2, false);
    the_first_is_frozen(0, true);
    the_second_is_frozen(1, true);
    the_third_is_frozen(2, true);
}

#[test]
fn a_team_that_floods_does_not_hold_up_another() {
    const FLOOD: usize = 30;
    let cluster = with_one_engine("2", "4000");
    let team = |index: usize, team| cluster.caller(index).with_header("X-Yuccaseam-Team", team);
    thread::scope(|scope| {
        for number in 0..FLOOD {
            let caller = team(number % 3, "flood");
            scope.spawn(move || ask(&caller, &format!("flood {number}"), 60));
        }
        wait_until("the flood runs", || cluster.records().len() > 4);
        assert!(ask(&team(1, "other"), "other", 10).done);
        let records = cluster.records();
        let of_flood = records
            .iter()
            .filter(|entry| entry.phase == Phase::Start && entry.subject.starts_with("flood"));
        assert!(of_flood.count() < FLOOD / 2, "the other team came late");
    });
}

#[test]
fn a_refused_request_has_not_run_and_says_when_to_come_back() {
    let cluster = with_one_engine("1", "20000");
    let results: Vec<_> = thread::scope(|scope| {
        let ask = |number: usize| {
            let caller = cluster.caller(number % 3);
            let prompt = format!("q{number}");
            let got = move || (ask(&caller, &prompt, 60), prompt);
            scope.spawn(got)
        };
        let asking: Vec<_> = (0..24).map(ask).collect();
        asking
            .into_iter()
            .map(|asked| asked.join().unwrap())
            .collect()
    });
    let records = cluster.records();
    let mut refused = 0;
    for (got, prompt) in results {
        if got.done {
            assert_eq!(runs(&records, &prompt), 1);
            continue;
        }
        refused += 1;
        let error = got.error.expect("a refusal has a body");
        assert_eq!(error["error"]["verdict"], "not_run", "{error}");
        assert_eq!(runs(&records, &prompt), 0, "{prompt} was refused and ran");
    }
    assert!(refused > 0, "24 calls of a second each fit into 5 s");
}
