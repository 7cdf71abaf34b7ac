//! Isolation of items that were in flight when their target died.

use yuccaseam_admit::RunId;
use yuccaseam_batch::{
    Action,
    Event, //
};
use yuccaseam_state::{
    FailedItem,
    Suspect, //
};

use crate::common::{
    Bench,
    items,
    lease,
    lease_ref, //
};

fn suspect(item: u16) -> Suspect {
    Suspect {
        item,
        died_alone: 0,
    }
}

/// Returns a bench whose target died with items 0 and 1 of three in flight.
fn after_death() -> Bench {
    let mut bench = Bench::new(vec![lease(0, 3)]);
    bench.start(0);
    bench.start(1);
    bench.on(Event::Cut {
        run: RunId(0),
        tokens: 1,
    });
    let actions = bench.on(Event::TargetDied);
    let mark = Action::MarkSuspects {
        lease: lease_ref(0),
        items: items(&[0, 1]),
        alone: false,
        death: 1,
    };
    assert!(actions.contains(&mark), "{actions:?}");
    bench.on(Event::Marked {
        lease: lease_ref(0),
        suspects: vec![suspect(0), suspect(1)],
        failed: Vec::new(),
    });
    bench
}

#[test]
fn suspects_run_alone_after_the_others() {
    let mut bench = after_death();
    assert_eq!(bench.start(2).map(|item| item.item), Some(2));
    assert!(
        bench.start(3).is_none(),
        "a suspect waits until nothing runs"
    );
    bench.finish(2);
    assert_eq!(bench.start(4).map(|item| item.item), Some(0));
    assert!(bench.start(5).is_none(), "nothing runs beside a suspect");
    bench.finish(4);
    assert_eq!(bench.start(6).map(|item| item.item), Some(1));
}

#[test]
fn item_that_ran_alone_is_reported_and_fails_on_the_reply() {
    let mut bench = after_death();
    bench.start(2);
    bench.finish(2);
    bench.start(3);
    let actions = bench.on(Event::TargetDied);
    let mark = Action::MarkSuspects {
        lease: lease_ref(0),
        items: items(&[0]),
        alone: true,
        death: 2,
    };
    assert!(actions.contains(&mark), "{actions:?}");
    bench.on(Event::Marked {
        lease: lease_ref(0),
        suspects: Vec::new(),
        failed: vec![FailedItem {
            item: 0,
            reason: yuccaseam_base::Reason::ItemAttemptsSpent,
        }],
    });
    assert_eq!(bench.start(4).map(|item| item.item), Some(1));
    bench.finish(4);
    assert_eq!(bench.runner.counts().failed, 1);
}

#[test]
fn reports_of_two_deaths_are_matched_in_order() {
    let mut bench = Bench::new(vec![lease(0, 3)]);
    bench.start(0);
    bench.start(1);
    bench.on(Event::TargetDied);
    assert_eq!(bench.start(2).map(|item| item.item), Some(2));
    bench.on(Event::TargetDied);
    bench.on(Event::Marked {
        lease: lease_ref(0),
        suspects: vec![suspect(0), suspect(1)],
        failed: Vec::new(),
    });
    bench.on(Event::Marked {
        lease: lease_ref(0),
        suspects: vec![suspect(2)],
        failed: Vec::new(),
    });
    for (run, item) in (3..6).zip(0..3) {
        assert_eq!(bench.start(run).map(|item| item.item), Some(item));
        bench.finish(run);
    }
}

#[test]
fn next_owner_isolates_the_suspects_of_its_lease() {
    let mut known = lease(0, 2);
    known.suspects = vec![suspect(0)];
    let mut bench = Bench::new(vec![known, lease(1, 2)]);
    let first: Vec<u16> = (0..1)
        .filter_map(|run| bench.start(run))
        .map(|i| i.item)
        .collect();
    assert_eq!(first, [1]);
    assert!(
        bench.start(1).is_none(),
        "the first chunk waits for isolation"
    );
    bench.finish(0);
    assert_eq!(
        bench.start(2).map(|item| (item.lease.chunk, item.item)),
        Some((0, 0))
    );
    bench.finish(2);
    assert_eq!(bench.start(3).map(|item| item.lease.chunk), Some(1));
}
