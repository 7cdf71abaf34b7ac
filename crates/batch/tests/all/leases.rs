//! Leasing, flushing, releasing and losing chunks.

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
    items,
    lease,
    lease_ref,
    non_idempotent_lease,
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
fn chunks_are_leased_before_the_last_items_start() {
    let mut bench = Bench::new(vec![lease(0, 5)]);
    assert!(bench.start(0).is_some());
    let actions = bench.on(Event::SlotGranted(RunId(1)));
    assert!(actions.contains(&Action::LeaseMore { max: 2 }));
    let again = bench.on(Event::SlotGranted(RunId(2)));
    assert!(!again.contains(&Action::LeaseMore { max: 2 }));
}

#[test]
fn empty_lease_reply_delays_the_next_request() {
    let mut bench = Bench::new(Vec::new());
    let pause = settings().lease_backoff;
    assert_eq!(bench.runner.next_deadline(), Some(bench.now + pause));
    assert_eq!(bench.advance(pause - Millis(1)), []);
    assert_eq!(bench.advance(Millis(1)), [Action::LeaseMore { max: 2 }]);
}

#[test]
fn results_are_flushed_at_item_limit_delay_and_chunk_end() {
    let mut bench = Bench::new(vec![lease(0, 6)]);
    let mut seen = Vec::new();
    for run in 0..3 {
        bench.start(run);
        seen = bench.finish(run);
    }
    assert_eq!(flushes(&seen), [&items(&[0, 1, 2])]);
    let flushed = |chunk_ended| Event::Flushed {
        lease: lease_ref(0),
        late: false,
        chunk_ended,
    };
    bench.on(flushed(false));
    bench.start(3);
    assert!(flushes(&bench.finish(3)).is_empty());
    let after = settings().max_flush_delay;
    assert_eq!(flushes(&bench.advance(after)), [&items(&[3])]);
    bench.start(4);
    bench.finish(4);
    bench.start(5);
    assert!(flushes(&bench.finish(5)).is_empty(), "one flush at a time");
    assert_eq!(flushes(&bench.on(flushed(false))), [&items(&[4, 5])]);
    bench.on(flushed(true));
    assert_eq!(bench.runner.leases().count(), 0);
}

#[test]
fn idle_lease_is_released() {
    let mut bench = Bench::new(vec![lease(0, 9)]);
    let release = Action::Release {
        lease: lease_ref(0),
        not_run: ItemSet::new(),
    };
    let bound = settings().idle_lease_timeout;
    assert!(!bench.advance(bound - Millis(1)).contains(&release));
    assert!(bench.advance(Millis(1)).contains(&release));
    assert!(bench.runner.next_deadline() > Some(bench.now));
}

#[test]
fn runner_with_slots_requests_leases_after_releasing_an_idle_one() {
    let mut bench = Bench::new(vec![lease(0, 9), lease(1, 9)]);
    bench.start(0);
    let returned = Action::Release {
        lease: lease_ref(1),
        not_run: ItemSet::new(),
    };
    assert!(
        bench
            .advance(settings().idle_lease_timeout)
            .contains(&returned)
    );
    let mut leased = false;
    for run in 1..9 {
        let mut actions = bench.on(Event::SlotGranted(RunId(run)));
        actions.extend(bench.finish(run));
        leased |= actions
            .iter()
            .any(|action| matches!(action, Action::LeaseMore { .. }));
    }
    assert!(
        leased,
        "no leases were requested with slots free and no item available"
    );
}

#[test]
fn lost_lease_stops_its_runs_and_counts_late_results() {
    let mut bench = Bench::new(vec![lease(0, 5)]);
    bench.start(0);
    bench.start(1);
    let actions = bench.on(Event::LeaseLost(lease_ref(0)));
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
fn cancelled_job_stops_its_runs_and_releases_the_lease() {
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
fn shutdown_flushes_results_and_releases_all_leases() {
    let mut bench = Bench::new(vec![lease(0, 5)]);
    bench.start(0);
    bench.start(1);
    bench.finish(0);
    let actions = bench.on(Event::Shutdown);
    assert_eq!(flushes(&actions), [&items(&[0])]);
    bench.on(Event::Stopped {
        run: RunId(1),
        tokens: 0,
    });
    let last = bench.on(Event::Flushed {
        lease: lease_ref(0),
        late: false,
        chunk_ended: false,
    });
    assert_matches!(last.as_slice(), [Action::Release { .. }, ..]);
    assert!(!bench.runner.is_idle(), "a request for leases is pending");
    let returned = Action::Release {
        lease: lease_ref(1),
        not_run: ItemSet::new(),
    };
    assert_eq!(bench.on(Event::Leased(vec![lease(1, 2)])), [returned]);
    assert!(bench.runner.is_idle());
    assert_eq!(bench.runner.next_deadline(), None);
}

#[test]
fn non_idempotent_items_start_only_when_marked() {
    let mut bench = Bench::new(Vec::new());
    bench.advance(settings().lease_backoff);
    let actions = bench.on(Event::Leased(vec![non_idempotent_lease(0, 6)]));
    let mark = Action::MarkStarted {
        lease: lease_ref(0),
        items: items(&[0, 1, 2, 3]),
    };
    assert!(actions.contains(&mark));
    assert!(bench.start(0).is_none());
    let actions = bench.on(Event::Started {
        lease: lease_ref(0),
        items: items(&[0, 1, 3]),
    });
    let mark_one = Action::MarkStarted {
        lease: lease_ref(0),
        items: items(&[4]),
    };
    assert!(actions.contains(&mark_one), "{actions:?}");
    let started: Vec<u16> = (1..3)
        .filter_map(|run| bench.start(run))
        .map(|i| i.item)
        .collect();
    assert_eq!(started, [0, 1]);
    let actions = bench.on(Event::Shutdown);
    assert!(
        !actions.contains(&Action::Stop(RunId(1))),
        "a non-idempotent call is not stopped"
    );
    bench.finish(1);
    let last = bench.finish(2);
    assert!(flushes(&last).is_empty(), "the first flush is pending");
    let flushed = || Event::Flushed {
        lease: lease_ref(0),
        late: false,
        chunk_ended: false,
    };
    bench.on(flushed());
    assert_eq!(bench.on(flushed()), [], "the reply about item 4 is pending");
    let last = bench.on(Event::Started {
        lease: lease_ref(0),
        items: items(&[4]),
    });
    assert_matches!(&last[..], [Action::Release { not_run, .. }] if *not_run == items(&[3, 4]));
}
