//! Pause and resume, retries and failures.

use yuccaseam_admit::RunId;
use yuccaseam_base::{
    Millis,
    Verdict, //
};
use yuccaseam_batch::{
    Action,
    Event, //
};

use crate::common::{
    Bench,
    items,
    lease,
    once,
    settings, //
};

#[test]
fn a_paused_item_resumes_first_behind_its_tokens() {
    let mut bench = Bench::new(vec![lease(0, 5)]);
    bench.start(0);
    bench.start(1);
    assert!(
        bench
            .on(Event::Pause(RunId(1)))
            .contains(&Action::Stop(RunId(1)))
    );
    bench.on(Event::Stopped {
        run: RunId(1),
        tokens: 17,
    });
    let actions = bench.on(Event::Slot(RunId(2)));
    let resumed = actions.iter().any(
        |action| matches!(action, Action::Start { item, resume_from: 17, .. } if item.item == 1),
    );
    assert!(resumed, "{actions:?}");
}

#[test]
fn a_pause_that_crosses_the_end_keeps_the_result() {
    let mut bench = Bench::new(vec![lease(0, 5)]);
    bench.start(0);
    bench.on(Event::Pause(RunId(0)));
    bench.finish(0);
    assert_eq!(bench.runner.counts().done, 1);
    assert_eq!(bench.on(Event::Pause(RunId(0))), []);
}

#[test]
fn a_failed_item_is_sent_again_after_a_wait_and_fails_at_the_limit() {
    let mut bench = Bench::new(vec![lease(0, 1)]);
    let attempts = settings().attempts;
    for run in 0..attempts {
        assert!(bench.start(u64::from(run)).is_some(), "attempt {run}");
        let actions = bench.fail(run.into(), Verdict::MayHaveRun, true);
        let last = run + 1 == attempts;
        let failed = actions
            .iter()
            .any(|action| matches!(action, Action::Flush { .. }));
        assert_eq!(failed, last);
        bench.wait(settings().backoff.max);
    }
    assert_eq!(bench.runner.counts().failed, 1);
}

#[test]
fn an_item_that_never_reached_its_target_is_not_charged() {
    let mut bench = Bench::new(vec![lease(0, 1)]);
    for run in 0..10 {
        assert!(bench.start(run).is_some(), "attempt {run}");
        bench.fail(run, Verdict::NotRun, true);
        bench.wait(settings().backoff.max);
    }
    assert_eq!(bench.runner.counts().failed, 0);
}

#[test]
fn a_lasting_failure_is_not_sent_again() {
    let mut bench = Bench::new(vec![lease(0, 2)]);
    bench.start(0);
    bench.fail(0, Verdict::Ran, false);
    assert_eq!(bench.runner.counts().failed, 1);
    assert_eq!(bench.runner.counts().retried, 0);
}

#[test]
fn a_call_that_may_have_run_is_not_repeated() {
    let mut bench = Bench::new(Vec::new());
    bench.wait(settings().lease_pause);
    let lease = once(0, 2);
    bench.on(Event::Leased(vec![lease]));
    bench.on(Event::Started {
        lease: crate::common::at(0),
        items: items(&[0, 1]),
    });
    bench.start(0);
    bench.fail(0, Verdict::MayHaveRun, true);
    bench.start(1);
    bench.fail(1, Verdict::NotRun, true);
    let counts = bench.runner.counts();
    assert_eq!((counts.failed, counts.retried), (1, 1));
    bench.wait(settings().backoff.max);
    assert_eq!(bench.start(2).map(|item| item.item), Some(1));
}

#[test]
fn a_call_that_may_not_be_repeated_is_not_paused() {
    let mut bench = Bench::new(Vec::new());
    bench.wait(settings().lease_pause);
    bench.on(Event::Leased(vec![once(0, 1)]));
    bench.on(Event::Started {
        lease: crate::common::at(0),
        items: items(&[0]),
    });
    bench.start(0);
    assert_eq!(bench.on(Event::Pause(RunId(0))), []);
    bench.finish(0);
    assert_eq!(bench.runner.counts().done, 1);
}

#[test]
fn a_cut_stream_resumes_if_its_target_lives() {
    let mut bench = Bench::new(vec![lease(0, 5)]);
    bench.start(0);
    bench.on(Event::Cut {
        run: RunId(0),
        tokens: 6,
    });
    assert!(
        bench.start(1).is_none(),
        "nothing starts until it is clear what happened"
    );
    bench.wait(settings().cut_window);
    bench.wait(settings().backoff.max);
    let resumed = (2..7)
        .flat_map(|run| bench.on(Event::Slot(RunId(run))))
        .any(
            |action| matches!(action, Action::Start { item, resume_from: 6, .. } if item.item == 0),
        );
    assert!(resumed);
}

#[test]
fn a_slot_without_an_item_is_given_back() {
    let mut bench = Bench::new(Vec::new());
    let actions = bench.on(Event::Slot(RunId(3)));
    assert_eq!(actions, [Action::Unused(RunId(3))]);
    assert_eq!(bench.runner.next_deadline(), Some(bench.now + Millis(500)));
}
