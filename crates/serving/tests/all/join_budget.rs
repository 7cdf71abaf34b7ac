//! The time until a store with an empty disk votes, for each way to lose one, against the budget.

use yuccaseam_base::Millis;
use yuccaseam_serving::capacity::{
    ELECTION_TIME,
    JoinBudget,
    SIGHT_TIME,
    SNAPSHOT_TIME,
    VOTE_TIME, //
};

use crate::group_model::{
    Condition,
    Fault,
    Model,
    Timing, //
};

/// Time of the model beside the steps that the budget names: decisions are made every 50 ms.
const DECISIONS_TIME: Millis = Millis(100);
/// Times from a loss until the store is back with an empty disk, or its successor starts.
const DELAYS: [Millis; 10] = [
    Millis(0),
    Millis(50),
    Millis(250),
    Millis(450),
    Millis(1_000),
    Millis(1_500),
    Millis(2_950),
    Millis(4_000),
    Millis(6_000),
    Millis(20_000),
];
/// Times from then until the leader is lost as well, where two losses are tolerated.
const LEADER_LOSSES: [Millis; 6] = [
    Millis(50),
    Millis(400),
    Millis(1_200),
    Millis(2_000),
    Millis(3_000),
    Millis(5_000),
];

#[derive(Clone, Copy, Debug, PartialEq)]
enum Loss {
    /// The store starts again with an empty disk.
    Wiped,
    /// The store never returns, and an empty one starts under another name.
    Replaced,
    /// The store is silent, and an empty one starts under another name.
    Frozen,
}

fn budget(tolerated: usize) -> JoinBudget {
    let recovery = if tolerated > 1 {
        Millis(6_000)
    } else {
        Millis(4_900)
    };
    JoinBudget::new(recovery)
}

fn model(tolerated: usize, free_stores: usize) -> Model {
    let disks: Vec<_> = (1..30).collect();
    let budget = budget(tolerated);
    let stores = 2 * tolerated + 1 + free_stores;
    let sync = SNAPSHOT_TIME + budget.transfer_time() + VOTE_TIME - DECISIONS_TIME;
    let timing = Timing {
        sight: SIGHT_TIME,
        election: ELECTION_TIME,
        sync,
    };
    let mut model = Model::new(tolerated, stores, &disks).with_timing(timing, budget);
    // Free stores are not new any more.
    run(&mut model, Millis(10_000));
    model
}

fn run(model: &mut Model, time: Millis) {
    let until = model.now + time;
    while model.now < until {
        model.advance();
    }
}

/// Loses a store, and the leader as well after `leader_loss`. Once the time of the budget is over, the first loss must
/// not count any more.
fn check(tolerated: usize, loss: Loss, lost: usize, delay: Millis, leader_loss: Option<Millis>) {
    for free_stores in 0..2 {
        let case = format!("{loss:?} {lost} {delay:?} {leader_loss:?} {free_stores} free");
        let mut model = model(tolerated, free_stores);
        model.apply(lost, Fault::Becomes(Condition::Down));
        run(&mut model, delay);
        match loss {
            Loss::Wiped => model.apply(lost, Fault::Wipe),
            Loss::Replaced | Loss::Frozen => {
                model.add_store();
            }
        }
        let started_at = model.now;
        if let Some(at) = leader_loss {
            run(&mut model, at);
            let leader = model.leader();
            model.apply(leader, Fault::Becomes(Condition::Down));
        }
        let recovery = budget(tolerated).recovery();
        while model.now < started_at + recovery {
            model.advance();
        }
        let others = usize::from(leader_loss.is_some());
        let spare = model.spare_voters();
        // A free store may have replaced the leader by now.
        let needed = Some(tolerated - others);
        assert!(spare >= needed, "{case}: {spare:?}, {:?}", model.group());
    }
}

/// Guards against a store that does not vote yet when the next disk is lost, so that all that was accepted is gone: it
/// became a learner only once the voter before it had been silent for 3 s.
#[test]
fn store_votes_within_the_budget() {
    for loss in [Loss::Wiped, Loss::Replaced, Loss::Frozen] {
        for delay in DELAYS {
            // Store 0 leads.
            for lost in [0, 1] {
                check(1, loss, lost, delay, None);
                check(2, loss, lost, delay, None);
            }
        }
    }
}

/// Guards against a transfer that begins again with another leader and has no time left.
#[test]
fn store_votes_within_the_budget_though_the_leader_changes() {
    for loss in [Loss::Wiped, Loss::Replaced, Loss::Frozen] {
        for delay in DELAYS {
            for leader_loss in LEADER_LOSSES {
                check(2, loss, 1, delay, Some(leader_loss));
            }
        }
    }
}

/// Guards against a new store that nothing needs and that receives the log for good.
#[test]
fn new_store_that_nothing_needs_leaves_the_group_again() {
    let mut model = model(1, 0);
    let voters = model.group().iter().count();
    model.add_store();
    run(&mut model, Millis(2_000));
    assert_eq!(model.group().iter().count(), voters + 1, "it is prepared");
    run(&mut model, Millis(5_000));
    assert_eq!(model.group().iter().count(), voters);
}

/// Guards against new stores that keep the link to those that are needed busy.
#[test]
fn no_more_stores_are_prepared_than_may_be_lost() {
    let mut model = model(1, 0);
    let voters = model.group().iter().count();
    for _ in 0..4 {
        model.add_store();
    }
    run(&mut model, Millis(2_000));
    assert_eq!(model.group().iter().count(), voters + 1);
}
