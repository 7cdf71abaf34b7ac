//! Order of the membership changes by a leader, beside voters and learners that are lost, silent or retire.
//!
//! Each case runs for all orders of the disk identities, since these are random and order the members.

use yuccaseam_base::{
    Millis,
    cases, //
};

use crate::group_model::{
    Condition,
    Fault,
    Model,
    name, //
};

/// Time of the first fault. The stores have been running since 0.
const FAULT_AT: Millis = Millis(11_000);
/// How long a case runs.
const END: Millis = Millis(31_000);
/// Number of disks up to which all their orders are played.
const MAX_ORDERED_DISKS: usize = 5;
/// Time after a loss, or the start of the store that makes up for it, in which the group must bear the next one
/// (`catch_up_s` of the platform).
const LOSS_RECOVERY: Millis = Millis(4_900);

/// All orders of the numbers below `count`.
fn orders(count: u64) -> Vec<Vec<u64>> {
    let Some(last) = count.checked_sub(1) else {
        return vec![Vec::new()];
    };
    let shorter = orders(last);
    let insert = |order: &Vec<u64>, at| {
        let mut order = order.clone();
        order.insert(at, last);
        order
    };
    let positions = 0..count as usize;
    positions
        .flat_map(|at| shorter.iter().map(move |order| insert(order, at)))
        .collect()
}

/// Orders of the disks of `stores`, the first `voters` of which vote, and of `later` disks. All orders, or if these are
/// too many, all of the voters and later disks, with those of the other stores below or above them.
fn disk_orders(voters: usize, stores: usize, later: usize) -> Vec<Vec<u64>> {
    if stores + later <= MAX_ORDERED_DISKS {
        return orders((stores + later) as u64);
    }
    let free = (stores - voters) as u64;
    let ordered = (voters + later) as u64;
    let place = |order: &Vec<u64>, is_below: bool| {
        let (first, free_first) = if is_below { (free, 0) } else { (0, ordered) };
        let order: Vec<_> = order.iter().map(|disk| disk + first).collect();
        let (voting, later) = order.split_at(voters);
        let free = free_first..free_first + free;
        voting
            .iter()
            .copied()
            .chain(free)
            .chain(later.iter().copied())
            .collect()
    };
    let ordered = orders(ordered);
    let ordered = ordered.iter();
    ordered
        .flat_map(|order| [place(order, true), place(order, false)])
        .collect()
}

/// What a case expects of the group.
#[derive(Clone, Copy)]
struct Expected {
    /// Time from the first fault until every lost voter must be replaced.
    recovers_in: Millis,
    /// Stores that belong to the group no more at the end.
    gone: &'static [usize],
    /// Number of changes of the leader at most, faults included.
    leader_changes: usize,
}

/// Runs faults, each at a time after [`FAULT_AT`], for all orders of the disks.
fn changes(tolerated: usize, stores: usize, faults: &[(Millis, usize, Fault)], expected: Expected) {
    let wipes = faults
        .iter()
        .filter(|(_, _, fault)| matches!(fault, Fault::Wipe));
    for order in disk_orders(2 * tolerated + 1, stores, wipes.count()) {
        let mut model = Model::new(tolerated, stores, &order);
        let mut faults = faults.iter().copied().peekable();
        let mut recovered_at = FAULT_AT;
        while model.now < END {
            while let Some((at, store, fault)) =
                faults.next_if(|(at, _, _)| model.now >= FAULT_AT + *at)
            {
                assert!(at < END, "faults come before the end");
                model.apply(store, fault);
            }
            model.advance();
            let Some(spare) = model.spare_voters() else {
                panic!("no quorum at {:?}, disks {order:?}", model.now);
            };
            if spare < tolerated || model.group().voters().count() < model.full_size {
                recovered_at = model.now;
            }
        }
        assert!(
            recovered_at <= FAULT_AT + expected.recovers_in,
            "the group bears {tolerated} losses again only at {recovered_at:?}, disks {order:?}"
        );
        for store in expected.gone {
            let group = model.group();
            let mut members = group.iter();
            assert!(
                members.all(|(_, member)| member.name != name(*store)),
                "store {store} still belongs to the group, disks {order:?}"
            );
        }
        assert!(
            model.leader_changes <= expected.leader_changes,
            "the leader changed {} times, disks {order:?}",
            model.leader_changes
        );
    }
}

const NOW: Millis = Millis::ZERO;
const SOON: Millis = Millis(100);
const BACK: Millis = Millis(1_000);
const DOWN: Fault = Fault::Becomes(Condition::Down);
const UP: Fault = Fault::Becomes(Condition::Up);

/// Time to replace a voter, in which the group has one voter less.
const REPLACEMENT: Millis = Millis(1_500);

fn recovers_in(recovers_in: Millis, gone: &'static [usize]) -> Expected {
    Expected {
        recovers_in,
        gone,
        leader_changes: 0,
    }
}

impl Expected {
    fn with_leader_changes(self, leader_changes: usize) -> Self {
        Self {
            leader_changes,
            ..self
        }
    }
}

cases! { changes:
    // Guards against a lost voter that is never replaced while another is to be retired: the next lost disk ended the
    // group for good.
    wiped_voter_is_replaced_beside_one_that_retires(1, 4,
        &[(NOW, 1, DOWN), (SOON, 2, Fault::Retire), (BACK, 1, Fault::Wipe)],
        recovers_in(BACK + LOSS_RECOVERY, &[2]));
    wiped_voter_is_replaced_beside_a_leader_that_retires(1, 4,
        &[(NOW, 1, DOWN), (SOON, 0, Fault::Retire), (BACK, 1, Fault::Wipe)],
        recovers_in(BACK + LOSS_RECOVERY, &[0]).with_leader_changes(1));
    voter_gone_for_good_is_replaced_beside_one_that_retires(1, 5,
        &[(NOW, 1, DOWN), (SOON, 2, Fault::Retire)],
        recovers_in(LOSS_RECOVERY, &[1, 2]));
    voter_gone_for_good_takes_the_only_free_store(1, 4,
        &[(SOON, 2, Fault::Retire), (SOON, 1, DOWN)],
        recovers_in(LOSS_RECOVERY, &[1]));
    frozen_voter_delays_one_that_retires(1, 4,
        &[(NOW, 1, DOWN), (SOON, 2, Fault::Retire), (Millis(3_200), 1, UP)],
        recovers_in(LOSS_RECOVERY, &[2]));
    silent_voter_is_replaced_beside_one_that_retires(1, 5,
        &[(NOW, 1, Fault::Becomes(Condition::Unreachable)), (SOON, 2, Fault::Retire)],
        recovers_in(LOSS_RECOVERY, &[1, 2]));
    // Guards against a leader that retires and hands its leadership on while its replacement cannot be confirmed.
    voters_retire_beside_a_lost_one(1, 6,
        &[(NOW, 1, DOWN), (SOON, 0, Fault::Retire), (SOON, 2, Fault::Retire)],
        recovers_in(LOSS_RECOVERY + REPLACEMENT, &[0, 1, 2]).with_leader_changes(2));
    wiped_voter_that_retires_is_replaced(1, 4,
        &[(NOW, 1, Fault::Retire), (SOON, 1, DOWN), (BACK, 1, Fault::Wipe)],
        recovers_in(BACK + LOSS_RECOVERY, &[1]));
    wiped_voter_that_retires_votes_again_without_another_store(1, 3,
        &[(NOW, 1, Fault::Retire), (SOON, 1, DOWN), (BACK, 1, Fault::Wipe)],
        recovers_in(BACK + LOSS_RECOVERY, &[]));
    new_leader_replaces_a_wiped_voter(1, 4,
        &[(NOW, 1, DOWN), (SOON, 2, Fault::Retire), (BACK, 1, Fault::Wipe), (Millis(1_300), 2, Fault::Lead)],
        recovers_in(BACK + LOSS_RECOVERY, &[2]).with_leader_changes(2));
    // Guards against a store that never holds the log and keeps others from joining.
    learner_that_never_syncs_is_passed_over(1, 5,
        &[(NOW, 3, Fault::Becomes(Condition::NeverSyncs)), (NOW, 1, DOWN)],
        recovers_in(Millis(3_000) + LOSS_RECOVERY, &[1]));
    learner_that_does_not_respond_is_passed_over(1, 5,
        &[(NOW, 3, Fault::Becomes(Condition::Unreachable)), (NOW, 1, DOWN)],
        recovers_in(Millis(3_000) + LOSS_RECOVERY, &[1]));
    wiped_voter_that_never_syncs_is_replaced_by_another(1, 4,
        &[(NOW, 1, DOWN), (BACK, 1, Fault::Wipe), (BACK, 1, Fault::Becomes(Condition::NeverSyncs))],
        recovers_in(BACK + LOSS_RECOVERY, &[]));
    // Guards against lost voters whose replacements join one after the other.
    two_voters_gone_for_good_are_replaced_at_once(2, 7,
        &[(NOW, 1, DOWN), (NOW, 2, DOWN)],
        recovers_in(LOSS_RECOVERY, &[1, 2]));
    two_voters_gone_for_good_are_replaced_beside_one_that_retires(2, 8,
        &[(NOW, 1, DOWN), (SOON, 3, Fault::Retire), (SOON, 2, DOWN)],
        recovers_in(LOSS_RECOVERY + REPLACEMENT, &[1, 2, 3]));
}
