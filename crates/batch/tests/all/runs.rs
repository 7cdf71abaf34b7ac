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
    non_idempotent_lease,
    settings, //
};

#[test]
fn paused_item_resumes_first_after_its_received_tokens() {
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
    let actions = bench.on(Event::SlotGranted(RunId(2)));
    let resumed = actions.iter().any(
        |action| matches!(action, Action::Start { item, resume_from: 17, .. } if item.item == 1),
    );
    assert!(resumed, "{actions:?}");
}

#[test]
fn pause_that_races_with_the_end_keeps_the_result() {
    let mut bench = Bench::new(vec![lease(0, 5)]);
    bench.start(0);
    bench.on(Event::Pause(RunId(0)));
    bench.finish(0);
    assert_eq!(bench.runner.counts().done, 1);
    assert_eq!(bench.on(Event::Pause(RunId(0))), []);
}

#[test]
fn failed_item_is_retried_with_backoff_up_to_the_limit() {
    let mut bench = Bench::new(vec![lease(0, 1)]);
    let attempts = settings().max_attempts;
    for run in 0..attempts {
        assert!(bench.start(u64::from(run)).is_some(), "attempt {run}");
        let actions = bench.fail(run.into(), Verdict::MayHaveRun, true);
        let last = run + 1 == attempts;
        let failed = actions
            .iter()
            .any(|action| matches!(action, Action::Flush { .. }));
        assert_eq!(failed, last);
        bench.advance(settings().backoff.max);
    }
    assert_eq!(bench.runner.counts().failed, 1);
}

#[test]
fn run_that_did_not_reach_the_target_is_not_charged() {
    let mut bench = Bench::new(vec![lease(0, 1)]);
    for run in 0..10 {
        assert!(bench.start(run).is_some(), "attempt {run}");
        bench.fail(run, Verdict::NotRun, true);
        bench.advance(settings().backoff.max);
    }
    assert_eq!(bench.runner.counts().failed, 0);
}

#[test]
fn permanent_failure_is_not_retried() {
    let mut bench = Bench::new(vec![lease(0, 2)]);
    bench.start(0);
    bench.fail(0, Verdict::Ran, false);
    assert_eq!(bench.runner.counts().failed, 1);
    assert_eq!(bench.runner.counts().retried, 0);
}

#[test]
fn non_idempotent_call_that_may_have_run_is_not_retried() {
    let mut bench = Bench::new(Vec::new());
    bench.advance(settings().lease_backoff);
    let lease = non_idempotent_lease(0, 2);
    bench.on(Event::Leased(vec![lease]));
    bench.on(Event::Started {
        lease: crate::common::lease_ref(0),
        items: items(&[0, 1]),
    });
    bench.start(0);
    bench.fail(0, Verdict::MayHaveRun, true);
    bench.start(1);
    bench.fail(1, Verdict::NotRun, true);
    let counts = bench.runner.counts();
    assert_eq!((counts.failed, counts.retried), (1, 1));
    bench.advance(settings().backoff.max);
    assert_eq!(bench.start(2).map(|item| item.item), Some(1));
}

#[test]
fn non_idempotent_call_is_not_paused() {
    let mut bench = Bench::new(Vec::new());
    bench.advance(settings().lease_backoff);
    bench.on(Event::Leased(vec![non_idempotent_lease(0, 1)]));
    bench.on(Event::Started {
        lease: crate::common::lease_ref(0),
        items: items(&[0]),
    });
    bench.start(0);
    assert_eq!(bench.on(Event::Pause(RunId(0))), []);
    bench.finish(0);
    assert_eq!(bench.runner.counts().done, 1);
}

#[test]
fn cut_stream_resumes_if_the_target_is_alive() {
    let mut bench = Bench::new(vec![lease(0, 5)]);
    bench.start(0);
    bench.on(Event::Cut {
        run: RunId(0),
        tokens: 6,
    });
    assert!(
        bench.start(1).is_none(),
        "nothing starts while the target may be dead"
    );
    bench.advance(settings().cut_timeout);
    bench.advance(settings().backoff.max);
    let resumed = (2..7)
        .flat_map(|run| bench.on(Event::SlotGranted(RunId(run))))
        .any(
            |action| matches!(action, Action::Start { item, resume_from: 6, .. } if item.item == 0),
        );
    assert!(resumed);
}

#[test]
fn slot_without_an_item_is_given_back() {
    let mut bench = Bench::new(Vec::new());
    let actions = bench.on(Event::SlotGranted(RunId(3)));
    assert_eq!(actions, [Action::SlotUnused(RunId(3))]);
    assert_eq!(bench.runner.next_deadline(), Some(bench.now + Millis(500)));
}
