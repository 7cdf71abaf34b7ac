//! Leasing, flushing, returning and losing chunks.

use assert_matches::assert_matches;
use yuccaseam_admit::RunId;
use yuccaseam_base::Millis;
use yuccaseam_batch::{
    Action,
    Event, //
};
use yuccaseam_state::{
    ItemSet,
    JobId, //
};

use crate::common::{
    Bench,
    at,
    items,
    lease,
    once,
    settings, //
};

fn flushes(actions: &[Action]) -> Vec<&ItemSet> {
    let flush = |action: &'_ Action| matches!(action, Action::Flush { .. });
    let flushes = actions.iter().filter(|action| flush(action));
    let done = flushes.map(|action| match action {
        Action::Flush { done, .. } => done,
        _ => unreachable!("filtered"),
    });
    done.collect()
}

#[test]
fn more_is_leased_before_the_last_items_start() {
    let mut bench = Bench::new(vec![lease(0, 5)]);
    assert!(bench.start(0).is_some());
    let actions = bench.on(Event::Slot(RunId(1)));
    assert!(actions.contains(&Action::LeaseMore { max: 2 }));
    let again = bench.on(Event::Slot(RunId(2)));
    assert!(!again.contains(&Action::LeaseMore { max: 2 }));
}

#[test]
fn an_empty_answer_is_not_asked_for_again_at_once() {
    let mut bench = Bench::new(Vec::new());
    let pause = settings().lease_pause;
    assert_eq!(bench.runner.next_deadline(), Some(bench.now + pause));
    assert_eq!(bench.wait(pause - Millis(1)), []);
    assert_eq!(bench.wait(Millis(1)), [Action::LeaseMore { max: 2 }]);
}

#[test]
fn results_are_flushed_by_count_time_and_end() {
    let mut bench = Bench::new(vec![lease(0, 6)]);
    let mut seen = Vec::new();
    for run in 0..3 {
        bench.start(run);
        seen = bench.finish(run);
    }
    assert_eq!(flushes(&seen), [&items(&[0, 1, 2])]);
    let flushed = |chunk_ended| Event::Flushed {
        lease: at(0),
        late: false,
        chunk_ended,
    };
    bench.on(flushed(false));
    bench.start(3);
    assert!(flushes(&bench.finish(3)).is_empty());
    let after = settings().flush_after;
    assert_eq!(flushes(&bench.wait(after)), [&items(&[3])]);
    bench.start(4);
    bench.finish(4);
    bench.start(5);
    assert!(flushes(&bench.finish(5)).is_empty(), "one flush at a time");
    assert_eq!(flushes(&bench.on(flushed(false))), [&items(&[4, 5])]);
    bench.on(flushed(true));
    assert_eq!(bench.runner.leases().count(), 0);
}

#[test]
fn a_lease_that_does_not_run_is_returned() {
    let mut bench = Bench::new(vec![lease(0, 9)]);
    let release = Action::Release {
        lease: at(0),
        not_run: ItemSet::new(),
    };
    let bound = settings().idle_release;
    assert!(!bench.wait(bound - Millis(1)).contains(&release));
    assert!(bench.wait(Millis(1)).contains(&release));
    assert!(bench.runner.next_deadline() > Some(bench.now));
}

#[test]
fn a_runner_that_returned_a_waiting_lease_asks_again_at_once() {
    let mut bench = Bench::new(vec![lease(0, 9), lease(1, 9)]);
    bench.start(0);
    let returned = Action::Release {
        lease: at(1),
        not_run: ItemSet::new(),
    };
    assert!(bench.wait(settings().idle_release).contains(&returned));
    let mut asked = false;
    for run in 1..9 {
        let mut actions = bench.on(Event::Slot(RunId(run)));
        actions.extend(bench.finish(run));
        asked |= actions
            .iter()
            .any(|action| matches!(action, Action::LeaseMore { .. }));
    }
    assert!(asked, "its target has slots and nothing at hand");
}

#[test]
fn a_lost_lease_stops_its_runs_and_counts_what_comes_late() {
    let mut bench = Bench::new(vec![lease(0, 5)]);
    bench.start(0);
    bench.start(1);
    let actions = bench.on(Event::LeaseLost(at(0)));
    assert!(actions.contains(&Action::Stop(RunId(0))));
    assert!(actions.contains(&Action::Stop(RunId(1))));
    bench.finish(0);
    bench.on(Event::Stopped {
        run: RunId(1),
        tokens: 4,
    });
    assert_eq!(bench.runner.counts().dropped, 1);
    assert_eq!(bench.runner.leases().count(), 0);
}

#[test]
fn a_cancel_stops_what_runs_and_then_returns_the_lease() {
    let mut bench = Bench::new(vec![lease(0, 5)]);
    bench.start(0);
    bench.start(1);
    bench.finish(0);
    let stop = bench.on(Event::JobCancelled(JobId([1; 16])));
    assert!(stop.contains(&Action::Stop(RunId(1))));
    assert!(bench.start(2).is_none());
    let late = bench.finish(1);
    assert_matches!(late.as_slice(), [Action::Release { .. }, ..]);
    assert_eq!(bench.runner.counts().dropped, 1);
}

#[test]
fn leaving_flushes_and_returns_everything() {
    let mut bench = Bench::new(vec![lease(0, 5)]);
    bench.start(0);
    bench.start(1);
    bench.finish(0);
    let actions = bench.on(Event::Leave);
    assert_eq!(flushes(&actions), [&items(&[0])]);
    bench.on(Event::Stopped {
        run: RunId(1),
        tokens: 0,
    });
    let last = bench.on(Event::Flushed {
        lease: at(0),
        late: false,
        chunk_ended: false,
    });
    assert_matches!(last.as_slice(), [Action::Release { .. }, ..]);
    assert!(!bench.runner.is_idle(), "a request for leases is under way");
    let returned = Action::Release {
        lease: at(1),
        not_run: ItemSet::new(),
    };
    assert_eq!(bench.on(Event::Leased(vec![lease(1, 2)])), [returned]);
    assert!(bench.runner.is_idle());
    assert_eq!(bench.runner.next_deadline(), None);
}

#[test]
fn items_that_may_not_be_repeated_start_only_when_marked() {
    let mut bench = Bench::new(Vec::new());
    bench.wait(settings().lease_pause);
    let actions = bench.on(Event::Leased(vec![once(0, 6)]));
    let mark = Action::MarkStarted {
        lease: at(0),
        items: items(&[0, 1, 2, 3]),
    };
    assert!(actions.contains(&mark));
    assert!(bench.start(0).is_none());
    let actions = bench.on(Event::Started {
        lease: at(0),
        items: items(&[0, 1, 3]),
    });
    let mark_one = Action::MarkStarted {
        lease: at(0),
        items: items(&[4]),
    };
    assert!(actions.contains(&mark_one), "{actions:?}");
    let started: Vec<u16> = (1..3)
        .filter_map(|run| bench.start(run))
        .map(|i| i.item)
        .collect();
    assert_eq!(started, [0, 1]);
    let actions = bench.on(Event::Leave);
    assert!(
        !actions.contains(&Action::Stop(RunId(1))),
        "a call is not cut"
    );
    bench.finish(1);
    let last = bench.finish(2);
    assert!(flushes(&last).is_empty(), "the first flush is under way");
    let flushed = || Event::Flushed {
        lease: at(0),
        late: false,
        chunk_ended: false,
    };
    bench.on(flushed());
    assert_eq!(
        bench.on(flushed()),
        [],
        "an answer about item 4 is under way"
    );
    let last = bench.on(Event::Started {
        lease: at(0),
        items: items(&[4]),
    });
    assert_matches!(&last[..], [Action::Release { not_run, .. }] if *not_run == items(&[3, 4]));
}
